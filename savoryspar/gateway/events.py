"""Splits a stream of server-sent events and reads the event IDs."""

from collections.abc import Iterable
import re

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
COMMENT = b":"
EVENT_ID = re.compile(rb"[0-9]{1,18}")
MAX_EVENT_BYTES = 1 << 18
"""Largest incomplete event that is buffered, for each stream. Events of the
platform's engines have less than 1 KB."""


class EventError(ValueError):
    """A stream that cannot be passed on."""


class EventTooLongError(EventError):
    """An event is larger than ``MAX_EVENT_BYTES``."""


class EventOrderError(EventError):
    """An event does not continue the stream."""


class EventSplitter:
    """Buffers an incomplete event until the rest of it arrives.

    The IDs of events increase. Whether they are consecutive is known once a
    server has sent two events; the first event of another server must then be
    the next one.

    Attributes:
        last_id: ID of the last complete event; before the first one, the ID
            that the stream resumes after, or None.
        events: Number of complete events without comments.
        is_resumed: Whether another server sent the first events.
        error: Why the bytes after the last complete event cannot be passed on,
            None if they can.
    """

    __slots__ = (
        "_after_id",
        "_is_joined",
        "_remainder",
        "_steps",
        "error",
        "events",
        "is_resumed",
        "last_id",
    )

    def __init__(self, last_id: int | None = None, is_resumable: bool = False):
        """Creates a splitter.

        Args:
            last_id: ID that the caller resumes after, or None.
            is_resumable: Whether servers resume the stream there. Otherwise
                they may start from its beginning.
        """
        self._remainder = bytearray()
        self.last_id = last_id
        # ID after which events are due, None if any may follow.
        self._after_id = last_id if is_resumable else None
        # Whether an event of the present server was read.
        self._is_joined = False
        # Differences between the IDs of adjacent events of one server.
        self._steps: set[int] = set()
        self.error: EventOrderError | None = None
        self.events = 0
        self.is_resumed = False

    def feed(self, data: bytes) -> bytes:
        """Adds data and returns the events that are now complete.

        They end before the first event that does not continue the stream,
        which ``error`` then tells.

        Raises:
            EventTooLongError: The incomplete event is too long.
        """
        # The end of an event may be split between the buffer and the new data.
        searched = max(0, len(self._remainder) - len(EVENT_END) + 1)
        self._remainder += data
        end = self._remainder.rfind(EVENT_END, searched)
        if end < 0:
            self._check_remainder()
            return b""
        end += len(EVENT_END)
        complete = bytes(self._remainder[:end])
        del self._remainder[:end]
        size = 0
        for text in complete.split(EVENT_END)[:-1]:
            try:
                self._read_event(text)
            except EventOrderError as exc:
                self.error = exc
                self._remainder.clear()
                return complete[:size]
            size += len(text) + len(EVENT_END)
        self._check_remainder()
        return complete

    def _check_remainder(self) -> None:
        if len(self._remainder) > MAX_EVENT_BYTES:
            raise EventTooLongError(
                f"an event has more than {MAX_EVENT_BYTES} bytes"
            )

    def discard_partial(self) -> None:
        """Drops the incomplete event; another server sends it again."""
        self._remainder.clear()
        self.error = None
        self._is_joined = False
        self.is_resumed = self.events > 0

    def release(self) -> None:
        """Frees the incomplete event of a stream that has failed."""
        self._remainder = bytearray()

    @property
    def remaining(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._remainder)

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._remainder)

    def _read_event(self, text: bytes) -> None:
        """Records an event.

        Raises:
            EventOrderError: It does not continue the stream. A server may
                ignore the ID to resume after, or answer with a text.
        """
        if text.startswith(COMMENT) and b"\n" not in text:
            return
        lines = text.split(b"\n")
        if all(line.startswith(COMMENT) for line in lines):
            return
        event_id = _event_id(lines)
        if not self._continues(event_id):
            raise EventOrderError(
                f"event {text!r:.80} does not continue the stream after event"
                f" {self.last_id}"
            )
        if event_id is not None:
            if self._is_joined and self._after_id is not None:
                self._steps.add(event_id - self._after_id)
            self.last_id = self._after_id = event_id
        self._is_joined = True
        self.events += 1

    def _continues(self, event_id: int | None) -> bool:
        """Returns whether an event with this ID may be the next one."""
        if event_id is None:
            return not self.is_resumed
        if self._after_id is None:
            # Without IDs, the server was not told where to go on.
            return not self.is_resumed
        if self.is_resumed and not self._is_joined and self._steps == {1}:
            return event_id == self._after_id + 1
        return event_id > self._after_id


def _event_id(lines: Iterable[bytes]) -> int | None:
    """Returns the last ID in the lines of an event, None without one."""
    event_id = None
    for line in lines:
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            if EVENT_ID.fullmatch(text):
                event_id = int(text)
    return event_id
