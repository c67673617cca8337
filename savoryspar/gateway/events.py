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
    """Another server does not continue a stream after its last event."""


class EventSplitter:
    """Buffers an incomplete event until the rest of it arrives.

    Attributes:
        last_id: ID of the last complete event; before the first one, the ID
            that the stream resumes after, or None.
        events: Number of complete events.
        is_resumed: Whether another server sent the first events.
    """

    __slots__ = ("_remainder", "events", "is_resumed", "last_id")

    def __init__(self, last_id: int | None = None):
        self._remainder = b""
        self.last_id = last_id
        self.events = 0
        self.is_resumed = False

    def feed(self, data: bytes) -> bytes:
        """Adds data and returns the events that are now complete.

        Raises:
            EventTooLongError: The incomplete event is too long.
            EventOrderError: The data do not continue a resumed stream.
        """
        # The end of an event may be split between the buffer and the new data.
        searched = max(0, len(self._remainder) - len(EVENT_END) + 1)
        data = self._remainder + data
        end = data.rfind(EVENT_END, searched)
        if end < 0:
            self._remainder = data
            self._check_remainder()
            return b""
        end += len(EVENT_END)
        self._remainder = data[end:]
        complete = data[:end]
        texts = complete.split(EVENT_END)[:-1]
        if self.is_resumed:
            self._check_order(texts)
        for text in texts:
            self._read_event(text)
        self._check_remainder()
        return complete

    def _check_remainder(self) -> None:
        if len(self._remainder) > MAX_EVENT_BYTES:
            raise EventTooLongError(
                f"an event has more than {MAX_EVENT_BYTES} bytes"
            )

    def discard_partial(self) -> None:
        """Drops the incomplete event; another server sends it again."""
        self._remainder = b""
        self.is_resumed = self.events > 0

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return self._remainder

    def _check_order(self, texts: Iterable[bytes]) -> None:
        """Checks that events have increasing IDs after the last one.

        An engine may ignore the ID to resume after, or answer with a text.

        Raises:
            EventOrderError: They have not.
        """
        last_id = self.last_id
        for text in texts:
            lines = text.split(b"\n")
            if all(line.startswith(COMMENT) for line in lines):
                continue
            event_id = _event_id(lines)
            if event_id is None or (
                last_id is not None and event_id <= last_id
            ):
                raise EventOrderError(
                    f"event {text!r:.80} does not continue the stream after"
                    f" event {last_id}"
                )
            last_id = event_id

    def _read_event(self, text: bytes) -> None:
        event_id = _event_id(text.split(b"\n"))
        if event_id is not None:
            self.last_id = event_id
        self.events += 1


def _event_id(lines: Iterable[bytes]) -> int | None:
    """Returns the last ID in the lines of an event, None without one."""
    event_id = None
    for line in lines:
        text = line[len(ID_FIELD) :].strip()
        if line.startswith(ID_FIELD) and EVENT_ID.fullmatch(text):
            event_id = int(text)
    return event_id
