"""Splits a stream of server-sent events and reads the event IDs."""

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1 << 18
"""Largest incomplete event that is buffered, for each stream. Events of the
platform's engines have less than 1 KB."""


class EventTooLongError(ValueError):
    """An event is larger than ``MAX_EVENT_BYTES``."""


class EventSplitter:
    """Buffers an incomplete event until the rest of it arrives.

    Attributes:
        last_id: ID of the last complete event; before the first one, the ID
            that the stream resumes after, or None.
        events: Number of complete events.
    """

    __slots__ = ("_remainder", "events", "last_id")

    def __init__(self, last_id: int | None = None):
        self._remainder = b""
        self.last_id = last_id
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Adds data and returns the events that are now complete.

        Raises:
            EventTooLongError: The incomplete event is too long.
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
        for text in complete.split(EVENT_END)[:-1]:
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

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return self._remainder

    def _read_event(self, text: bytes) -> None:
        for line in text.split(b"\n"):
            if line.startswith(ID_FIELD) and line[3:].strip().isdigit():
                self.last_id = int(line[3:])
        self.events += 1
