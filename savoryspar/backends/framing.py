"""Finds whole events in the HTTP chunks of an engine's event stream.

Every chunk is checked, so that wrong framing breaks the stream instead of
reaching the caller. Chunks that end with an event, as engines send them, are
passed on as they came. Other chunks are put together and their whole events
are framed again.
"""

import re

EVENT_END = b"\n\n"
CHUNK_END = b"\r\n"
EVENT_CHUNK_END = EVENT_END + CHUNK_END
"""Blank line that ends an event, then the end of its HTTP chunk."""
DONE_EVENT = b"data: [DONE]" + EVENT_END
DONE_CHUNK_END = DONE_EVENT + CHUNK_END
MAX_EVENT_BYTES = 1 << 20
MAX_HEAD_BYTES = 128
_CHUNK_HEAD = re.compile(rb"([0-9A-Fa-f]{1,8})(;[^\r\n]{0,100})?\r\n")


class FramingError(ValueError):
    """The bytes are not HTTP chunks of server-sent events."""


class EventReader:
    """Turns received bytes into whole events in HTTP chunk framing.

    Attributes:
        events: Whole events found so far.
        is_ended: Whether the last chunk was found.
        is_clean: Whether nothing but the last chunk followed the events, so
            that the connection can be used again.
    """

    __slots__ = (
        "_head",
        "_held",
        "_last",
        "_raw",
        "_size",
        "events",
        "is_clean",
        "is_ended",
    )

    def __init__(self) -> None:
        self._raw = b""
        self._held = b""
        self._last = b""
        self._head = b""
        self._size = -1
        self.events = 0
        self.is_ended = False
        self.is_clean = False

    @property
    def is_done(self) -> bool:
        """Whether the last event found is ``[DONE]``."""
        return self._last.endswith(DONE_CHUNK_END)

    def feed(self, data: bytes) -> bytes:
        """Returns the events that the received bytes complete, in chunks.

        Raises:
            FramingError: A chunk is framed wrongly, an event is too long, or
                the stream ends within an event.
        """
        # Most chunks are as long as the one before. While bytes are held
        # back, the size is -1.
        if not (
            len(data) == self._size
            and data.startswith(self._head)
            and data.endswith(EVENT_CHUNK_END)
        ):
            data = self._feed_chunks(self._raw + data)
            if not data:
                return data
        self._last = data
        self.events += data.count(EVENT_END)
        return data

    def _feed_chunks(self, data: bytes) -> bytes:
        pieces: list[bytes] = []
        at, size = 0, len(data)
        while at < size and not self.is_ended:
            head = _CHUNK_HEAD.match(data, at)
            if head is None:
                _check_partial_head(data[at : at + MAX_HEAD_BYTES])
                break
            start, length = head.end(), int(head[1], 16)
            stop = start + length
            if length > MAX_EVENT_BYTES:
                raise FramingError(f"a chunk of {length} bytes is too long")
            if size < stop + len(CHUNK_END):
                break
            if length == 0:
                self._end(data[stop:])
                break
            if not data.startswith(CHUNK_END, stop):
                raise FramingError(f"a chunk ends with {data[stop:][:2]!r}")
            pieces.append(self._events_of(data, at, start, stop))
            at = stop + len(CHUNK_END)
        self._raw = b"" if self.is_ended else data[at:]
        self._expect(pieces[-1] if pieces else b"")
        return b"".join(pieces)

    def _expect(self, last: bytes) -> None:
        """Sets what a chunk like the last one looks like."""
        head = _CHUNK_HEAD.match(last)
        if head and not (head[2] or self._raw or self._held or self.is_ended):
            self._head, self._size = head[0], len(last)
        else:
            self._head, self._size = b"", -1

    def _events_of(self, data: bytes, at: int, start: int, stop: int) -> bytes:
        payload = data[start:stop]
        is_plain = data.find(b";", at, start) < 0
        if is_plain and not self._held and payload.endswith(EVENT_END):
            return data[at : stop + len(CHUNK_END)]
        held = self._held + payload
        end = held.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            end = 0
        self._held = held[end:]
        if len(self._held) > MAX_EVENT_BYTES:
            raise FramingError(f"an event is above {MAX_EVENT_BYTES} bytes")
        return chunk(held[:end]) if end else b""

    def _end(self, rest: bytes) -> None:
        if self._held:
            raise FramingError("the stream ended within an event")
        self.is_ended = True
        # Trailers are not read; the connection is then not used again.
        self.is_clean = rest == CHUNK_END


def chunk(payload: bytes) -> bytes:
    """Returns the payload as one HTTP chunk."""
    return b"%x\r\n%b\r\n" % (len(payload), payload)


def _check_partial_head(data: bytes) -> None:
    is_short = len(data) < MAX_HEAD_BYTES and b"\n" not in data
    if not is_short or data[:1] not in b"0123456789abcdefABCDEF":
        raise FramingError(f"a chunk starts with {data[:40]!r}")
