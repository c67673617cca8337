"""Entry point of the one-file program, which runs without a child process.

Packages with extension modules are extracted into a subfolder of
``SAVORYSPAR_EXTRACT_DIR``, which should be backed by memory. Processes of the
same build share the extracted files.
"""

import json
import os
import shutil
import sys
import tempfile
import zipfile

ARCHIVE = sys.path[0]
DEFAULT_DIR = tempfile.gettempdir()
"""On the users' VMs this is private to the process and memory-backed."""


def main() -> int:
    """Makes the libraries importable and runs the command line."""
    sys.path.insert(0, prepare())
    from savoryspar import cli

    return cli.main(sys.argv)


def prepare() -> str:
    """Opens the archive and returns the folder with the extracted packages.

    The archive is closed here because its lock must be released before
    eventlet patches all locks.
    """
    with zipfile.ZipFile(ARCHIVE) as archive:
        return extract(archive, json.loads(archive.read("build.json")))


def extract(archive: zipfile.ZipFile, build: dict) -> str:
    """Extracts the packages if needed and returns their folder.

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
        # Extracted to a temporary folder and renamed, so that no other process
        # sees an incomplete folder.
        temporary = tempfile.mkdtemp(prefix="savoryspar-", dir=parent)
        archive.extractall(temporary, names)
        try:
            os.rename(temporary, folder)
        except OSError:
            # Another process of the same build has created the folder.
            shutil.rmtree(temporary)
    if os.stat(folder).st_uid != os.getuid():
        raise PermissionError(
            f"{folder} belongs to another user; set SAVORYSPAR_EXTRACT_DIR"
            " to another folder"
        )
    return folder


if __name__ == "__main__":
    sys.exit(main())
