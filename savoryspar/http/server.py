"""The server of the application, with a graceful shutdown."""

from collections.abc import Callable
import socket

import eventlet
from eventlet import wsgi

from savoryspar import conf
from savoryspar.http import protocol

BACKLOG = 1024


class _SilentLog:
    """Discards the server's own lines; decisions are logged elsewhere."""

    __slots__ = ()

    def write(self, text: str) -> None:
        """Discards the text."""


class Server:
    """Listens for callers until it is stopped."""

    __slots__ = ("_app", "_cfg", "_pool", "_sock", "_thread", "address")

    def __init__(self, app: Callable, cfg: conf.Settings):
        self._app = app
        self._cfg = cfg
        self._pool = eventlet.GreenPool(cfg.http.max_connections)
        self._sock = eventlet.listen(
            (cfg.entry.listen_address, cfg.entry.listen_port),
            backlog=BACKLOG,
            reuse_port=True,
        )
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.address = self._sock.getsockname()
        self._thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Serves in a green thread."""
        self._thread = eventlet.spawn(
            wsgi.server,
            self._sock,
            self._app,
            log=_SilentLog(),
            log_output=False,
            custom_pool=self._pool,
            minimum_chunk_size=0,
            socket_timeout=self._cfg.http.read_timeout_s,
            protocol=protocol.new_protocol(self._cfg.http.read_timeout_s),
            keepalive=self._cfg.http.read_timeout_s,
            debug=False,
        )

    def stop(self) -> None:
        """Stops listening and waits until every request is answered."""
        self._thread.kill()
        self._pool.waitall()


def new_server(app: Callable, cfg: conf.Settings) -> Server:
    """Returns a server that listens but does not serve yet."""
    return Server(app, cfg)
