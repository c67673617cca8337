"""The record of a case: what was sent, answered and run."""

import json
import pathlib
import time
from typing import Any


class Record:
    """Lines of one JSON object each, with the seconds since the start."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._began_at

    def add(self, kind: str, **values: Any) -> None:
        """Adds a line."""
        line = {"at": round(self.now(), 3), "kind": kind, **values}
        self._file.write(json.dumps(line) + "\n")

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
