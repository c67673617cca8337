"""Reads request bodies in chunks, which must be complete and well-formed.

The input of eventlet takes the end of a connection for the end of a chunk size
and of the trailers, and accepts sizes such as "+5" and any line after a chunk.
"""

import re

from eventlet import wsgi

from savoryspar import chunked

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
        try:
            return self._read_chunks(rfile, length)
        except wsgi.ChunkReadError as exc:
            self._failure = exc
            raise

    def _read_chunks(self, rfile: object, length: int | None) -> bytes:
        if self.should_send_hundred_continue:
            self.send_hundred_continue_response()
            self.is_hundred_continue_response_sent = True
        parts = []
        left = float("inf") if length is None or length < 0 else length
        while self.chunk_length != 0 and left > 0:
            if self.chunk_length < 0 or self.position == self.chunk_length:
                data = self._read_buffered_chunks(rfile, left)
                if data:
                    parts.append(data)
                    left -= len(data)
                else:
                    self._begin_chunk(rfile)
                continue
            data = rfile.read(min(left, self.chunk_length - self.position))
            if not data:
                raise wsgi.ChunkReadError("the body ended within a chunk")
            parts.append(data)
            left -= len(data)
            self.position += len(data)
            if self.position == self.chunk_length:
                line = _read_line(rfile)
                if line not in LINE_ENDS:
                    raise wsgi.ChunkReadError(f"a chunk ends with {line!r:.40}")
        return b"".join(parts)

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


def _read_line(rfile: object) -> bytes:
    line = rfile.readline(MAX_LINE_BYTES)
    if not line.endswith(b"\n"):
        raise wsgi.ChunkReadError(f"the body ended within {line!r:.40}")
    return line


def new_chunked_input(body: wsgi.Input) -> ChunkedInput:
    """Returns an input that replaces eventlet's one for a body in chunks."""
    return ChunkedInput(
        body.rfile,
        None,
        body.get_socket(),
        wfile=body.wfile,
        wfile_line=body.wfile_line,
        chunked_input=True,
    )
