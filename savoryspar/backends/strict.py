"""HTTP connections that reject heads and framing that end early.

``http.client`` takes the end of a connection for the end of a head, of a chunk
size and of trailers, so an answer that breaks off there looks complete.
"""

import http.client
import io
import socket

import urllib3
from urllib3 import connection, connectionpool


class TruncatedLineError(http.client.HTTPException, EOFError):
    """A connection ended in the middle of a line."""


class _LineReader(io.BufferedReader):
    """Reads lines that must end with a line feed."""

    def readline(self, size: int | None = -1, /) -> bytes:
        """Reads a line of at most ``size`` bytes.

        Raises:
            TruncatedLineError: The connection ended within the line.
            RemoteDisconnected: It ended before the line.
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
        return line


class StrictResponse(http.client.HTTPResponse):
    """A response whose head, chunk sizes and trailers must be complete."""

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
    ):
        super().__init__(sock, debuglevel, method, url)
        self.fp = _LineReader(self.fp.detach())


class StrictConnection(connection.HTTPConnection):
    """A connection with strict responses."""

    response_class = StrictResponse


class StrictTlsConnection(connection.HTTPSConnection):
    """A TLS connection with strict responses."""

    response_class = StrictResponse


class StrictPool(connectionpool.HTTPConnectionPool):
    """Connections to one server with strict responses."""

    ConnectionCls = StrictConnection


class StrictTlsPool(connectionpool.HTTPSConnectionPool):
    """TLS connections to one server with strict responses."""

    ConnectionCls = StrictTlsConnection


def new_strict_pool_manager(**options: object) -> urllib3.PoolManager:
    """Returns a pool manager with strict responses."""
    pool = urllib3.PoolManager(**options)
    pool.pool_classes_by_scheme = {"http": StrictPool, "https": StrictTlsPool}
    return pool
