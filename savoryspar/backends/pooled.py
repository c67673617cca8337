"""Connections of urllib3's pools whose answers are read within limits.

urllib3 reads the body of an answer to its end, and its timeout is one for each
read, so a server that sends without end would fill the memory.
"""

import socket
from typing import Any

from eventlet import greenio
import urllib3
from urllib3 import connection, connectionpool

from savoryspar import eventloop
from savoryspar.backends import bounded, buffers, strict

MAX_HEAD_BYTES = 65536
"""Limit for the head of an answer whose body is read by the caller."""
MAX_ANSWER_BYTES = 32 << 20
"""Limit for an answer that is read whole, and for all of them that are being
read. While its parts are joined, an answer takes twice its size, and the
smallest VMs have 160 MB, of which an idle process takes 80."""

_buffered = buffers.BufferedBytes(MAX_ANSWER_BYTES)


class PooledConnection(strict.StrictConnection):
    """A connection with limits on the size and the time of its answers."""

    _is_preloaded = True

    def _new_conn(self) -> socket.socket:
        sock = super()._new_conn()
        if isinstance(sock, greenio.GreenSocket):
            return eventloop.adopt(sock, bounded.BoundedSocket)
        # A tool without green threads.
        return sock

    def request(
        self, *args: Any, preload_content: bool = True, **options: Any
    ) -> None:
        """Sends a request; the body of the answer is not decompressed.

        No request accepts a compressed answer, which could have any size.
        """
        self._is_preloaded = preload_content
        options["decode_content"] = False
        super().request(*args, preload_content=preload_content, **options)

    def getresponse(self) -> urllib3.HTTPResponse:
        """Reads an answer, or its head if the caller reads the body.

        Raises:
            HTTPException, OSError: The answer is malformed, late or too long.
        """
        sock = self.sock
        if not isinstance(sock, bounded.BoundedSocket):
            return super().getresponse()
        if not self._is_preloaded:
            with sock.limits(self.timeout, MAX_HEAD_BYTES):
                return super().getresponse()
        with sock.limits(self.timeout, MAX_ANSWER_BYTES, _buffered):
            resp = super().getresponse()
        if sock.is_reset:
            raise ConnectionResetError("the answer ended with a reset")
        return resp


class PooledTlsConnection(connection.HTTPSConnection):
    """A TLS connection with strict responses; they have no limits."""

    response_class = strict.StrictResponse


class StrictPool(connectionpool.HTTPConnectionPool):
    """Connections to one server with strict responses."""

    ConnectionCls = PooledConnection


class StrictTlsPool(connectionpool.HTTPSConnectionPool):
    """TLS connections to one server with strict responses."""

    ConnectionCls = PooledTlsConnection


def new_strict_pool_manager(**options: object) -> urllib3.PoolManager:
    """Returns a pool manager with strict responses."""
    pool = urllib3.PoolManager(**options)
    pool.pool_classes_by_scheme = {"http": StrictPool, "https": StrictTlsPool}
    return pool
