"""Connections to backend servers, kept for further requests.

A reused connection may have been closed by the server in the same moment, and
then nobody knows whether a request that was sent on it has run. Requests that
may not be repeated therefore reuse only connections that were used just now.
"""

from collections.abc import Callable, Iterable, Sequence
import contextlib
import http.client
import socket

import urllib3
from urllib3 import connection

from savoryspar.backends import availability, bounded, exceptions, requests

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
MAX_HEAD_BYTES = 65536
"""Head of an answer with the interim answers before it; usual heads have some
hundred bytes."""
MAX_STRAY_BYTES = 1 << 20
"""Body of an answer to another request, which is skipped."""
MAX_FRAMING_BYTES = 65536
"""Chunk lines and trailers that come with one read of a body."""
MAX_HELD_BYTES = 1 << 20
"""Largest body that is held whole. The smallest VMs have 200 MB, of which an
idle process takes 45; answers of the platform's services have about 1 KB."""
MAX_HELD_IN_ALL = 32 << 20
"""Bodies held by all calls together, a sixth of the smallest VM's memory."""
SKIP_S = 0.25
"""Wait for the rest of an answer of which only the head matters."""
DEADLINE_GRACE_S = 0.1
"""Time after the deadline for what is on its way: a server sends its last
bytes, or its own 504, at the deadline that it was given."""

USER_TIMEOUT_MS = 3000
"""Time without an acknowledgement after which a connection is dead."""

FAILURES = (
    OSError,
    ValueError,
    AttributeError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
)
NO_CRASHES = (TimeoutError, bounded.TooManyBytesError)
"""Failures of a server that lives, so its request did not crash it."""


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


class Answer:
    """A server's answer whose head was read.

    Attributes:
        status, reason: Of the status line.
        fields: Header fields as they came.
        facts: What the head says of the request.
        is_complete: Whether the body was read to its end.
    """

    __slots__ = (
        "_clock",
        "_conn",
        "_held",
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
        sock: bounded.BoundedSocket,
        resp: http.client.HTTPResponse,
        facts: requests.AnswerFacts,
        release: Callable[["Answer"], None],
        clock: Callable[[], float],
        held: "HeldBytes",
    ):
        self.server = server
        self._clock = clock
        self._held = held
        self.status = resp.status
        self.reason = resp.reason
        self.fields = resp.getheaders()
        self.facts = facts
        self.is_complete = False
        self._conn = conn
        self._sock = sock
        self._resp = resp
        self._release = release

    @property
    def length(self) -> int | None:
        """Bytes of the body that are still to come, None if it has no length.

        Only a length that the server stated tells a large body from one
        without an end.
        """
        return None if self._resp.chunked else self._resp.length

    def read_some(self, until: float) -> bytes:
        """Waits for a part of the body; empty after the last one.

        Args:
            until: Monotonic time until which the part must come.

        Raises:
            CallOutcomeUnknownError: The body ended early, did not come in time, or
                its framing is too long.
        """
        if self.is_complete:
            return b""
        try:
            self._sock.bound(self._clock, until, READ_BYTES + MAX_FRAMING_BYTES)
            data = self._resp.read1(READ_BYTES)
        except FAILURES as exc:
            self.close()
            raise exceptions.CallOutcomeUnknownError(
                self.server,
                f"the answer broke off: {exc!r}",
                "the caller gets no whole answer; check the server",
                has_sent=True,
                is_crash=not isinstance(exc, NO_CRASHES),
            ) from exc
        if data:
            return data
        missing = self._resp.length
        if missing or self._sock.is_reset:
            self.close()
            raise exceptions.CallOutcomeUnknownError(
                self.server,
                f"the answer ended early: {missing} bytes are missing",
                "the caller gets no whole answer; check the server",
                has_sent=True,
                is_crash=True,
            )
        self.is_complete = True
        has_more = self._has_more()
        # Reading to the end does not tell http.client that the body is done,
        # and it would not send another request before.
        self._resp.close()
        if has_more:
            self._conn.close()
        else:
            self._release(self)
        return b""

    def _has_more(self) -> bool:
        """Tells whether bytes behind the answer were received with it.

        They are lost with their reader, and the rest of what they belong to
        would stand where the next answer is due.
        """
        if self._resp.fp is None:
            return False
        # A reader that holds nothing asks the socket, whose time is over.
        self._sock.bound(self._clock, self._clock(), 0)
        with contextlib.suppress(TimeoutError):
            return bool(self._resp.fp.peek(1))
        return False

    def read_all(self, deadline_at: float) -> bytes:
        """Reads the whole body, of at most ``MAX_HELD_BYTES``.

        Args:
            deadline_at: Monotonic time; what is on its way then is still read.

        Raises:
            CallOutcomeUnknownError: As ``read_some`` does, or the body is too long.
        """
        parts = []
        size = 0
        try:
            while data := self.read_some(deadline_at + DEADLINE_GRACE_S):
                parts.append(data)
                size += len(data)
                self._held.add(self, len(data))
                if size > MAX_HELD_BYTES:
                    raise exceptions.CallOutcomeUnknownError(
                        self.server,
                        f"the answer has more than {MAX_HELD_BYTES} bytes,"
                        " the most that is held",
                        "check the server",
                        has_sent=True,
                    )
        except exceptions.CallOutcomeUnknownError:
            self.close()
            raise
        finally:
            self._held.remove(self)
        return b"".join(parts)

    def skip_rest(self, deadline_at: float) -> str:
        """Reads a body that nobody needs, so that the connection is kept.

        The head has said all: a body that breaks off or has no end costs the
        connection only.

        Returns:
            Why the body was not read to its end, empty if it was.
        """
        until = min(deadline_at, self._clock() + SKIP_S)
        try:
            self.read_all(until)
        except exceptions.CallOutcomeUnknownError as exc:
            return str(exc)
        return ""

    def cut_off(self) -> None:
        """Makes the read of another green thread fail."""
        self._sock.is_reset = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Closes the connection, which cancels the request at the server."""
        self.is_complete = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        with contextlib.suppress(*FAILURES):
            self._resp.close()
        self._conn.close()


class HeldBytes:
    """Bytes of bodies that are being read, over all calls of the process.

    Attributes:
        total: Bytes held now.
    """

    __slots__ = ("_by_answer", "_limit", "total")

    def __init__(self, limit: int):
        self._limit = limit
        self._by_answer: dict[Answer, int] = {}
        self.total = 0

    def add(self, answer: Answer, size: int) -> None:
        """Counts bytes; the call that holds most is ended above the limit."""
        self._by_answer[answer] = self._by_answer.get(answer, 0) + size
        self.total += size
        if self.total > self._limit:
            largest = max(self._by_answer, key=self._by_answer.__getitem__)
            self.remove(largest)
            largest.cut_off()

    def remove(self, answer: Answer) -> None:
        """Forgets what a call held."""
        self.total -= self._by_answer.pop(answer, 0)


class _Call:
    """A request on its way to a server; see ``Connections.send``."""

    __slots__ = (
        "attempt_id",
        "body",
        "deadline_at",
        "fields",
        "method",
        "server",
        "target",
    )

    def __init__(
        self,
        server: tuple[str, str],
        method: str,
        target: str,
        fields: Sequence[tuple[str, str]],
        body: bytes,
        deadline_at: float,
        attempt_id: str,
    ):
        self.server = server
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body
        self.deadline_at = deadline_at
        self.attempt_id = attempt_id


class Connections:
    """Sends requests and keeps idle connections by server.

    Attributes:
        notices: What servers said of themselves.
        opened: Connections opened since the start.
        stray_answers: Answers to other requests that were skipped.
    """

    __slots__ = (
        "_clock",
        "_facts",
        "_held",
        "_idle",
        "availability",
        "opened",
        "stray_answers",
    )

    def __init__(
        self,
        facts: ReadFacts,
        clock: Callable[[], float],
        server_availability: availability.ServerAvailability,
    ):
        self.availability = server_availability
        self._facts = facts
        self._clock = clock
        # Idle connections with the time of their last use and their limit.
        self._idle: dict[
            tuple[str, str],
            list[tuple[connection.HTTPConnection, float, float]],
        ] = {}
        self._held = HeldBytes(MAX_HELD_IN_ALL)
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
        is_work: bool = True,
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
            is_work: Whether the server has work with it. A leaving server may
                still be told that results are not needed any more.

        Raises:
            CallRefusedError: There is no connection, or the server wants no
                work; nothing was sent.
            CallOutcomeUnknownError: The request may have run.
        """
        now = self._clock()
        if is_work and not self.availability.may_send(server, now):
            raise exceptions.CallRefusedError(
                server[0],
                "the server said that it is leaving or wants no work now",
                "another server is chosen",
                has_sent=False,
            )
        if is_work:
            self.availability.record_send(server, now)
        call = _Call(
            server, method, target, fields, body, now + timeout_s, attempt_id
        )
        return self._send(call, may_repeat)

    def _send(self, call: _Call, may_repeat: bool) -> Answer:
        """Does what ``send`` does, once more on a new connection if need be."""
        server = call.server
        limit_s = MAX_IDLE_S if may_repeat else FRESH_IDLE_S
        conn = self._take_idle(server, limit_s)
        is_reused = conn is not None
        if conn is None:
            left_s = call.deadline_at - self._clock()
            conn = self._open(server, min(CONNECT_TIMEOUT_S, left_s))
        try:
            return self._exchange(conn, call)
        except FAILURES as exc:
            conn.close()
            left_s = call.deadline_at - self._clock()
            cause: Exception = exc
            if (
                is_reused
                and may_repeat
                and left_s > 0
                and not isinstance(exc, NO_CRASHES)
            ):
                self._idle.pop(server, None)
                try:
                    return self._send(call, may_repeat=False)
                except exceptions.CallRefusedError as refused:
                    # What was sent first may have been read before the reset.
                    cause = refused
            raise exceptions.CallOutcomeUnknownError(
                server[0],
                f"no answer: {cause!r}",
                "the request may have run; check the server",
                has_sent=True,
                is_crash=cause is exc and not isinstance(exc, NO_CRASHES),
            ) from cause
        except BaseException:
            # The caller hung up; closing cancels the request at the server.
            conn.close()
            raise

    def forget(self, live: Iterable[tuple[str, str]]) -> None:
        """Closes the idle connections of servers that are gone."""
        for server in [*self._idle.keys() - set(live)]:
            self.drop_idle(server)

    def drop_idle(self, server: tuple[str, str]) -> None:
        """Closes the idle connections of a server."""
        for conn, _, _ in self._idle.pop(server, ()):
            conn.close()

    def _open(
        self, server: tuple[str, str], timeout_s: float
    ) -> connection.HTTPConnection:
        try:
            conn = bounded.open_connection(
                server[1], probing_options(USER_TIMEOUT_MS), timeout_s
            )
        except FAILURES as exc:
            raise exceptions.CallRefusedError(
                server[0],
                f"no connection to {server[1]}: {exc}",
                "check that the server runs",
                has_sent=False,
            ) from exc
        self.opened += 1
        return conn

    def _exchange(self, conn: connection.HTTPConnection, call: _Call) -> Answer:
        sock, attempt_id = conn.sock, call.attempt_id
        sock.bound(self._clock, call.deadline_at, MAX_HEAD_BYTES)
        # urllib3 sets the socket's timeout from this value with each request.
        conn.timeout = max(0.001, call.deadline_at - self._clock())
        headers = urllib3.HTTPHeaderDict()
        for name, value in call.fields:
            headers.add(name, value)
        headers.setdefault("User-Agent", "savoryspar")
        # A server may answer before it has read a long body, and close.
        with contextlib.suppress(BrokenPipeError):
            conn.request(
                call.method,
                call.target,
                body=call.body or None,
                headers=headers,
            )
        resp = http.client.HTTPConnection.getresponse(conn)
        is_shared = True
        for _ in range(MAX_STRAY_ANSWERS):
            facts = self._facts(resp.status, resp.getheaders())
            if facts.attempt_id in ("", attempt_id) or not attempt_id:
                break
            self.stray_answers += 1
            is_shared = False
            sock.bound(self._clock, call.deadline_at, MAX_STRAY_BYTES)
            resp = _next_answer(resp, sock, call.method)
        if attempt_id and facts.attempt_id not in ("", attempt_id):
            raise http.client.HTTPException(
                f"the answer belongs to attempt {facts.attempt_id!r}"
            )

        self.availability.take(call.server, facts, self._clock())

        def release(answer: Answer) -> None:
            if is_shared and not facts.is_closing and not resp.will_close:
                self._keep(call.server, conn, facts.idle_timeout_s)
            else:
                conn.close()

        return Answer(
            call.server[0],
            conn,
            sock,
            resp,
            facts,
            release,
            self._clock,
            self._held,
        )

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
    resp: http.client.HTTPResponse, sock: bounded.BoundedSocket, method: str
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
    facts: ReadFacts,
    clock: Callable[[], float],
    server_availability: availability.ServerAvailability | None = None,
) -> Connections:
    """Returns a client without connections.

    Args:
        facts: Reads the head of an answer.
        clock: Monotonic time in seconds.
        server_availability: What servers said of themselves; nothing when None.
    """
    return Connections(
        facts,
        clock,
        server_availability or availability.new_server_availability(),
    )
