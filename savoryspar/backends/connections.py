"""Connections to backend servers, kept for further requests.

A reused connection may have been closed by the server in the same moment, and
then nobody knows whether a request that was sent on it has run. Requests that
may not be repeated therefore reuse only connections that were used just now.
"""

from collections.abc import Callable, Iterable, Sequence
import contextlib
import http.client
import socket

from eventlet import greenio
import urllib3
from urllib3 import connection

from savoryspar.backends import exceptions, requests

CONNECT_TIMEOUT_S = 0.4
"""A round trip between regions takes 40 ms; a lost SYN is sent again after 1 s,
by when another server has answered."""
MAX_IDLE_S = 4.0
"""Reuse limit when the server states no idle timeout."""
FRESH_IDLE_S = 1.0
"""Reuse limit for requests that may not be repeated."""
IDLE_MARGIN_S = 0.7
"""Kept off the server's idle timeout, which it states in whole seconds."""
MAX_IDLE_CONNECTIONS = 16
"""Idle connections kept for each server."""
READ_BYTES = 65536
MAX_STRAY_ANSWERS = 2
"""Answers to other requests that are skipped on one connection."""

USER_TIMEOUT_MS = 3000
"""Time without an acknowledgement after which a connection is dead."""

FAILURES = (
    OSError,
    ValueError,
    AttributeError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
)


def probing_options(user_timeout_ms: int) -> tuple[tuple[int, int, int], ...]:
    """Returns socket options that notice a silent connection within 3 s.

    Args:
        user_timeout_ms: Time without an acknowledgement of what was sent.
    """
    return (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms),
    )


ReadFacts = Callable[[int, Iterable[tuple[str, str]]], requests.AnswerFacts]


class ResetAwareSocket(greenio.GreenSocket):
    """Remembers a reset, which the base class reports as a normal end.

    A body without a length ends with its connection, and only an orderly end
    makes it whole.
    """

    is_reset = False

    def _recv_loop(self, recv_meth, empty_val, *args):
        def receive(*words):
            try:
                return recv_meth(*words)
            except ConnectionResetError:
                self.is_reset = True
                raise

        return super()._recv_loop(receive, empty_val, *args)


class Answer:
    """A server's answer whose head was read.

    Attributes:
        status, reason: Of the status line.
        fields: Header fields as they came.
        facts: What the head says of the request.
        is_complete: Whether the body was read to its end.
    """

    __slots__ = (
        "_conn",
        "_release",
        "_resp",
        "_sock",
        "facts",
        "fields",
        "is_complete",
        "reason",
        "server",
        "status",
    )

    def __init__(
        self,
        server: str,
        conn: connection.HTTPConnection,
        sock: ResetAwareSocket,
        resp: http.client.HTTPResponse,
        facts: requests.AnswerFacts,
        release: Callable[["Answer"], None],
    ):
        self.server = server
        self.status = resp.status
        self.reason = resp.reason
        self.fields = resp.getheaders()
        self.facts = facts
        self.is_complete = False
        self._conn = conn
        self._sock = sock
        self._resp = resp
        self._release = release

    def read_some(self, timeout_s: float) -> bytes:
        """Waits for a part of the body; empty after the last one.

        Raises:
            CallUnknownError: The body ended early or did not come in time.
        """
        if self.is_complete:
            return b""
        try:
            self._sock.settimeout(max(0.001, timeout_s))
            data = self._resp.read1(READ_BYTES)
        except FAILURES as exc:
            self.close()
            raise exceptions.CallUnknownError(
                self.server,
                f"the answer broke off: {exc!r}",
                "the caller gets no whole answer; check the server",
                has_sent=True,
                is_crash=not isinstance(exc, TimeoutError),
            ) from exc
        if data:
            return data
        missing = self._resp.length
        if missing or self._sock.is_reset:
            self.close()
            raise exceptions.CallUnknownError(
                self.server,
                f"the answer ended early: {missing} bytes are missing",
                "the caller gets no whole answer; check the server",
                has_sent=True,
                is_crash=True,
            )
        self.is_complete = True
        # Reading to the end does not tell http.client that the body is done,
        # and it would not send another request before.
        self._resp.close()
        self._release(self)
        return b""

    def read_all(self, deadline_at: float, clock: Callable[[], float]) -> bytes:
        """Reads the whole body; raises as ``read_some`` does."""
        parts = []
        while data := self.read_some(deadline_at - clock()):
            parts.append(data)
        return b"".join(parts)

    def close(self) -> None:
        """Closes the connection, which cancels the request at the server."""
        self.is_complete = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        with contextlib.suppress(*FAILURES):
            self._resp.close()
        self._conn.close()


class Connections:
    """Sends requests and keeps idle connections by server.

    Attributes:
        opened: Connections opened since the start.
        stray_answers: Answers to other requests that were skipped.
    """

    __slots__ = ("_clock", "_facts", "_idle", "opened", "stray_answers")

    def __init__(self, facts: ReadFacts, clock: Callable[[], float]):
        self._facts = facts
        self._clock = clock
        # Idle connections with the time of their last use and their limit.
        self._idle: dict[
            tuple[str, str],
            list[tuple[connection.HTTPConnection, float, float]],
        ] = {}
        self.opened = 0
        self.stray_answers = 0

    def send(
        self,
        server: tuple[str, str],
        method: str,
        target: str,
        fields: Sequence[tuple[str, str]],
        body: bytes,
        timeout_s: float,
        attempt_id: str = "",
        may_repeat: bool = False,
    ) -> Answer:
        """Sends a request and returns the answer after its head.

        Args:
            server: ID and address (``IP:port``) of the server.
            method: Method of the request.
            target: Target, sent as it is.
            fields: Header fields.
            body: Whole body.
            timeout_s: Longest wait for the head.
            attempt_id: Attempt that the answer must name, if it names one.
            may_repeat: Whether the request may be sent again on a new
                connection when a reused one turns out to be closed.

        Raises:
            CallRefusedError: There is no connection; nothing was sent.
            CallUnknownError: The request may have run.
        """
        deadline_at = self._clock() + timeout_s
        limit_s = MAX_IDLE_S if may_repeat else FRESH_IDLE_S
        conn = self._take_idle(server, limit_s)
        is_reused = conn is not None
        if conn is None:
            conn = self._open(server, min(CONNECT_TIMEOUT_S, timeout_s))
        try:
            return self._exchange(
                server,
                conn,
                method,
                target,
                fields,
                body,
                deadline_at,
                attempt_id,
            )
        except FAILURES as exc:
            conn.close()
            left_s = deadline_at - self._clock()
            cause: Exception = exc
            if (
                is_reused
                and may_repeat
                and left_s > 0
                and not isinstance(exc, TimeoutError)
            ):
                self._idle.pop(server, None)
                try:
                    return self.send(
                        server, method, target, fields, body, left_s, attempt_id
                    )
                except exceptions.CallRefusedError as refused:
                    # What was sent first may have been read before the reset.
                    cause = refused
            raise exceptions.CallUnknownError(
                server[0],
                f"no answer: {cause!r}",
                "the request may have run; check the server",
                has_sent=True,
                is_crash=cause is exc and not isinstance(exc, TimeoutError),
            ) from cause
        except BaseException:
            # The caller hung up; closing cancels the request at the server.
            conn.close()
            raise

    def forget(self, live: Iterable[tuple[str, str]]) -> None:
        """Closes the idle connections of servers that are gone."""
        for server in [*self._idle.keys() - set(live)]:
            for conn, _, _ in self._idle.pop(server):
                conn.close()

    def _open(
        self, server: tuple[str, str], timeout_s: float
    ) -> connection.HTTPConnection:
        host, _, port = server[1].rpartition(":")
        conn = connection.HTTPConnection(host, int(port))
        sock = ResetAwareSocket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            for option in probing_options(USER_TIMEOUT_MS):
                sock.setsockopt(*option)
            sock.settimeout(timeout_s)
            sock.connect((host, int(port)))
        except FAILURES as exc:
            sock.close()
            raise exceptions.CallRefusedError(
                server[0],
                f"no connection to {server[1]}: {exc}",
                "check that the server runs",
                has_sent=False,
            ) from exc
        conn.sock = sock
        self.opened += 1
        return conn

    def _exchange(
        self,
        server: tuple[str, str],
        conn: connection.HTTPConnection,
        method: str,
        target: str,
        fields: Sequence[tuple[str, str]],
        body: bytes,
        deadline_at: float,
        attempt_id: str,
    ) -> Answer:
        sock = conn.sock
        # urllib3 sets the socket's timeout from this value with each request.
        conn.timeout = max(0.001, deadline_at - self._clock())
        headers = urllib3.HTTPHeaderDict()
        for name, value in fields:
            headers.add(name, value)
        headers.setdefault("User-Agent", "savoryspar")
        # A server may answer before it has read a long body, and close.
        with contextlib.suppress(BrokenPipeError):
            conn.request(method, target, body=body or None, headers=headers)
        resp = http.client.HTTPConnection.getresponse(conn)
        is_shared = True
        for _ in range(MAX_STRAY_ANSWERS):
            facts = self._facts(resp.status, resp.getheaders())
            if facts.attempt_id in ("", attempt_id) or not attempt_id:
                break
            self.stray_answers += 1
            is_shared = False
            resp = _next_answer(resp, sock, method)
        if attempt_id and facts.attempt_id not in ("", attempt_id):
            raise http.client.HTTPException(
                f"the answer belongs to attempt {facts.attempt_id!r}"
            )

        def release(answer: Answer) -> None:
            if is_shared and not facts.is_closing and not resp.will_close:
                self._keep(server, conn, facts.idle_timeout_s)
            else:
                conn.close()

        return Answer(server[0], conn, sock, resp, facts, release)

    def _keep(
        self,
        server: tuple[str, str],
        conn: connection.HTTPConnection,
        idle_timeout_s: float | None,
    ) -> None:
        limit_s = MAX_IDLE_S
        if idle_timeout_s is not None:
            limit_s = min(limit_s, idle_timeout_s - IDLE_MARGIN_S)
        idle = self._idle.setdefault(server, [])
        if limit_s <= 0.0 or len(idle) >= MAX_IDLE_CONNECTIONS:
            conn.close()
            return
        idle.append((conn, self._clock(), limit_s))

    def _take_idle(
        self, server: tuple[str, str], limit_s: float
    ) -> connection.HTTPConnection | None:
        idle = self._idle.get(server, [])
        now = self._clock()
        while idle:
            conn, at, kept_s = idle.pop()
            if now - at < kept_s and _is_quiet(conn):
                if now - at < limit_s:
                    return conn
                idle.append((conn, at, kept_s))
                return None
            conn.close()
        return None


def _next_answer(
    resp: http.client.HTTPResponse, sock: ResetAwareSocket, method: str
) -> http.client.HTTPResponse:
    """Skips an answer and returns the one behind it.

    The reader of the skipped answer may hold the first bytes of the next one,
    so it is kept.

    Raises:
        HTTPException: Where the skipped answer ends cannot be told.
    """
    if resp.chunked or resp.length is None:
        raise http.client.HTTPException("a stray answer has no length")
    while resp.length and resp.read1(READ_BYTES):
        pass
    answer = http.client.HTTPResponse(sock, method=method)
    answer.fp.close()
    answer.fp, resp.fp = resp.fp, None
    answer.begin()
    return answer


def _is_quiet(conn: connection.HTTPConnection) -> bool:
    """Tells whether the connection is open and no stray bytes came."""
    if conn.sock is None:
        return False
    try:
        conn.sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    # Bytes of a stray answer, or the end of the connection.
    return False


def new_connections(
    facts: ReadFacts, clock: Callable[[], float]
) -> Connections:
    """Returns a client without connections.

    Args:
        facts: Reads the head of an answer.
        clock: Monotonic time in seconds.
    """
    return Connections(facts, clock)
