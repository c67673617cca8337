"""Checks that a body which ended with its connection is complete.

A body without a length and chunks ends with its connection. The kernel of a
server process that is killed closes its connections in the same way as a server
that has sent everything, so the end alone does not show that the body is
complete. A server that still runs has ended it deliberately.
"""

from collections.abc import Callable
import enum
import socket
import weakref

import eventlet
from urllib3 import connection

from savoryspar.backends import bounded, exceptions

CHECK_TIMEOUT_S = 0.5
"""Time in which a server must show that it runs."""
SETTLE_S = 0.02
"""Time in which the other connections of a process that ended are closed too.
Its kernel may accept a connection in the same moment and then reset it."""
TCP_ESTABLISHED = 1
TCP_CLOSE_WAIT = 8
"""States of a connection that is open, and that its peer has closed normally:
the first byte of the kernel's ``tcp_info``."""
MAX_CONNECTS = 2
"""Connections opened for one check."""
RECENTLY_USED_S = 1.0
"""Servers do not close idle connections that were used so recently."""

Server = tuple[str, str]
"""ID and address (``IP:port``) of a server."""


class Evidence(enum.StrEnum):
    """What shows whether a server has ended an answer deliberately.

    The first three show that it has. The others leave it open; ``STOPPED`` is a
    refusal by a server that is leaving.
    """

    CONNECTED = "connected"
    OPEN_CONNECTION = "open connection"
    NEXT_ANSWER = "next answer"
    REFUSED = "refused"
    STOPPED = "stopped"
    NO_REPLY = "no reply"
    RESTARTED = "restarted"


COMPLETE = frozenset({Evidence.CONNECTED, Evidence.OPEN_CONNECTION})
LOST_PROCESS = frozenset({Evidence.REFUSED, Evidence.RESTARTED})
"""Evidence that the process of the server has ended."""


class EndChecker:
    """Checks whether servers still run; see ``new_end_checker``."""

    __slots__ = ("_clock", "_connect", "_keep", "_kept", "_sockets")

    def __init__(
        self,
        connect: Callable[[Server, float], connection.HTTPConnection],
        keep: Callable[[Server, connection.HTTPConnection], None],
        kept: Callable[[Server, float], list[connection.HTTPConnection]],
        clock: Callable[[], float],
    ):
        self._connect = connect
        self._keep = keep
        self._kept = kept
        self._clock = clock
        self._sockets: dict[Server, weakref.WeakSet[bounded.BoundedSocket]] = {}

    def add(self, server: Server, sock: bounded.BoundedSocket) -> None:
        """Adds an open connection of a server."""
        self._sockets.setdefault(server, weakref.WeakSet()).add(sock)

    def discard_unused(self) -> None:
        """Forgets the servers without a connection."""
        self._sockets = {
            server: socks for server, socks in self._sockets.items() if socks
        }

    def check(
        self,
        server: Server,
        last_byte_at: float,
        until: float,
        is_leaving: bool,
    ) -> Evidence:
        """Returns what shows whether a server still runs.

        A server that refuses new connections because it stops, or that resets
        them because it has too many, is recognized by its open ones. Servers
        that are leaving may close idle connections at any time.

        Args:
            server: The server, whose answer has just ended.
            last_byte_at: When the last byte of the answer arrived, in monotonic
                seconds.
            until: Monotonic time by which the check ends.
            is_leaving: Whether the server is known to be leaving.
        """
        since = last_byte_at - RECENTLY_USED_S
        recently_kept = self._kept(server, since)
        evidence = self._check_accepts(server, until)
        if evidence is not Evidence.CONNECTED:
            eventlet.sleep(SETTLE_S)
            if self._has_open(server, last_byte_at):
                return Evidence.OPEN_CONNECTION
            is_stop = evidence is Evidence.REFUSED and is_leaving
            return Evidence.STOPPED if is_stop else evidence
        # The end of a connection that another request has taken meanwhile may
        # be that of its answer. A process that is killed closes its connections
        # normally; servers reset those beyond a limit.
        still_kept = {*self._kept(server, since)}
        is_ended = [
            _state(conn.sock) == TCP_CLOSE_WAIT
            for conn in recently_kept
            if conn in still_kept
        ]
        if is_ended and all(is_ended) and not is_leaving:
            return Evidence.RESTARTED
        return evidence

    def _check_accepts(self, server: Server, until: float) -> Evidence:
        """Returns whether the server accepts connections."""
        until = min(until, self._clock() + CHECK_TIMEOUT_S)
        for _ in range(MAX_CONNECTS):
            left_s = until - self._clock()
            if left_s <= 0.0:
                return Evidence.NO_REPLY
            try:
                conn = self._connect(server, left_s)
            except exceptions.CallRefusedError as exc:
                cause = exc.__cause__
                if isinstance(cause, ConnectionResetError):
                    # It was accepted, and reset before it could be used.
                    eventlet.sleep(SETTLE_S)
                    continue
                is_refused = isinstance(cause, ConnectionRefusedError)
                return Evidence.REFUSED if is_refused else Evidence.NO_REPLY
            if self._outlasts_process(server, conn):
                return Evidence.CONNECTED
        # The process that listens resets connections, so it runs.
        return Evidence.CONNECTED

    def _outlasts_process(
        self, server: Server, conn: connection.HTTPConnection
    ) -> bool:
        """Returns whether a new connection stays open, and keeps it if so."""
        try:
            eventlet.sleep(SETTLE_S)
        except BaseException:
            # The caller disconnected.
            conn.close()
            raise
        if _state(conn.sock) == TCP_ESTABLISHED:
            self._keep(server, conn)
            return True
        conn.close()
        return False

    def _has_open(self, server: Server, last_byte_at: float) -> bool:
        """Returns whether a connection from the time of the answer is open."""
        return any(
            sock.opened_at <= last_byte_at and _state(sock) == TCP_ESTABLISHED
            for sock in self._sockets.get(server, ())
        )


def is_open(sock: bounded.BoundedSocket) -> bool:
    """Returns whether a connection is open and has no unread bytes."""
    try:
        sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    # Unread bytes of a stray answer, or end of file.
    return False


def _state(sock: bounded.BoundedSocket) -> int | None:
    """Returns the kernel's state of a connection, None if it is closed here.

    A late copy of an answer may be unread on an open connection.
    """
    try:
        return sock.fd.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return None


def new_end_checker(
    connect: Callable[[Server, float], connection.HTTPConnection],
    keep: Callable[[Server, connection.HTTPConnection], None],
    kept: Callable[[Server, float], list[connection.HTTPConnection]],
    clock: Callable[[], float],
) -> EndChecker:
    """Returns a checker that knows no connections.

    Args:
        connect: Opens a connection to a server within seconds; raises
            ``CallRefusedError``.
        keep: Keeps a connection on which nothing was sent.
        kept: Returns the idle connections of a server that were last used at
            a monotonic time or later.
        clock: Monotonic time in seconds.
    """
    return EndChecker(connect, keep, kept, clock)
