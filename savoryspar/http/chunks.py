"""Reads request bodies; those in chunks must be complete and well-formed.

The input of eventlet takes the end of a connection for the end of a chunk size
and of the trailers, and accepts sizes such as "+5" and any line after a chunk.
"""

import functools
import re
from typing import BinaryIO

from eventlet import wsgi

from savoryspar import chunked

READ_BYTES = 16384
"""Most bytes of a body that are read at once."""
MAX_LINE_BYTES = 4096
MAX_TRAILER_LINES = 100
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n]*)?\r?\n")
LINE_ENDS = (b"\r\n", b"\n")


class ChunkedInput(wsgi.Input):
    """The input of a request whose body is sent in chunks."""

    _failure: wsgi.ChunkReadError | None = None

    def _chunked_read(
        self,
        rfile: object,
        length: int | None = None,
        use_readline: bool = False,
    ) -> bytes:
        """Reads at most ``length`` bytes, or the rest if it is None.

        Raises:
            ChunkReadError: The body is malformed or ended early. All further
                reads raise it too, since the end of the body is unknown.
        """
        if self._failure is not None:
            raise self._failure
        parts = []
        left = float("inf") if length is None or length < 0 else length
        while left > 0 and (data := self.read_part(left)):
            parts.append(data)
            left -= len(data)
        return b"".join(parts)

    def read_part(self, max_bytes: float) -> bytes:
        """Returns bytes that have arrived, empty at the end of the body.

        Raises:
            ChunkReadError: As for ``_chunked_read``.
        """
        if self._failure is not None:
            raise self._failure
        try:
            return self._read_part(self.rfile, max_bytes)
        except wsgi.ChunkReadError as exc:
            self._failure = exc
            raise

    @property
    def announced_bytes(self) -> int:
        """Bytes of the current chunk that were not read yet."""
        return max(0, self.chunk_length - self.position)

    def _read_part(self, rfile: object, max_bytes: float) -> bytes:
        if self.should_send_hundred_continue:
            self.send_hundred_continue_response()
            self.is_hundred_continue_response_sent = True
        while self.chunk_length != 0:
            if self.chunk_length > 0 and self.position < self.chunk_length:
                return self._read_in_chunk(rfile, max_bytes)
            data = self._read_buffered_chunks(rfile, max_bytes)
            if data:
                return data
            self._begin_chunk(rfile)
        return b""

    def _read_in_chunk(self, rfile: object, max_bytes: float) -> bytes:
        left = self.chunk_length - self.position
        data = _read_arrived(rfile, min(max_bytes, left, READ_BYTES))
        if not data:
            raise wsgi.ChunkReadError("the body ended within a chunk")
        self.position += len(data)
        if self.position == self.chunk_length:
            line = _read_line(rfile)
            if line not in LINE_ENDS:
                raise wsgi.ChunkReadError(f"a chunk ends with {line!r:.40}")
        return data

    def _read_buffered_chunks(self, rfile: object, max_bytes: float) -> bytes:
        """Reads the whole chunks in the buffer, and fills it if it is empty.

        Returns:
            Their data, empty if the buffer does not begin with a whole chunk.
        """
        buffered = rfile.peek(1)
        if len(buffered) > max_bytes:
            return b""
        parts, offset = chunked.split_chunks(buffered)
        if parts:
            rfile.read(offset)
        return b"".join(parts)

    def _begin_chunk(self, rfile: object) -> None:
        line = _read_line(rfile)
        match = SIZE_LINE.fullmatch(line)
        if match is None:
            raise wsgi.ChunkReadError(f"a chunk begins with {line!r:.40}")
        size = int(match[1], 16)
        if size == 0:
            self._discard_trailers(rfile)
        self.chunk_length = size
        self.position = 0

    def _discard_trailers(self, rfile: object) -> None:
        for _ in range(MAX_TRAILER_LINES):
            if _read_line(rfile) in LINE_ENDS:
                return
        raise wsgi.ChunkReadError("the body has too many trailers")


def _read_arrived(rfile: BinaryIO, size: int) -> bytes:
    """Waits for bytes and returns them, empty at the end of the connection.

    Only the buffer of the file is kept while they are waited for.
    """
    rfile.peek(1)
    return rfile.read1(size)


def _read_line(rfile: object) -> bytes:
    line = rfile.readline(MAX_LINE_BYTES)
    if not line.endswith(b"\n"):
        raise wsgi.ChunkReadError(f"the body ended within {line!r:.40}")
    return line


class SizedInput(wsgi.Input):
    """The input of a request whose body has a stated length, or none."""

    def read_part(self, max_bytes: float) -> bytes:
        """Returns bytes that have arrived, empty at the end."""
        return self._do_read(
            functools.partial(_read_arrived, self.rfile),
            min(max_bytes, READ_BYTES),
        )

    @property
    def announced_bytes(self) -> int:
        """Bytes of the body that were not read yet."""
        return self.content_length - self.position


def new_chunked_input(body: wsgi.Input) -> ChunkedInput:
    """Returns an input that replaces eventlet's one for a body in chunks."""
    return _replace(ChunkedInput, body)


def new_input(body: wsgi.Input) -> ChunkedInput | SizedInput:
    """Returns an input that replaces eventlet's one for any body."""
    return _replace(ChunkedInput if body.chunked_input else SizedInput, body)


def _replace(
    input_class: type[ChunkedInput | SizedInput], body: wsgi.Input
) -> ChunkedInput | SizedInput:
    return input_class(
        body.rfile,
        body.content_length,
        body.get_socket(),
        wfile=body.wfile,
        wfile_line=body.wfile_line,
        chunked_input=body.chunked_input,
    )
