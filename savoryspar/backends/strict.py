"""HTTP connections that reject heads and framing that are cut or malformed.

``http.client`` takes the end of a connection for the end of a head, of a chunk
size and of trailers, so an answer that breaks off there looks complete. It also
drops the fields after a malformed line, and ignores lengths and transfer
codings that it cannot read; the body then ends with its connection.
"""

import http.client
import io
import re
import socket

from urllib3 import connection

from savoryspar import chunked, decoding

MAX_LINE_BYTES = 65536
READ_BYTES = 8192
"""Most bytes of a body that are handled between two reads of the socket."""
MAX_INTERIM_ANSWERS = 16
"""Limit for the interim answers to one request; servers send one or two."""
# Statuses are from 100 to 599.
STATUS_LINE = re.compile(rb"(HTTP/1\.\d) ([1-5]\d\d)(?: ([^\n]*))?\r?\n")
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\n]*)?\r?\n")
FIELD_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
LENGTH = re.compile(r"[0-9]{1,18}")


class TruncatedLineError(http.client.HTTPException, EOFError):
    """A connection ended in the middle of a line."""


class MalformedAnswerError(http.client.HTTPException):
    """An answer whose head or framing is not valid HTTP."""


class _LineReader(io.BufferedReader):
    """Reads lines that must end with a line feed."""

    def readline(self, size: int | None = -1, /) -> bytes:
        """Reads a line of at most ``size`` bytes.

        Raises:
            TruncatedLineError: The connection ended within the line.
            RemoteDisconnected: It ended before the line.
            MalformedAnswerError: The line has a NUL, or a CR inside it, which
                parsers of header fields take for the end of a line.
        """
        line = super().readline(size)
        if not line:
            raise http.client.RemoteDisconnected(
                "the server closed the connection where a line was due"
            )
        if not line.endswith(b"\n") and len(line) != size:
            raise TruncatedLineError(
                f"the connection ended within the line {line!r:.80}"
            )
        if b"\r" in line[:-2] or b"\0" in line:
            raise MalformedAnswerError(f"the line {line!r:.80} is malformed")
        return line


class StrictResponse(http.client.HTTPResponse):
    """A response whose head and framing must be complete and valid.

    Attributes:
        keeps_reader: Whether the reader stays open at the end of the body, for
            the bytes that follow on the connection.
    """

    keeps_reader = False
    _is_ended = False

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
    ):
        super().__init__(sock, debuglevel, method, url)
        self.fp = _LineReader(self.fp.detach())

    def begin(self) -> None:
        """Reads the head, after interim answers.

        Raises:
            HTTPException: The head is malformed or ended early, or there are
                too many interim answers.
        """
        if self.headers is not None:
            return
        super().begin()
        interim = 0
        while 100 <= self.status < 200:
            interim += 1
            if self.status == http.HTTPStatus.SWITCHING_PROTOCOLS:
                raise MalformedAnswerError("no other protocol was requested")
            if interim > MAX_INTERIM_ANSWERS:
                raise MalformedAnswerError(
                    f"more than {MAX_INTERIM_ANSWERS} interim answers"
                )
            self.headers = self.msg = None
            super().begin()
        _check_fields(self.headers)
        _check_framing(self.headers, self.version)

    def read(self, amt: int | None = None) -> bytes:
        """Returns ``amt`` bytes of the body, or the whole body.

        The base class allocates a length that is stated, however large, and
        keeps an object for each chunk until the end.

        Raises:
            HTTPException, OSError: The body is malformed or ended early.
        """
        if amt is not None:
            return super().read(amt)
        body = bytearray()
        while data := self.read1(READ_BYTES):
            body += data
        if self.length:
            raise http.client.IncompleteRead(bytes(body), self.length)
        if not self.isclosed():
            self._close_conn()
        return bytes(body)

    def read1(self, n: int = -1) -> bytes:
        """Returns bytes of the body, empty at its end."""
        # The base class tells the end by the closed reader.
        return b"" if self._is_ended else super().read1(n)

    def close(self) -> None:
        """Closes the reader too."""
        self.keeps_reader = False
        super().close()

    def _close_conn(self) -> None:
        self._is_ended = True
        if not self.keeps_reader:
            super()._close_conn()

    def _read_status(self) -> tuple[str, int, str]:
        line = self.fp.readline(MAX_LINE_BYTES)
        match = STATUS_LINE.fullmatch(line)
        if match is None:
            raise http.client.BadStatusLine(repr(line[:80]))
        version, status, reason = match.groups(b"")
        return version.decode(), int(status), reason.decode("iso-8859-1")

    def _read1_chunked(self, n: int) -> bytes:
        return self._read_buffered_chunks(n) or super()._read1_chunked(n)

    def _read_buffered_chunks(self, max_bytes: int) -> bytes:
        """Reads the whole chunks in the buffer, and fills it if it is empty.

        Returns:
            Their data, empty if the buffer does not begin with a whole chunk.
        """
        if self.chunk_left:
            return b""
        data = self.fp.peek(1)
        if 0 <= max_bytes < len(data):
            return b""
        offset = 0
        if self.chunk_left == 0:
            # The end of the chunk before was not read yet.
            if not data.startswith(chunked.CHUNK_END):
                return b""
            offset = len(chunked.CHUNK_END)
        parts, offset = chunked.split_chunks(data, offset)
        if parts:
            self.fp.read(offset)
            self.chunk_left = None
        return b"".join(parts)

    def _get_chunk_left(self) -> int | None:
        if self.chunk_left == 0:
            end = self._safe_read(2)
            if end != b"\r\n":
                raise MalformedAnswerError(f"a chunk ends with {end!r}")
            self.chunk_left = None
        return super()._get_chunk_left()

    def _read_next_chunk_size(self) -> int:
        line = self.fp.readline(MAX_LINE_BYTES)
        match = CHUNK_LINE.fullmatch(line)
        if match is None:
            raise MalformedAnswerError(f"a chunk starts with {line!r:.80}")
        return int(match[1], 16)


def _check_fields(fields: http.client.HTTPMessage) -> None:
    """Checks that every line of a head was read as a header field.

    Raises:
        MalformedAnswerError: A line is malformed or folded.
    """
    defects = decoding.head_defects(fields)
    unread = "" if fields.is_multipart() else fields.get_payload()
    if defects or unread:
        raise MalformedAnswerError(
            f"the head is malformed: {defects!r:.200}, not read: {unread!r:.80}"
        )
    if fields.get_unixfrom() is not None:
        raise MalformedAnswerError("the first line of the head is no field")
    for name, value in fields.items():
        if not FIELD_NAME.fullmatch(name) or "\n" in value:
            raise MalformedAnswerError(
                f"the field {name!r:.80} is malformed or folded"
            )


def _check_framing(fields: http.client.HTTPMessage, version: int) -> None:
    """Checks that the end of a body is stated in one way only, or not at all.

    Args:
        fields: Header fields.
        version: Version of HTTP as ``http.client`` states it: 10 or 11.

    Raises:
        MalformedAnswerError: It is not.
    """
    codings = [text.lower() for text in fields.get_all("Transfer-Encoding", [])]
    lengths = {text.strip() for text in fields.get_all("Content-Length", [])}
    if codings and (codings != ["chunked"] or lengths or version < 11):
        raise MalformedAnswerError(f"the transfer coding is {codings!r:.80}")
    if len(lengths) > 1 or not all(map(LENGTH.fullmatch, lengths)):
        raise MalformedAnswerError(f"the length is {sorted(lengths)!r:.80}")


class StrictConnection(connection.HTTPConnection):
    """A connection with strict responses."""

    response_class = StrictResponse
