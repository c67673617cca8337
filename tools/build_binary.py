"""Builds dist/savoryspar: the program and its libraries as one file.

The file is a zip archive that the Python interpreter executes directly.
Libraries are imported from the archive, except for packages with extension
modules, which the system can only load from files; ``binary_main.py`` extracts
those into a memory-backed folder.
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
STAGING = ROOT / "build" / "binary"
TARGET = ROOT / "dist" / "savoryspar"
EXTENSION_SUFFIXES = (".so",)
EXCLUDED = ("bin", "__pycache__")


def main() -> None:
    """Builds the file and prints its path and size."""
    shutil.rmtree(STAGING, ignore_errors=True)
    subprocess.run(
        [
            sys.executable,
            "-m",
            "pip",
            "install",
            "--quiet",
            "--disable-pip-version-check",
            "--no-compile",
            f"--target={STAGING}",
            f"--requirement={ROOT / 'requirements.txt'}",
        ],
        check=True,
    )
    shutil.copytree(ROOT / "savoryspar", STAGING / "savoryspar")
    for path in STAGING.rglob("*"):
        if path.name in EXCLUDED and path.is_dir():
            shutil.rmtree(path)
    # Times of files in the archive are not reliable, so bytecode must not be
    # validated against them.
    compileall.compile_dir(
        STAGING,
        quiet=1,
        legacy=True,
        # Makes paths in tracebacks relative to the root of the archive.
        stripdir=str(STAGING),
        invalidation_mode=(
            compileall.py_compile.PycInvalidationMode.UNCHECKED_HASH
        ),
    )
    extracted = sorted({_top(path) for path in _extensions()})
    build = {"extracted": extracted, "digest": _digest()}
    (STAGING / "build.json").write_text(json.dumps(build))
    shutil.copy(ROOT / "tools" / "binary_main.py", STAGING / "__main__.py")
    TARGET.parent.mkdir(exist_ok=True)
    version = f"{sys.version_info.major}.{sys.version_info.minor}"
    zipapp.create_archive(
        STAGING, TARGET, f"/usr/bin/env python{version}", compressed=True
    )
    print(f"{TARGET.relative_to(ROOT)} {TARGET.stat().st_size} bytes")


def _extensions() -> list[pathlib.Path]:
    return [p for p in STAGING.rglob("*") if p.suffix in EXTENSION_SUFFIXES]


def _top(path: pathlib.Path) -> str:
    """Returns the path's first component below the staging folder."""
    return path.relative_to(STAGING).parts[0]


def _digest() -> str:
    """Returns a digest of all files, which names the extracted folder."""
    digest = hashlib.sha256()
    for path in sorted(STAGING.rglob("*")):
        if path.is_file():
            digest.update(str(path.relative_to(STAGING)).encode())
            digest.update(path.read_bytes())
    return digest.hexdigest()[:16]


if __name__ == "__main__":
    main()
