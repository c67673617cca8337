"""Structured log lines on standard output, one JSON object each.

A token bucket limits the number of lines per second, and writing never blocks:
a line that does not fit into the pipe is dropped and counted. Part of the
bucket is reserved for failures and state changes.
"""

from collections.abc import Callable, Iterable, Iterator
import json
import os
from typing import Any

from eventlet import patcher
import logbook

original_os = patcher.original("os")
"""Unpatched ``os``: eventlet's ``write`` blocks until the pipe has space."""

LINES_PER_S = 60.0
"""Average lines per second; about 12 per request at 5 requests per second."""
BURST_LINES = 240.0
"""Capacity of the token bucket in lines."""
RESERVED_LINES = 120.0
"""Part of the bucket that lines on successful requests may not use."""


class EventLog:
    """Writes events as structured lines.

    Attributes:
        left_out: Number of lines dropped since the start.
    """

    __slots__ = (
        "_fd",
        "_node",
        "_partial",
        "_refilled_at",
        "_tokens",
        "left_out",
    )

    def __init__(self, fd: int, node: str):
        self._fd = fd
        self._node = node
        self._tokens = BURST_LINES
        self._refilled_at = 0.0
        self._partial = b""
        self.left_out = 0

    def decision(
        self, event: str, now: float, request: str, **fields: Any
    ) -> None:
        """Writes a decision on a request that is processed normally."""
        self._write(event, now, RESERVED_LINES, {"request": request, **fields})

    def failure(
        self, event: str, now: float, request: str, **fields: Any
    ) -> None:
        """Writes a refusal or failure of a request."""
        self._write(event, now, 1.0, {"request": request, **fields})

    def state_change(self, event: str, now: float, **fields: Any) -> None:
        """Writes a change of the state or lifecycle of the process."""
        self._write(event, now, 1.0, fields)

    def _write(
        self, event: str, now: float, floor: float, fields: dict[str, Any]
    ) -> None:
        self._tokens = min(
            BURST_LINES, self._tokens + (now - self._refilled_at) * LINES_PER_S
        )
        self._refilled_at = now
        if self._tokens < floor:
            self.left_out += 1
            return
        self._tokens -= 1.0
        line = {"at": round(now, 4), "node": self._node, "event": event}
        if self.left_out:
            line["left_out"] = self.left_out
        line.update(fields)
        text = json.dumps(line, separators=(",", ":"), default=str)
        self._send(text.encode() + b"\n")

    def _send(self, data: bytes) -> None:
        """Writes what fits into the pipe, after the rest of a partial line."""
        if self._partial:
            data = self._partial + data
            self._partial = b""
        try:
            written = original_os.write(self._fd, data)
        except OSError:
            # The pipe is full or closed; the next line reports the count.
            self.left_out += 1
            return
        if written < len(data):
            end = data.find(b"\n", written)
            self._partial = data[written : end + 1]


class _EventHandler(logbook.Handler):
    """Converts logbook records to structured lines."""

    def __init__(self, events: EventLog, level: str, clock: Callable):
        super().__init__(level=level.upper())
        self._events = events
        self._clock = clock

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes a record of a component's logger."""
        self._events.state_change(
            "library",
            self._clock(),
            part=record.channel,
            level=record.level_name.lower(),
            message=record.message,
        )


def redirect_logs(
    events: EventLog, level: str, clock: Callable[[], float]
) -> None:
    """Redirects the records of all loggers to the event log.

    Args:
        events: Log to write to.
        level: Lowest level that is written, for example ``info``.
        clock: Returns the monotonic time in seconds.
    """
    _EventHandler(events, level, clock).push_application()


def read_lines(texts: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yields the structured lines of a log; other lines are skipped.

    Args:
        texts: Lines of the log, with or without a prefix before the object.
    """
    for text in texts:
        start = text.find('{"at"')
        if start < 0:
            continue
        try:
            yield json.loads(text[start:])
        except ValueError:
            # A truncated line at the end of a log that is still written.
            continue


def new_event_log(fd: int, node: str) -> EventLog:
    """Returns an event log and makes its file descriptor non-blocking."""
    os.set_blocking(fd, False)
    return EventLog(fd, node)
