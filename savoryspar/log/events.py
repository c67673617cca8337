"""Structured log lines on standard output, one JSON object each.

The volume is bounded by a budget of lines a second, and writing never blocks:
a line that the reader of the pipe has no room for is counted and left out.
Failures and changes of belief may use a reserve that successes may not.
"""

from collections.abc import Callable, Iterable, Iterator
import json
import os
from typing import Any

from eventlet import patcher
import logbook

original_os = patcher.original("os")
"""The module without eventlet's changes, whose write waits for the reader."""

LINES_PER_S = 60.0
"""Lines a second on average; about 12 a request at 5 requests a second."""
BURST_LINES = 240.0
"""Lines that may be written at once after a quiet time."""
RESERVED_LINES = 120.0
"""Part of the burst that lines on successful requests leave untouched."""


class EventLog:
    """Writes what was decided, believed and lost.

    Attributes:
        left_out: Lines that were not written, since the start.
    """

    __slots__ = ("_at", "_fd", "_node", "_partial", "_tokens", "left_out")

    def __init__(self, fd: int, node: str):
        self._fd = fd
        self._node = node
        self._tokens = BURST_LINES
        self._at = 0.0
        self._partial = b""
        self.left_out = 0

    def decision(
        self, what: str, now: float, request: str, **inputs: Any
    ) -> None:
        """Writes a decision on a request that goes its normal way."""
        self._write(what, now, RESERVED_LINES, {"request": request, **inputs})

    def failure(
        self, what: str, now: float, request: str, **inputs: Any
    ) -> None:
        """Writes a refusal or failure of a request."""
        self._write(what, now, 1.0, {"request": request, **inputs})

    def belief(self, what: str, now: float, **inputs: Any) -> None:
        """Writes a change of what the process believes, or of its life."""
        self._write(what, now, 1.0, inputs)

    def _write(
        self, what: str, now: float, floor: float, fields: dict[str, Any]
    ) -> None:
        self._tokens = min(
            BURST_LINES, self._tokens + (now - self._at) * LINES_PER_S
        )
        self._at = now
        if self._tokens < floor:
            self.left_out += 1
            return
        self._tokens -= 1.0
        line = {"at": round(now, 4), "node": self._node, "event": what}
        if self.left_out:
            line["left_out"] = self.left_out
        line.update(fields)
        text = json.dumps(line, separators=(",", ":"), default=str)
        self._send(text.encode() + b"\n")

    def _send(self, data: bytes) -> None:
        """Writes as much as the pipe takes; half a line is finished first."""
        if self._partial:
            data = self._partial + data
            self._partial = b""
        try:
            written = original_os.write(self._fd, data)
        except OSError:
            # The reader is slow or gone; the count goes into the next line.
            self.left_out += 1
            return
        if written < len(data):
            end = data.find(b"\n", written)
            self._partial = data[written : end + 1]


class _EventHandler(logbook.Handler):
    """Turns the lines of other parts into structured ones."""

    def __init__(self, events: EventLog, level: str, clock: Callable):
        super().__init__(level=level.upper())
        self._events = events
        self._clock = clock

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes a line of a part."""
        self._events.belief(
            "library",
            self._clock(),
            part=record.channel,
            level=record.level_name.lower(),
            message=record.message,
        )


def write_to_events(
    events: EventLog, level: str, clock: Callable[[], float]
) -> None:
    """Writes the lines of all loggers as events from now on.

    Args:
        events: Where they are written.
        level: Lowest level that is written, for example ``info``.
        clock: Monotonic time in seconds.
    """
    _EventHandler(events, level, clock).push_application()


def read_lines(texts: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yields the structured lines of a log; other lines are skipped.

    Args:
        texts: Lines as they were collected, with or without a prefix before
            the object.
    """
    for text in texts:
        start = text.find('{"at"')
        if start < 0:
            continue
        try:
            yield json.loads(text[start:])
        except ValueError:
            # The end of a log that is still being written.
            continue


def new_event_log(fd: int, node: str) -> EventLog:
    """Returns a log that writes to a file descriptor without blocking."""
    os.set_blocking(fd, False)
    return EventLog(fd, node)
