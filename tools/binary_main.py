"""Start of the one-file program: runs in this process, without a child.

Packages with extension modules are extracted into a folder that is named by
``SAVORYSPAR_EXTRACT_DIR`` and should be backed by memory. Processes of one
build share what was extracted.
"""

import json
import os
import shutil
import sys
import tempfile
import zipfile

ARCHIVE = sys.path[0]
DEFAULT_DIR = tempfile.gettempdir()
"""Private to a process and kept in memory on the users' VMs."""


def main() -> int:
    """Makes the libraries importable and runs the command line."""
    sys.path.insert(0, prepare())
    from savoryspar import cli

    return cli.main(sys.argv)


def prepare() -> str:
    """Returns the folder with the extracted packages.

    The archive's lock must be gone before eventlet replaces all locks.
    """
    with zipfile.ZipFile(ARCHIVE) as archive:
        return extract(archive, json.loads(archive.read("build.json")))


def extract(archive: zipfile.ZipFile, build: dict) -> str:
    """Returns the folder with the extracted packages.

    Raises:
        PermissionError: Another user owns the folder.
    """
    parent = os.environ.get("SAVORYSPAR_EXTRACT_DIR", DEFAULT_DIR)
    folder = os.path.join(parent, f"savoryspar-{os.getuid()}-{build['digest']}")
    if not os.path.isdir(folder):
        names = [
            name
            for name in archive.namelist()
            if name.split("/")[0] in build["extracted"]
        ]
        # Renamed when whole, so that no process sees a part of it.
        started = tempfile.mkdtemp(prefix="savoryspar-", dir=parent)
        archive.extractall(started, names)
        try:
            os.rename(started, folder)
        except OSError:
            # Another process of the same build was first.
            shutil.rmtree(started)
    if os.stat(folder).st_uid != os.getuid():
        raise PermissionError(
            f"{folder} belongs to another user; name another folder in"
            " SAVORYSPAR_EXTRACT_DIR"
        )
    return folder


if __name__ == "__main__":
    sys.exit(main())
