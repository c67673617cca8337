"""Builds dist/savoryspar: the program and its libraries as one file.

The file is a zip archive that Python runs in its own process. Libraries are
imported from the archive, except for packages with extension modules, which
the system can only load from files; ``binary_main.py`` extracts those into a
memory-backed folder.
"""

import compileall
import hashlib
import json
import pathlib
import shutil
import subprocess
import sys
import zipapp

ROOT = pathlib.Path(__file__).resolve().parents[1]
STAGE = ROOT / "build" / "binary"
TARGET = ROOT / "dist" / "savoryspar"
EXTENSION_SUFFIXES = (".so",)
LEFT_OUT = ("bin", "__pycache__")


def main() -> None:
    """Builds the file and prints where it is."""
    shutil.rmtree(STAGE, ignore_errors=True)
    subprocess.run(
        [
            sys.executable,
            "-m",
            "pip",
            "install",
            "--quiet",
            "--disable-pip-version-check",
            "--no-compile",
            f"--target={STAGE}",
            f"--requirement={ROOT / 'requirements.txt'}",
        ],
        check=True,
    )
    shutil.copytree(ROOT / "savoryspar", STAGE / "savoryspar")
    for path in STAGE.rglob("*"):
        if path.name in LEFT_OUT and path.is_dir():
            shutil.rmtree(path)
    # The archive keeps no usable file times, so they are not compared.
    compileall.compile_dir(
        STAGE,
        quiet=1,
        legacy=True,
        # Tracebacks name files as they are in the archive.
        stripdir=str(STAGE),
        invalidation_mode=(
            compileall.py_compile.PycInvalidationMode.UNCHECKED_HASH
        ),
    )
    extracted = sorted({_top(path) for path in _extensions()})
    build = {"extracted": extracted, "digest": _digest()}
    (STAGE / "build.json").write_text(json.dumps(build))
    shutil.copy(ROOT / "tools" / "binary_main.py", STAGE / "__main__.py")
    TARGET.parent.mkdir(exist_ok=True)
    version = f"{sys.version_info.major}.{sys.version_info.minor}"
    zipapp.create_archive(
        STAGE, TARGET, f"/usr/bin/env python{version}", compressed=True
    )
    print(f"{TARGET.relative_to(ROOT)} {TARGET.stat().st_size} bytes")


def _extensions() -> list[pathlib.Path]:
    return [p for p in STAGE.rglob("*") if p.suffix in EXTENSION_SUFFIXES]


def _top(path: pathlib.Path) -> str:
    """Returns the first folder or the file below the staging folder."""
    return path.relative_to(STAGE).parts[0]


def _digest() -> str:
    """Returns a digest of all files, which names the extracted folder."""
    total = hashlib.sha256()
    for path in sorted(STAGE.rglob("*")):
        if path.is_file():
            total.update(str(path.relative_to(STAGE)).encode())
            total.update(path.read_bytes())
    return total.hexdigest()[:16]


if __name__ == "__main__":
    main()
