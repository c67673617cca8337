"""A WSGI server with a graceful shutdown.

When ``eventlet.wsgi.server`` stops, it shuts down every connection on which it
has not read a request line yet, even if a request is in the socket buffer. This
module therefore has its own accept loop.
"""

import collections
from collections.abc import Callable
import contextlib
import functools
import itertools
import math
import socket
import time
from typing import Any

import eventlet
from eventlet import greenio, wsgi

from savoryspar import conf, eventloop, log, tasks
from savoryspar.http import (
    caller_socket,
    connection_budget,
    exceptions,
    protocol,
)

ACCEPT_RETRY_DELAY_S = 0.05
IDLE_CHECK_INTERVAL_S = 0.05
RECEIVE_BUFFER_BYTES = 16 << 10
"""Receive buffer of a caller's connection, of which the kernel takes up to
twice the size, also while nothing is read. It grows to 6 MB by default. 16 kB
suffice for 130 Mbit/s over a round trip of 1 ms, and for 6 Mbit/s over one of
20 ms."""
ACCEPTS_PER_ROUND = 32
"""Connections that are accepted without letting other green threads run."""
MAX_CLOSING = 32
"""Connections that were given up and are not closed yet, above which others
wait to be accepted."""
MAX_REFUSED = 16
"""Refused connections that are kept until their callers have read why."""
REFUSED_BUFFER_BYTES = 4096
"""Receive buffer of a refused connection, whose bytes are not read."""
REFUSAL = protocol.EMPTY_RESPONSE.format(
    503, "Service Unavailable", protocol.RETRY_FIELD
).encode()
LOG_INTERVAL_S = 10.0
"""Shortest time between two lines about refused connections."""
MIN_REQUEST_LINE_BYTES = 8192
"""Lower bound of the limit for a request line."""
FIRST_REQUEST_GRACE_S = 2.0
"""Time for the first request on a new connection while the server stops."""


class _WsgiServer(wsgi.Server):
    """State shared by all connections.

    Attributes:
        is_draining: Whether callers are asked to close their connections.
        head_timeout_s: Longest time for all headers of a request.
        max_header_bytes: Largest size of all headers of a request.
    """

    is_draining = False
    head_timeout_s = 10.0
    max_header_bytes = protocol.MAX_HEADER_BYTES


class Server:
    """A WSGI server in green threads, which listens until it is stopped.

    Attributes:
        address: IP address and port of the listening socket.
        budget: Limits for the connections.
    """

    __slots__ = (
        "_connections",
        "_is_stopped",
        "_logged",
        "_logged_at",
        "_logger",
        "_pool",
        "_refused",
        "_sock",
        "_thread",
        "_wsgi",
        "address",
        "budget",
    )

    def __init__(
        self,
        app: Callable,
        address: tuple[str, int],
        budget: connection_budget.ConnectionBudget,
        read_timeout_s: float,
    ):
        self.budget = budget
        self._pool = eventlet.GreenPool(budget.max_connections + MAX_CLOSING)
        self._sock = eventloop.adopt(
            eventloop.listen(address, reuse_port=True),
            caller_socket.CallerSocket,
        )
        # Connections that were refused and whose callers may still send.
        self._refused: collections.deque[caller_socket.CallerSocket] = (
            collections.deque()
        )
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Connections inherit it.
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.address = self._sock.getsockname()
        self._is_stopped = False
        self._thread: eventlet.greenthread.GreenThread | None = None
        self._logger = log.new_logger("http")
        self._logged = (0, 0)
        self._logged_at = -math.inf
        # The WSGI server represents a connection by a list of address, socket
        # and state. Maps the ID of that list to the accept time and the list.
        self._connections: dict[int, tuple[float, list[Any]]] = {}
        self._wsgi = _WsgiServer(
            self._sock,
            self.address,
            app,
            protocol=protocol.TimedProtocol,
            minimum_chunk_size=0,
            keepalive=read_timeout_s,
            log_output=False,
            socket_timeout=read_timeout_s,
            debug=False,
        )
        self._wsgi.head_timeout_s = read_timeout_s

    def start(self) -> None:
        """Starts the accept loop in a green thread."""
        self._thread = tasks.spawn_task("accepts", self._accept)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def set_limits(
        self,
        head_timeout_s: float,
        idle_timeout_s: float,
        max_header_bytes: int,
    ) -> None:
        """Sets the limits for heads and for idle connections.

        Args:
            head_timeout_s: Longest time for all headers of a request.
            idle_timeout_s: Longest time between two requests.
            max_header_bytes: Largest size of the headers of a request, and
                that of its request line unless the default is larger.
        """
        self._wsgi.head_timeout_s = head_timeout_s
        self._wsgi.keepalive = idle_timeout_s
        self._wsgi.max_header_bytes = max_header_bytes
        self._wsgi.url_length_limit = max(
            MIN_REQUEST_LINE_BYTES, max_header_bytes
        )

    def drain(self) -> None:
        """Makes all further responses ask callers to close the connection."""
        self._wsgi.is_draining = True

    def stop(self, until: float = math.inf) -> None:
        """Stops listening and waits for the responses to all requests.

        Args:
            until: Monotonic time at which the wait ends, in seconds; a second
                call continues it.
        """
        self.drain()
        if not self._is_stopped:
            self._is_stopped = True
            self._thread.kill()
            self._accept_backlog()
            self._sock.close()
        while self._pool.running() and time.monotonic() < until:
            self._close_idle(time.monotonic())
            eventlet.sleep(IDLE_CHECK_INTERVAL_S)

    def _accept(self) -> None:
        for number in itertools.count(1):
            try:
                sock, address = self._sock.accept()
            except OSError as exc:
                # For example, no file descriptor is free.
                self._logger.warning(f"Connection not accepted. {exc}")
                self.budget.reclaim(time.monotonic())
                eventlet.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            self._spawn(sock, address)
            self._log_pressure(time.monotonic())
            # A full backlog would hold the loop, and connections that were
            # given up could not be closed meanwhile.
            if (
                number % ACCEPTS_PER_ROUND == 0
                or self.budget.closing >= MAX_CLOSING
            ):
                eventlet.sleep(0)

    def _log_pressure(self, now: float) -> None:
        """Logs that connections were refused or given up."""
        budget = self.budget
        counts = (budget.refused, budget.given_up)
        if counts == self._logged or now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logger.warning(
            f"Connections refused: {counts[0] - self._logged[0]}, given up for"
            f" others: {counts[1] - self._logged[1]}. open={budget.count}"
            f" limit={budget.max_connections} request_bytes={budget.held}"
            f" limit_bytes={budget.max_bytes:g}"
        )
        self._logged, self._logged_at = counts, now

    def _accept_backlog(self) -> None:
        """Accepts the connections in the backlog.

        Closing the listener would reset them.
        """
        while True:
            try:
                sock, address = self._sock.fd.accept()
            except OSError:
                return
            self._spawn(caller_socket.CallerSocket(sock), address)

    def _spawn(self, sock: caller_socket.CallerSocket, address: Any) -> None:
        sock.settimeout(self._wsgi.socket_timeout)
        connection = [address, sock, wsgi.STATE_IDLE]
        now = time.monotonic()
        try:
            sock.record = self.budget.open(
                caller_socket.CallerTransport(
                    sock, functools.partial(_close_idle, connection)
                ),
                now,
            )
        except exceptions.ConnectionsFullError:
            self._refuse(sock)
            return
        sock.budget = self.budget
        self._connections[id(connection)] = (now, connection)
        self._pool.spawn_n(self._serve, connection)

    def _refuse(self, sock: caller_socket.CallerSocket) -> None:
        """Refuses a connection without waiting for its request.

        The connection is closed later, as that may reset it, which would
        discard the response.
        """
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, REFUSED_BUFFER_BYTES
            )
            sock.fd.send(REFUSAL)
            sock.shutdown(socket.SHUT_WR)
        self._refused.append(sock)
        eventlet.spawn_after(protocol.LINGER_S, sock.close)
        while len(self._refused) > MAX_REFUSED:
            self._refused.popleft().close()

    def _serve(self, connection: list[Any]) -> None:
        try:
            self._wsgi.process_request(connection)
        except OSError as exc:
            self._logger.info(f"Connection failed. {exc}")
        finally:
            del self._connections[id(connection)]
            sock = connection[1]
            greenio.shutdown_safe(sock)
            sock.close()
            self.budget.close(sock.record)

    def _close_idle(self, now: float) -> None:
        for accepted_at, connection in [*self._connections.values()]:
            _, sock, state = connection
            is_new = now - accepted_at < FIRST_REQUEST_GRACE_S
            if (
                state == wsgi.STATE_IDLE
                and not is_new
                and not protocol.has_data(sock)
            ):
                _close_idle(connection)


def _close_idle(connection: list[Any]) -> None:
    """Closes a connection that waits for a request."""
    connection[2] = wsgi.STATE_CLOSE
    greenio.shutdown_safe(connection[1])


def new_server(app: Callable, cfg: conf.Settings) -> Server:
    """Returns a server for callers, which listens but does not accept yet."""
    return new_server_at(
        app,
        (cfg.entry.listen_address, cfg.entry.listen_port),
        cfg.http.max_connections,
        cfg.http.read_timeout_s,
    )


def new_server_at(
    app: Callable,
    address: tuple[str, int],
    limit: int | connection_budget.ConnectionBudget,
    read_timeout_s: float,
) -> Server:
    """Returns a server that listens on an address but does not accept yet.

    Args:
        app: The WSGI application.
        address: IP address and port.
        limit: Maximum number of connections served concurrently, or a budget.
        read_timeout_s: Timeout for a new request and for each read of it.
    """
    return Server(app, address, _to_budget(limit), read_timeout_s)


@functools.singledispatch
def _to_budget(
    limit: connection_budget.ConnectionBudget,
) -> connection_budget.ConnectionBudget:
    return limit


@_to_budget.register
def _(limit: int) -> connection_budget.ConnectionBudget:
    return connection_budget.new_connection_budget(limit)
