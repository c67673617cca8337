"""Finds the head of another answer inside a body without a length.

Such a body ends with its connection. A server that writes an answer twice sends
the second copy before that, so the head of the copy ends the body.
"""

from collections.abc import Callable, Iterable
import http.client
import io
import re

STATUS_START = b"HTTP/1."
STATUS_LINE = rb"HTTP/1\.[01] ([1-9]\d\d)(?: [^\r\n]*)?\r\n"
FIELD_LINES = rb"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n]*\r\n)*+"
HEAD = re.compile(STATUS_LINE + rb"(" + FIELD_LINES + rb")\r\n")
PARTIAL_HEAD = re.compile(
    rb"HTTP/1\.(?:[01](?: (?:[1-9]\d{0,2}(?: [^\r\n]*)?)?)?)?\r?|"
    + STATUS_LINE
    + FIELD_LINES
    + rb"[^\r\n]*\r?"
)
"""The start of a head. Both expressions fail at the first line that no head
has, so text that repeats status lines is not read to its end for each."""
LINE_END = b"\r\n"
MAX_HEAD_BYTES = 16384
"""Largest head that is recognized; answers usually have a few hundred bytes."""

Head = tuple[int, list[tuple[str, str]]]
"""Status code and header fields."""


class BoundaryFinder:
    """Passes on a body up to the head of another answer.

    ``is_answer`` decides whether a head in the body is that of an answer, and
    not a part of the content.

    Attributes:
        held: Bytes that may be the start of a head.
        head: The head that was found, None before.
    """

    __slots__ = ("_is_answer", "head", "held")

    def __init__(self, is_answer: Callable[[Head], bool]):
        self._is_answer = is_answer
        self.held = b""
        self.head: Head | None = None

    def feed(self, data: bytes) -> bytes:
        """Adds bytes and returns those that belong to the body."""
        data, self.held = self.held + data, b""
        at = data.find(STATUS_START)
        while at >= 0:
            head = self._find_head(data, at)
            if head is not None and self._is_answer(head):
                self.head = head
                return data[:at]
            if head is None and _may_be_head(data, at):
                self.held = data[at:]
                return data[:at]
            at = data.find(STATUS_START, at + 1)
        size = _shared_bytes(data)
        if not size:
            return data
        self.held = data[-size:]
        return data[:-size]

    @property
    def holds_head(self) -> bool:
        """Whether the held bytes begin as a status line does."""
        return self.held.startswith(STATUS_START)

    def _find_head(self, data: bytes, at: int) -> Head | None:
        """Returns the complete head at an offset, None without one."""
        match = HEAD.match(data, at, at + MAX_HEAD_BYTES)
        if match is None:
            return None
        try:
            fields = http.client.parse_headers(io.BytesIO(match[2] + LINE_END))
        except http.client.HTTPException:
            # More fields than an answer may have, so it is content.
            return None
        return int(match[1]), fields.items()


def _may_be_head(data: bytes, at: int) -> bool:
    """Returns whether more bytes may complete a head at an offset."""
    return (
        len(data) - at < MAX_HEAD_BYTES
        and PARTIAL_HEAD.fullmatch(data, at) is not None
    )


def _shared_bytes(data: bytes) -> int:
    """Returns the length of the end that may begin a status line."""
    return next(
        (
            size
            for size in range(len(STATUS_START) - 1, 0, -1)
            if data.endswith(STATUS_START[:size])
        ),
        0,
    )


def without_date(fields: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Returns header fields without the time of the answer."""
    return [(name, value) for name, value in fields if name.lower() != "date"]
