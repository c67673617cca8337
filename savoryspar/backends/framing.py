"""Extracts complete events from the HTTP chunks of an engine's event stream.

Every chunk is validated, so that malformed framing ends the stream instead of
reaching the caller. Chunks that end with an event, as engines usually send
them, are passed on unchanged. Other chunks are joined, and their complete
events are framed again.
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
    """Turns received bytes into complete events in HTTP chunk framing.

    Attributes:
        events: Number of complete events found.
        is_ended: Whether the terminating chunk was found.
        is_clean: Whether only the terminating chunk followed the events, so
            that the connection can be reused.
    """

    __slots__ = (
        "_expected_head",
        "_expected_size",
        "_last_events",
        "_partial_chunk",
        "_partial_event",
        "events",
        "is_clean",
        "is_ended",
    )

    def __init__(self) -> None:
        self._partial_chunk = b""
        self._partial_event = bytearray()
        self._last_events = b""
        self._expected_head = b""
        self._expected_size = -1
        self.events = 0
        self.is_ended = False
        self.is_clean = False

    @property
    def is_done(self) -> bool:
        """Whether the most recent event is ``[DONE]``."""
        return self._last_events.endswith(DONE_CHUNK_END)

    def feed(self, data: bytes) -> bytes:
        """Returns the events completed by the received bytes, in chunks.

        Raises:
            FramingError: A chunk is malformed, an event is too long, or the
                stream ends within an event.
        """
        # Fast path: most chunks have the same head and size as the previous
        # one. The expected size is -1 while incomplete data is buffered.
        if not (
            len(data) == self._expected_size
            and data.startswith(self._expected_head)
            and data.endswith(EVENT_CHUNK_END)
        ):
            data = self._feed_chunks(self._partial_chunk + data)
            if not data:
                return data
        self._last_events = data
        self.events += data.count(EVENT_END)
        return data

    def _feed_chunks(self, data: bytes) -> bytes:
        pieces: list[bytes] = []
        offset, size = 0, len(data)
        while offset < size and not self.is_ended:
            head = _CHUNK_HEAD.match(data, offset)
            if head is None:
                _check_partial_head(data[offset : offset + MAX_HEAD_BYTES])
                break
            start, length = head.end(), int(head[1], 16)
            stop = start + length
            if length > MAX_EVENT_BYTES:
                raise FramingError(f"a chunk of {length} bytes is too long")
            if size < stop + len(CHUNK_END):
                break
            if length == 0:
                self._end_stream(data[stop:])
                break
            if not data.startswith(CHUNK_END, stop):
                raise FramingError(f"a chunk ends with {data[stop:][:2]!r}")
            pieces.append(self._complete_events(data, offset, start, stop))
            offset = stop + len(CHUNK_END)
        self._partial_chunk = b"" if self.is_ended else data[offset:]
        self._expect(pieces[-1] if pieces else b"")
        return b"".join(pieces)

    def _expect(self, last: bytes) -> None:
        """Sets the chunk head and size that the fast path expects next."""
        head = _CHUNK_HEAD.match(last)
        if head and not (
            head[2]
            or self._partial_chunk
            or self._partial_event
            or self.is_ended
        ):
            self._expected_head, self._expected_size = head[0], len(last)
        else:
            self._expected_head, self._expected_size = b"", -1

    def _complete_events(
        self, data: bytes, offset: int, start: int, stop: int
    ) -> bytes:
        payload = data[start:stop]
        is_plain = data.find(b";", offset, start) < 0
        if is_plain and not self._partial_event and payload.endswith(EVENT_END):
            return data[offset : stop + len(CHUNK_END)]
        partial = self._partial_event
        # The end of an event may be split between the buffer and the chunk.
        searched = max(0, len(partial) - len(EVENT_END) + 1)
        partial += payload
        end = partial.rfind(EVENT_END, searched) + len(EVENT_END)
        if end < len(EVENT_END):
            end = 0
        complete = bytes(partial[:end])
        del partial[:end]
        if len(partial) > MAX_EVENT_BYTES:
            raise FramingError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return chunk(complete) if end else b""

    def _end_stream(self, rest: bytes) -> None:
        if self._partial_event:
            raise FramingError("the stream ended within an event")
        self.is_ended = True
        # Trailers are not read, so a connection with trailers is not reused.
        self.is_clean = rest == CHUNK_END


def chunk(payload: bytes) -> bytes:
    """Returns the payload as one HTTP chunk."""
    return b"%x\r\n%b\r\n" % (len(payload), payload)


def _check_partial_head(data: bytes) -> None:
    is_short = len(data) < MAX_HEAD_BYTES and b"\n" not in data
    if not is_short or data[:1] not in b"0123456789abcdefABCDEF":
        raise FramingError(f"a chunk starts with {data[:40]!r}")
