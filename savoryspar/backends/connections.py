"""Reusable connections to backend servers.

A server may close a reused connection just as a request is sent on it, which
leaves the outcome of the request unknown. Requests that must not be repeated
therefore reuse only recently used connections.
"""

from collections.abc import Callable, Iterable, Sequence
import contextlib
import http.client
import socket

import urllib3
from urllib3 import connection

from savoryspar import ratelimits
from savoryspar.backends import (
    answers,
    availability,
    boundaries,
    bounded,
    buffers,
    copies,
    end_checks,
    ends,
    exceptions,
    requests,
    strict,
)

CONNECT_TIMEOUT_S = 0.4
"""A round trip between regions takes 40 ms; a lost SYN is sent again after 1 s,
by which time another server has answered."""
MAX_IDLE_S = 4.0
"""Maximum idle time of a reused connection, unless the server states less."""
MAX_IDLE_NO_REPEAT_S = 1.0
"""Maximum idle time of a connection for requests that must not be repeated."""
IDLE_MARGIN_S = 0.7
"""Subtracted from the idle timeout that a server states in whole seconds."""
MAX_IDLE_CONNECTIONS = 16
"""Idle connections kept for each server."""
MAX_STRAY_ANSWERS = 2
"""Limit for the answers to other requests that are skipped for one request."""
MAX_HEAD_BYTES = 65536
"""Limit for the head of an answer and the interim answers before it. Heads
usually have a few hundred bytes."""
MAX_IDENTIFIED_BYTES = 1 << 18
"""Limit for an answer that is identified by its results; a handle has at most
200 bytes, and a batch fewer than 100 pieces."""
MAX_STRAY_BYTES = 1 << 20
"""Limit for the body of a skipped answer to another request."""
MAX_TOTAL_BUFFERED_BYTES = 16 << 20
"""Limit for the bodies and the incomplete events buffered by all calls. Buffers
that grow side by side take up to twice their size, a fifth of the smallest VM's
memory."""
RECEIVE_BUFFER_BYTES = 64 << 10
"""Receive buffer of a connection, of which the kernel takes up to twice the
size. It grows to 6 MB by default, also for an answer whose caller does not
read. 64 kB suffice for 13 Mbit/s over a round trip of 40 ms."""
USER_TIMEOUT_MS = 3000
"""TCP timeout for data that the peer does not acknowledge."""


class UnidentifiedAnswerError(http.client.HTTPException):
    """An answer that may belong to an earlier request of its connection."""


NO_REPEAT_ERRORS = (TimeoutError, bounded.TooManyBytesError)
"""Errors after which a request is not sent again on a new connection."""


def keepalive_options(user_timeout_ms: int) -> tuple[tuple[int, int, int], ...]:
    """Returns socket options that detect a dead connection within 3 s.

    Args:
        user_timeout_ms: TCP timeout for unacknowledged data.
    """
    return (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms),
    )


DecodeFacts = Callable[[int, Iterable[tuple[str, str]]], requests.AnswerFacts]
"""Decodes the status and the header fields of an answer."""


class _Call:
    """A request to a server; see ``Connections.send``."""

    __slots__ = (
        "attempt_id",
        "body",
        "deadline_at",
        "fields",
        "method",
        "permit",
        "purpose",
        "results_of",
        "server",
        "shares_connection",
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
        permit: ratelimits.Permit | None,
        purpose: str,
        results_of: copies.ResultsOf | None,
        shares_connection: bool,
    ):
        self.server = server
        self.shares_connection = shares_connection
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body
        self.deadline_at = deadline_at
        self.attempt_id = attempt_id
        self.permit = permit
        self.purpose = purpose
        self.results_of = results_of


class Connections:
    """Sends requests and keeps idle connections for each server.

    Attributes:
        availability: Availability that servers reported.
        limiter: Rate limits that servers named.
        opened: Connections opened since the process started.
        stray_answers: Answers to other requests that were skipped.
    """

    __slots__ = (
        "_buffered",
        "_clock",
        "_decode_facts",
        "_end_checker",
        "_forbidden",
        "_idle",
        "_listed",
        "availability",
        "limiter",
        "opened",
        "stray_answers",
    )

    def __init__(
        self,
        decode_facts: DecodeFacts,
        clock: Callable[[], float],
        server_availability: availability.ServerAvailability,
        limiter: ratelimits.Limiter,
    ):
        self.availability = server_availability
        self.limiter = limiter
        self._decode_facts = decode_facts
        self._clock = clock
        # Idle connections with the time of last use and the maximum idle time.
        self._idle: dict[
            tuple[str, str],
            list[tuple[connection.HTTPConnection, float, float]],
        ] = {}
        # Servers that may get requests, None before the first list.
        self._listed: frozenset[tuple[str, str]] | None = None
        # Servers that may get nothing, not even calls that free results.
        self._forbidden: frozenset[tuple[str, str]] = frozenset()
        self._buffered = buffers.BufferedBytes(MAX_TOTAL_BUFFERED_BYTES)
        self._end_checker = end_checks.new_end_checker(
            self._open, self._keep_unused, self._kept_since, clock
        )
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
        permit: ratelimits.Permit | None = None,
        purpose: str = "",
        results_of: copies.ResultsOf | None = None,
        shares_connection: bool = True,
    ) -> answers.Answer:
        """Sends a request and returns the answer after its head.

        Args:
            server: ID and address (``IP:port``) of the server.
            method: HTTP method.
            target: Request target, sent unchanged.
            fields: Header fields.
            body: Complete body.
            timeout_s: Timeout for the head of the answer.
            attempt_id: Attempt to which the answer must belong, if it states
                an attempt. An answer to a request without one states none.
            may_repeat: Whether the request may be sent again on a new
                connection if a reused one turns out to be closed.
            is_work: Whether the request is work, which leaving and paused
                servers do not accept. Calls that free results are not.
            permit: Permit for a server that names a rate limit. Without a
                valid one, the request is sent only if a permit is free.
            purpose: Kind of the call. Connections are reused only for calls of
                the same purpose.
            results_of: Identifies the answer by the results that it names, so
                that copies of earlier answers are skipped; see ``copies``. All
                calls of the purpose must have it. The body is read by the call.
            shares_connection: Whether other requests may use the connection
                before and after. Answers to a request without an attempt cannot
                be told from late ones, unless the caller recognizes them.

        Raises:
            CallRefusedError: There is no connection, or the server accepts no
                work; nothing was sent.
            CallExpiredError: The time ended before there was a connection;
                nothing was sent.
            RateLimitedError: Its rate limit is reached; nothing was sent.
            ServerForbiddenError: It may get nothing; nothing was sent.
            UnattributedAnswerError: The request may have run, and what was
                received may be the answer to another one.
            CallOutcomeUnknownError: The request may have run.
        """
        now = self._clock()
        self._check_allowed(server)
        if is_work and not self.availability.may_send(server, now):
            raise exceptions.CallRefusedError(
                server[0],
                "the server is leaving or has requested a pause",
                "another server is chosen",
                has_sent=False,
            )
        if is_work:
            self.availability.record_send(server, now)
        call = _Call(
            server,
            method,
            target,
            fields,
            body,
            now + timeout_s,
            attempt_id,
            permit,
            purpose,
            results_of,
            shares_connection,
        )
        return self._send(call, may_repeat)

    def _use_permit(self, call: _Call) -> None:
        """Uses the permit of a call, or another one if that is not valid.

        Raises:
            RateLimitedError: The rate limit of the server is reached.
        """
        now = self._clock()
        permit = call.permit
        # The server may have become limited since it was chosen.
        if (
            permit is None
            or not permit.is_valid(now)
            or (not permit.is_counted and self.limiter.is_limited(call.server))
        ):
            try:
                permit = self.limiter.acquire(
                    call.server, ratelimits.PermitRequest(), now
                )
            except ratelimits.LimitReachedError as exc:
                raise exceptions.RateLimitedError(
                    call.server[0], exc.message, exc.remedy, has_sent=False
                ) from exc
        permit.is_used = True

    def _send(
        self, call: _Call, may_repeat: bool, is_first: bool = True
    ) -> answers.Answer:
        """Sends a request, and repeats it on a new connection if allowed."""
        server = call.server
        self._use_permit(call)
        limit_s = MAX_IDLE_S if may_repeat else MAX_IDLE_NO_REPEAT_S
        conn = None
        if is_first and call.shares_connection:
            conn = self._pop_idle(
                server, limit_s, call.attempt_id, call.purpose
            )
        is_reused = conn is not None
        if conn is None:
            conn = self._open_in_time(server, call.deadline_at - self._clock())
        try:
            # The permit and the connection may have taken some time.
            self._check_allowed(server)
        except exceptions.ServerForbiddenError:
            conn.close()
            raise
        # http.client detaches the socket when the connection is to be closed.
        sock = conn.sock
        try:
            return self._exchange(conn, call, is_reused)
        except answers.CONNECTION_ERRORS as exc:
            conn.close()
            left_s = call.deadline_at - self._clock()
            cause: Exception = exc
            if (
                is_reused
                and may_repeat
                and left_s > 0
                and not isinstance(exc, NO_REPEAT_ERRORS)
                and self._is_listed(server)
            ):
                if not isinstance(exc, UnidentifiedAnswerError):
                    # The other connections may have ended too.
                    self.close_idle(server)
                try:
                    answer = self._send(call, may_repeat=False, is_first=False)
                except exceptions.CallRefusedError as refused:
                    # The first send may have been read before the reset.
                    cause = refused
                else:
                    answer.is_repeated = True
                    return answer
            try:
                raise _unknown_outcome(server, exc, cause, sock) from cause
            finally:
                # A timeout is kept by a frame of its own traceback, and would
                # keep the body until the next garbage collection.
                exc.__traceback__ = cause.__traceback__ = None
                del cause
        except BaseException:
            # The caller disconnected; closing cancels the request at the
            # server.
            conn.close()
            raise

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the answers that are being read."""
        return self._buffered.total

    def drop_unlisted(self, live: Iterable[tuple[str, str]]) -> None:
        """Closes the idle connections of servers that are not in ``live``.

        From then on, requests are not sent again to such servers.
        """
        self._listed = frozenset(live)
        for server in [*self._idle.keys() - self._listed]:
            self.close_idle(server)
        self._end_checker.discard_unused()

    def forbid(self, servers: Iterable[tuple[str, str]]) -> None:
        """Sets the servers to which nothing is sent from now on.

        Calls that have been sent go on.
        """
        self._forbidden = frozenset(servers)

    def _check_allowed(self, server: tuple[str, str]) -> None:
        """Checks that calls may be sent to a server.

        Raises:
            ServerForbiddenError: None may.
        """
        if server in self._forbidden:
            raise exceptions.ServerForbiddenError(
                server[0],
                "its availability zone is evacuated",
                "another server is chosen",
                has_sent=False,
            )

    def _is_leaving(self, server: tuple[str, str]) -> bool:
        """Returns whether a server said, or its entry does, that it stops."""
        return not self._is_listed(server) or self.availability.is_leaving(
            server
        )

    def _is_listed(self, server: tuple[str, str]) -> bool:
        """Returns whether a server is listed, or no list is known yet."""
        return self._listed is None or server in self._listed

    def close_idle(self, server: tuple[str, str]) -> None:
        """Closes the idle connections of a server."""
        for conn, _, _ in self._idle.pop(server, ()):
            conn.close()

    def _open_in_time(
        self, server: tuple[str, str], left_s: float
    ) -> connection.HTTPConnection:
        """Opens a connection for a call that has some time left.

        Raises:
            CallExpiredError: The time of the call ended first, which says
                nothing about the server.
            CallRefusedError: There is no connection.
        """
        if left_s <= 0.0:
            raise _expired_error(server)
        try:
            return self._open(server, min(CONNECT_TIMEOUT_S, left_s))
        except exceptions.CallRefusedError as exc:
            is_timeout = isinstance(exc.__cause__, TimeoutError)
            if is_timeout and left_s < CONNECT_TIMEOUT_S:
                raise _expired_error(server) from exc
            raise

    def _open(
        self, server: tuple[str, str], timeout_s: float
    ) -> connection.HTTPConnection:
        try:
            conn = bounded.open_connection(
                server[1],
                (
                    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
                    *keepalive_options(USER_TIMEOUT_MS),
                ),
                timeout_s,
            )
        except answers.CONNECTION_ERRORS as exc:
            raise exceptions.CallRefusedError(
                server[0],
                f"no connection to {server[1]}: {exc}",
                "check that the server runs",
                has_sent=False,
            ) from exc
        self.opened += 1
        conn.sock.opened_at = self._clock()
        self._end_checker.add(server, conn.sock)
        return conn

    def _exchange(
        self, conn: connection.HTTPConnection, call: _Call, is_reused: bool
    ) -> answers.Answer:
        sock = conn.sock
        # A connection that was opened to check a server has carried no call.
        is_unused = sock.purpose is None
        sock.purpose = call.purpose
        sent_at = self._clock()
        started_ms = self.availability.started_ms(call.server)
        self.limiter.record_send(call.server, sent_at)
        self._write_request(conn, call)
        resp, facts, strays = self._read_head(conn, sock, call)
        is_named = facts.attempt_id == call.attempt_id
        if not is_named and not is_unused:
            # It may be a late copy of an earlier answer. A copy of a refusal
            # would state that a request has not run which the server runs.
            self.stray_answers += 1
            raise UnidentifiedAnswerError(
                "the answer names no attempt and may be that of an earlier"
                " request"
            )
        body, is_identifiable = None, True
        if call.results_of is not None:
            resp, body, is_identifiable = self._skip_copies(resp, sock, call)
            facts = self._decode_facts(resp.status, resp.getheaders())
        self._record_facts(call, facts, started_ms, sent_at)
        # The next answer on the connection is told from this one by its
        # attempt or its results.
        may_keep = (
            is_named
            and is_identifiable
            and call.shares_connection
            and not (strays or facts.is_closing or resp.will_close)
        )
        answer = self._new_answer(conn, sock, call, resp, facts, may_keep)
        if body is not None:
            answer.set_body(body)
        return answer

    def _write_request(
        self, conn: connection.HTTPConnection, call: _Call
    ) -> None:
        if call.attempt_id:
            conn.sock.attempts.append(call.attempt_id)
        conn.sock.set_limits(self._clock, call.deadline_at, MAX_HEAD_BYTES)
        # urllib3 sets the socket's timeout from this value for each request.
        conn.timeout = max(0.001, call.deadline_at - self._clock())
        headers = urllib3.HTTPHeaderDict()
        for name, value in call.fields:
            headers.add(name, value)
        headers.setdefault("User-Agent", "savoryspar")
        # A server may answer and close before it has read a long body.
        with contextlib.suppress(BrokenPipeError):
            conn.request(
                call.method,
                call.target,
                body=call.body or None,
                headers=headers,
            )

    def _read_head(
        self,
        conn: connection.HTTPConnection,
        sock: bounded.BoundedSocket,
        call: _Call,
    ) -> tuple[http.client.HTTPResponse, requests.AnswerFacts, int]:
        """Returns the response, its facts, and how many others were skipped.

        Raises:
            UnidentifiedAnswerError: The answer belongs to another request, and
                cannot be skipped.
        """
        resp = http.client.HTTPConnection.getresponse(conn)
        for strays in range(MAX_STRAY_ANSWERS + 1):
            facts = self._decode_facts(resp.status, resp.getheaders())
            if facts.attempt_id in ("", call.attempt_id):
                return resp, facts, strays
            self.stray_answers += 1
            if strays < MAX_STRAY_ANSWERS:
                sock.set_limits(self._clock, call.deadline_at, MAX_STRAY_BYTES)
                resp = _next_answer(resp, sock, call.method)
        raise UnidentifiedAnswerError(
            f"the answer belongs to attempt {facts.attempt_id!r}"
        )

    def _new_answer(
        self,
        conn: connection.HTTPConnection,
        sock: bounded.BoundedSocket,
        call: _Call,
        resp: http.client.HTTPResponse,
        facts: requests.AnswerFacts,
        may_keep: bool,
    ) -> answers.Answer:
        server = call.server

        def release(answer: answers.Answer) -> None:
            if may_keep:
                self._keep_idle(server, conn, facts.idle_timeout_s)
            else:
                conn.close()

        def check_end(last_byte_at: float, until: float) -> end_checks.Evidence:
            return self._end_checker.check(
                server, last_byte_at, until, self._is_leaving(server)
            )

        def is_answer(head: boundaries.Head) -> bool:
            is_found = self._is_answer(head, (resp.status, resp.getheaders()))
            self.stray_answers += is_found
            return is_found

        return answers.Answer(
            server[0],
            conn,
            sock,
            resp,
            facts,
            release,
            check_end,
            is_answer,
            self._clock,
            self._buffered,
        )

    def _record_facts(
        self,
        call: _Call,
        facts: requests.AnswerFacts,
        started_ms: int,
        sent_at: float,
    ) -> None:
        now = self._clock()
        # An answer that is read after a restart of the server was listed is
        # that of the earlier instance.
        has_restarted = self.availability.has_restarted(call.server, started_ms)
        if not has_restarted:
            self.availability.record_answer(call.server, facts, sent_at, now)
        if not facts.is_misdirected:
            self.limiter.record_answer(
                call.server,
                facts.limit_per_s,
                facts.invalid_limit,
                sent_at,
                now,
            )
            if facts.cold_left_s > 0.0 and not has_restarted:
                self.limiter.record_cold(call.server, facts.cold_left_s, now)

    def _skip_copies(
        self,
        resp: http.client.HTTPResponse,
        sock: bounded.BoundedSocket,
        call: _Call,
    ) -> tuple[http.client.HTTPResponse, bytes | None, bool]:
        """Skips copies of the earlier answers on a connection.

        Returns:
            The answer to the call, its body (None if it ends with the
            connection, which is still to be read), and whether the connection
            may be used again.

        Raises:
            UnidentifiedAnswerError: There are too many copies.
            HTTPException, OSError: An answer is incomplete.
        """
        if sock.results is None:
            sock.results = copies.new_result_log()
        for skipped in range(MAX_STRAY_ANSWERS + 1):
            if skipped:
                resp = _next_answer(resp, sock, call.method)
            if not resp.chunked and resp.length is None:
                # It ends with its connection, so no earlier answer did.
                return resp, None, False
            body = self._read_whole(resp, sock, call)
            handles = call.results_of(body)
            if not sock.results.is_copy(handles):
                return resp, body, sock.results.record(handles)
            self.stray_answers += 1
        raise UnidentifiedAnswerError("too many copies of earlier answers")

    def _read_whole(
        self,
        resp: http.client.HTTPResponse,
        sock: bounded.BoundedSocket,
        call: _Call,
    ) -> bytes:
        """Reads the complete body of an answer.

        Raises:
            HTTPException, OSError: The body is late, too long or incomplete.
        """
        until = call.deadline_at + answers.DEADLINE_GRACE_S
        sock.set_limits(self._clock, until, MAX_IDENTIFIED_BYTES)
        return answers.read_body(resp, sock)

    def _is_answer(self, head: boundaries.Head, own: boundaries.Head) -> bool:
        """Returns whether a head inside a body belongs to another answer.

        Args:
            head: The head that was found.
            own: Head of the answer with the body, which a copy repeats.
        """
        facts = self._decode_facts(*head)
        if facts.attempt_id or facts.has_digest or facts.has_not_run:
            return True
        return head[0] == own[0] and boundaries.without_date(
            head[1]
        ) == boundaries.without_date(own[1])

    def _keep_idle(
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

    def _keep_unused(
        self, server: tuple[str, str], conn: connection.HTTPConnection
    ) -> None:
        """Keeps a connection on which nothing was sent yet.

        A server that closes each connection after its answer may serve only a
        few at a time, and an idle one would occupy it.
        """
        if server in self._idle:
            self._keep_idle(server, conn, None)
        else:
            conn.close()

    def _kept_since(
        self, server: tuple[str, str], since: float
    ) -> list[connection.HTTPConnection]:
        """Returns the idle connections last used at ``since`` or later."""
        return [
            conn
            for conn, used_at, _ in self._idle.get(server, ())
            if used_at >= since
        ]

    def _pop_idle(
        self,
        server: tuple[str, str],
        limit_s: float,
        attempt_id: str,
        purpose: str = "",
    ) -> connection.HTTPConnection | None:
        """Returns an idle connection, None if no usable one is kept.

        A connection on which the attempt was sent before is left out, because
        a late answer to that send would be taken for the one that is due.
        """
        idle = self._idle.get(server, [])
        now = self._clock()
        passed = []
        found = None
        while idle and found is None:
            conn, used_at, max_idle_s = idle.pop()
            if now - used_at >= max_idle_s or not _is_reusable(conn):
                conn.close()
            elif now - used_at >= limit_s:
                passed.append((conn, used_at, max_idle_s))
                break
            elif attempt_id in conn.sock.attempts or not _may_carry(
                conn, purpose
            ):
                passed.append((conn, used_at, max_idle_s))
            else:
                found = conn
        idle += reversed(passed)
        return found


def _may_carry(conn: connection.HTTPConnection, purpose: str) -> bool:
    """Returns whether a connection has carried no calls of another purpose."""
    return conn.sock is None or conn.sock.purpose in (None, purpose)


def _next_answer(
    resp: http.client.HTTPResponse, sock: bounded.BoundedSocket, method: str
) -> http.client.HTTPResponse:
    """Skips an answer and returns the next one.

    The next answer uses the reader of the skipped one, whose buffer may
    contain its first bytes.

    Raises:
        UnidentifiedAnswerError: The end of the skipped answer cannot be
            determined.
        HTTPException: It is malformed or cut.
    """
    if not resp.chunked and resp.length is None:
        raise UnidentifiedAnswerError(
            "an answer to another request has neither a length nor chunks"
        )
    resp.keeps_reader = True
    while (resp.chunked or resp.length) and resp.read1(strict.READ_BYTES):
        pass
    answer = strict.StrictResponse(sock, method=method)
    answer.fp.close()
    answer.fp, resp.fp = resp.fp, None
    answer.begin()
    return answer


def _expired_error(server: tuple[str, str]) -> exceptions.CallExpiredError:
    return exceptions.CallExpiredError(
        server[0],
        "the deadline left no time to open a connection",
        "send the request with a later deadline",
        has_sent=False,
    )


def _unknown_outcome(
    server: tuple[str, str],
    exc: Exception,
    cause: Exception,
    sock: bounded.BoundedSocket,
) -> exceptions.CallOutcomeUnknownError:
    """Returns the error for a request that may have run unanswered.

    Args:
        server: ID and address of the server.
        exc: Error of the first send.
        cause: Error of the last one.
        sock: Connection of the first send.
    """
    is_unattributed = isinstance(exc, UnidentifiedAnswerError)
    error_class = (
        exceptions.UnattributedAnswerError
        if is_unattributed
        else exceptions.CallOutcomeUnknownError
    )
    return error_class(
        server[0],
        f"no answer: {cause!r}",
        "the request may have run; check the server",
        has_sent=True,
        is_crash=isinstance(exc, answers.CRASH_ERRORS)
        and not isinstance(
            cause,
            exceptions.RateLimitedError | exceptions.ServerForbiddenError,
        ),
        end=ends.end_of_error(exc, is_reset=sock.is_reset),
    )


def _is_reusable(conn: connection.HTTPConnection) -> bool:
    """Returns whether the connection is open and has no unread bytes."""
    return conn.sock is not None and end_checks.is_open(conn.sock)


def new_connections(
    decode_facts: DecodeFacts,
    clock: Callable[[], float],
    server_availability: availability.ServerAvailability | None = None,
    limiter: ratelimits.Limiter | None = None,
) -> Connections:
    """Returns a client without open connections.

    Args:
        decode_facts: Decodes the head of an answer.
        clock: Monotonic time in seconds.
        server_availability: Availability that servers reported; empty when
            None.
        limiter: Rate limits that servers named; nothing is limited when None.
    """
    return Connections(
        decode_facts,
        clock,
        server_availability or availability.new_server_availability(),
        limiter or ratelimits.new_unlimited(),
    )
