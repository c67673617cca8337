"""Checks the one-file program: a single process, no files on a disk.

Starts ``FILE entry`` with a stand-in platform, in an environment whose home and
temporary folders do not exist, and inspects the process in /proc.
"""

from collections.abc import Iterator
import os
import pathlib
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from savoryspar.bench import fleet as fleet_lib  # noqa: E402
from savoryspar.bench import procfs  # noqa: E402

MEMORY_FILE_SYSTEMS = ("tmpfs", "ramfs")
NO_FOLDER = "/nonexistent"


def main() -> int:
    """Checks the file named by the first argument; returns the exit code."""
    binary = pathlib.Path(sys.argv[1]).resolve()
    with fleet_lib.Fleet() as fleet:
        fleet.start_platform()
        plain = fleet.start_entry("plain", "r", "r-a")
        plain.terminate()
        plain.wait()
        faults = list(_check(fleet, binary))
    for fault in faults:
        print(f"fault: {fault}")
    print(f"{binary.name}: {len(faults)} faults")
    return 1 if faults else 0


def _check(fleet: fleet_lib.Fleet, binary: pathlib.Path) -> Iterator[str]:
    """Runs the file and yields each fault found."""
    with tempfile.TemporaryDirectory(dir=_memory_folder()) as extracted:
        started_at = time.monotonic()
        popen = subprocess.Popen(
            [str(binary), "entry", "--config", fleet.directory / "plain.ini"],
            stdout=subprocess.PIPE,
            env={
                "PATH": _path(),
                "HOME": NO_FOLDER,
                "TMPDIR": NO_FOLDER,
                "SAVORYSPAR_EXTRACT_DIR": extracted,
                "PEX_ROOT": extracted,
                "PYTHONUNBUFFERED": "1",
            },
        )
        try:
            line = popen.stdout.readline().decode()
            start_s = time.monotonic() - started_at
            print(f"printed {line.strip()!r} after {start_s:.2f} s")
            if not line.startswith("listening "):
                yield f"the first line of its output is {line!r}"
            if procfs.parent(popen.pid) != os.getpid():
                yield "its parent is another process"
            if found := procfs.children(popen.pid):
                yield f"it started the child processes {found}"
            print(f"memory {procfs.memory_bytes(popen.pid) / 1e6:.1f} MB")
            yield from _mapped_faults(popen.pid)
            popen.terminate()
            if code := popen.wait(fleet_lib.STOP_TIMEOUT_S):
                yield f"it exited with code {code} after SIGTERM"
        finally:
            popen.kill()
            popen.wait()


def _mapped_faults(pid: int) -> Iterator[str]:
    """Yields a fault for each mapped library that was extracted to a disk."""
    maps = pathlib.Path(f"/proc/{pid}/maps").read_text().splitlines()
    paths = {line.split(None, 5)[5] for line in maps if ".so" in line}
    prefixes = (sys.base_prefix, "/usr/", "/lib")
    for path in sorted(paths):
        if (
            path.startswith(prefixes)
            or _file_system(path) in MEMORY_FILE_SYSTEMS
        ):
            continue
        yield f"{path} is mapped from a disk"


def _file_system(path: str) -> str:
    """Returns the type of the file system that holds the path."""
    mounts = [
        line.split()[1:3]
        for line in pathlib.Path("/proc/mounts").read_text().splitlines()
    ]
    holding = [m for m in mounts if path.startswith(m[0].rstrip("/") + "/")]
    return max(holding, key=lambda mount: len(mount[0]))[1]


def _memory_folder() -> str:
    """Returns a writable folder that is kept in memory."""
    mounts = [
        line.split()[1:3]
        for line in pathlib.Path("/proc/mounts").read_text().splitlines()
    ]
    return next(
        folder
        for folder, kind in mounts
        if kind in MEMORY_FILE_SYSTEMS and os.access(folder, os.W_OK)
    )


def _path() -> str:
    """Returns a ``PATH`` that starts with the folder of this interpreter."""
    return f"{pathlib.Path(sys.executable).parent}:/usr/bin:/bin"


if __name__ == "__main__":
    sys.exit(main())
