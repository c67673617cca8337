"""Cuts an event stream into whole events and reads their numbers."""

END = b"\n\n"
ID_FIELD = b"id:"


class EventCutter:
    """Holds back the last event until it is whole.

    Attributes:
        last_id: Number of the last whole event, None before the first one.
        events: Whole events seen.
    """

    __slots__ = ("_rest", "events", "last_id")

    def __init__(self, last_id: int | None = None):
        self._rest = b""
        self.last_id = last_id
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Returns the whole events that the data completes."""
        data = self._rest + data
        end = data.rfind(END)
        if end < 0:
            self._rest = data
            return b""
        end += len(END)
        self._rest = data[end:]
        whole = data[:end]
        for text in whole.split(END)[:-1]:
            self._take(text)
        return whole

    def restart(self) -> None:
        """Drops half an event, because another server sends it again."""
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes after the last whole event."""
        return self._rest

    def _take(self, text: bytes) -> None:
        for line in text.split(b"\n"):
            if line.startswith(ID_FIELD) and line[3:].strip().isdigit():
                self.last_id = int(line[3:])
        self.events += 1
