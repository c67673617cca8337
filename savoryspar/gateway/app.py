"""The WSGI application that serves callers on the users' platform."""

from collections.abc import Callable, Iterable
import functools
from typing import Any
import zlib

import eventlet
from eventlet import wsgi

from savoryspar import backends, fleet, http, log, platform
from savoryspar.gateway import (
    attempts,
    counters,
    model,
    plain,
    streams,
)

DEFAULT_DEADLINE_S = 30.0
"""Deadline where neither the caller nor the route sets one."""
NO_CONFIGURATION_RETRY_S = 0.5
STOPPING_RETRY_S = 0.3
STREAM_ACCEPT_S = 2.5
"""Time after SIGTERM during which new streams are accepted: these usually end
within the grace period. Later ones are refused, to be sent to another VM."""
PLAIN_DRAIN_OBJECTIVES = 3.0
"""Time reserved for a plain request while draining, as a multiple of the
objective of its route."""

FIELD_OVERHEAD_BYTES = 4
"""Size of the colon, the space and the CRLF of a header field."""

StartResponse = Callable[[str, list[tuple[str, str]]], Callable[[bytes], Any]]


class GraceEndedError(BaseException):
    """The process ends; raised in the green thread of a running request.

    It derives from ``BaseException`` so that ``except Exception`` does not
    catch it and keep the request running.
    """


class GatewayApp:
    """Serves callers; construct it with ``new_gateway_app``.

    Attributes:
        running: Number of requests being served.
        is_stopping: Whether shutdown has begun.
    """

    __slots__ = (
        "_clock",
        "_counters",
        "_draining_since",
        "_ends_at",
        "_events",
        "_heads",
        "_holder",
        "_plain",
        "_streams",
        "is_stopping",
        "running",
    )

    def __init__(
        self,
        holder: fleet.ConfigurationHolder,
        plain_forwarder: plain.PlainForwarder,
        stream_forwarder: streams.StreamForwarder,
        event_log: log.EventLog,
        request_counters: counters.Counters,
        clock: model.Clock,
    ):
        self._holder = holder
        self._plain = plain_forwarder
        self._streams = stream_forwarder
        self._events = event_log
        self._counters = request_counters
        self._clock = clock
        self.running = 0
        self.is_stopping = False
        self._draining_since = 0.0
        self._ends_at = 0.0
        # Response heads by green thread of the requests that are being served.
        self._heads: dict[Any, _ResponseHead] = {}

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves one request (PEP 3333)."""
        received_at = self._clock()
        self.running += 1
        thread = eventlet.getcurrent()
        sock = environ["eventlet.input"].get_socket()
        attempt_id, route = "", ""
        job = None
        head = self._heads[thread] = _ResponseHead(start_response)
        try:
            req = self._read_request(environ)
            attempt_id = req.attempt_id
            with http.cancel_on_hangup(sock):
                job = head.job = self._admit(req, received_at)
                route = job.route.name
                reply = self._forward(job, head.start)
            if reply is None:
                self._record_answer(
                    attempt_id, route, "stream complete", received_at
                )
                return []
            self._record_answer(attempt_id, route, reply.status, received_at)
            start_response(reply.status, reply.fields)
            return [reply.body]
        except (model.GatewayError, backends.BadRequestError) as exc:
            if head.is_sent:
                return self._abort_response(attempt_id, route, exc, received_at)
            return self._answer_failure(
                _to_gateway_error(exc, job),
                attempt_id,
                route,
                received_at,
                start_response,
            )
        except model.BrokenStreamError as exc:
            return self._abort_response(attempt_id, route, exc, received_at)
        except (http.CallerGoneError, OSError) as exc:
            self._record_failure(
                attempt_id,
                route,
                "caller_gone",
                repr(exc),
                received_at,
                cut_by="caller" if head.is_sent else None,
            )
            http.cut_response()
            return []
        except GraceEndedError:
            failure = _grace_ended_error()
            if head.is_sent:
                return self._abort_response(
                    attempt_id, route, failure, received_at
                )
            return self._answer_failure(
                _to_gateway_error(failure, job),
                attempt_id,
                route,
                received_at,
                start_response,
            )
        except Exception as exc:
            # Left to the WSGI server, the 500 would not appear in the log.
            failure = model.GatewayError(
                "500 Internal Server Error",
                "unexpected_error",
                f"unexpected error: {exc!r}",
                "check the log of this entry VM",
                is_closing=True,
            )
            if head.is_sent:
                return self._abort_response(
                    attempt_id, route, failure, received_at
                )
            return self._answer_failure(
                failure, attempt_id, route, received_at, start_response
            )
        finally:
            self.running -= 1
            del self._heads[thread]

    def end_requests(self) -> None:
        """Answers the requests without a response with an error.

        The process is about to end, which would close their connections.
        """
        for thread, head in [*self._heads.items()]:
            if not head.is_sent:
                eventlet.kill(thread, GraceEndedError())

    def _abort_response(
        self, attempt_id: str, route: str, exc: Exception, received_at: float
    ) -> Iterable[bytes]:
        """Closes the connection without terminating the body.

        A truncated response must not look complete to the caller.
        """
        self._record_failure(
            attempt_id,
            route,
            "stream_broken",
            str(exc),
            received_at,
            cut_by=_cut_by(exc),
        )
        http.cut_response()
        return []

    def start_draining(self, now: float, ends_at: float) -> None:
        """Starts refusing requests that could not finish before shutdown.

        Args:
            now: Monotonic time in seconds.
            ends_at: Monotonic time at which the process ends.
        """
        self.is_stopping = True
        self._draining_since = now
        self._ends_at = ends_at

    def _must_refuse_while_draining(
        self, route: fleet.Route, now: float
    ) -> bool:
        """Returns whether a new request might outlast the process."""
        if not self.is_stopping:
            return False
        if route.kind is fleet.RouteKind.STREAM:
            return now - self._draining_since > STREAM_ACCEPT_S
        return self._ends_at - now < PLAIN_DRAIN_OBJECTIVES * route.objective_s

    def _forward(
        self, job: model.Job, start_response: StartResponse
    ) -> model.Reply | None:
        if job.route.kind is not fleet.RouteKind.STREAM:
            return self._plain.run(job, start_response)
        return self._streams.run(job, start_response)

    def _read_request(self, environ: dict[str, Any]) -> backends.CallerRequest:
        current = self._holder.current
        if current is None:
            raise model.refusal(
                "no_configuration",
                "this entry VM has no configuration yet",
                NO_CONFIGURATION_RETRY_S,
            )
        fields = environ[http.FIELDS_KEY]
        _check_header_size(fields, current.limits.max_header_bytes)
        body = _read_body(environ, current.limits.max_body_bytes)
        return platform.decode_caller_request(
            environ["REQUEST_METHOD"],
            environ[http.TARGET_KEY],
            fields,
            body,
        )

    def _admit(
        self, req: backends.CallerRequest, received_at: float
    ) -> model.Job:
        now = self._clock()
        current = self._holder.current
        route = current.find_route(req.host, req.path)
        if route is None:
            raise model.GatewayError(
                "404 Not Found",
                "no_route",
                f"no route for host {req.host!r} and path {req.path!r}",
                "check the routes of the active configuration",
            )
        if self._must_refuse_while_draining(route, now):
            raise model.refusal(
                "stopping", "this entry VM is shutting down", STOPPING_RETRY_S
            )
        workspace = self._authenticate(current, route, req.key)
        timeout_s = route.timeout_s or DEFAULT_DEADLINE_S
        deadline_s = min(timeout_s, req.deadline_s or timeout_s)
        rank = current.rank(workspace, route)
        job = model.Job(
            req,
            route,
            _choose_pool(route, req.attempt_id),
            workspace.name if workspace else "",
            rank,
            received_at,
            received_at + route.objective_s,
            received_at + deadline_s,
            current.version,
            attempts.fingerprint(workspace.name if workspace else "", req),
        )
        self._events.decision(
            "request admitted",
            now,
            req.attempt_id,
            route=route.name,
            pool=job.pool,
            workspace=job.workspace,
            rank=rank,
            version=current.version,
            version_age_s=round(now - self._holder.active_since, 1),
            deadline_s=deadline_s,
            prompt_tokens=req.prompt_tokens,
            pieces=req.pieces,
        )
        return job

    def _authenticate(
        self, current: fleet.Configuration, route: fleet.Route, key: str
    ) -> fleet.Workspace | None:
        if not current.has_workspaces:
            return None
        workspace = current.find_workspace(key) if key else None
        if workspace is None and not route.is_public:
            raise model.GatewayError(
                "401 Unauthorized",
                "unknown_key",
                "the request has no valid workspace key",
                "send a key of the active configuration",
            )
        return workspace

    def _answer_failure(
        self,
        exc: model.GatewayError,
        attempt_id: str,
        route: str,
        received_at: float,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        self._record_failure(
            attempt_id,
            route,
            exc.reason,
            str(exc),
            received_at,
            exc.retry_after_s,
        )
        fields = [("Content-Type", "text/plain; charset=utf-8")]
        if exc.retry_after_s is not None:
            fields.append(("Retry-After", f"{exc.retry_after_s:.2f}"))
        if exc.is_closing:
            fields.append(("Connection", "close"))
        start_response(exc.status, fields)
        return [f"{exc}\n".encode()]

    def _record_answer(
        self, attempt_id: str, route: str, outcome: str, received_at: float
    ) -> None:
        now = self._clock()
        self._counters.count(route, outcome, now - received_at)
        self._events.decision(
            "request answered",
            now,
            attempt_id,
            route=route,
            outcome=outcome,
            answer_end=self._answer_end(),
            took_s=round(now - received_at, 3),
        )

    def _record_failure(
        self,
        attempt_id: str,
        route: str,
        reason: str,
        cause: str,
        received_at: float,
        retry_after_s: float | None = None,
        cut_by: str | None = None,
    ) -> None:
        now = self._clock()
        self._counters.count(route, reason, now - received_at)
        self._events.failure(
            "request failed",
            now,
            attempt_id,
            route=route,
            reason=reason,
            cause=cause,
            retry_after_s=retry_after_s,
            answer_end=self._answer_end(),
            cut_by=cut_by,
            took_s=round(now - received_at, 3),
        )

    def _answer_end(self) -> str:
        """Returns how the last server's answer of this request ended."""
        job = self._heads[eventlet.getcurrent()].job
        return job.answer_end if job is not None else ""


def _to_gateway_error(
    exc: model.GatewayError | backends.BadRequestError, job: model.Job | None
) -> model.GatewayError:
    """Returns the error to send for a failure.

    Status 503 states that the request did not run and never will. If a server
    may have run an earlier attempt, a 503 of a later one becomes a 502.
    """
    if isinstance(exc, backends.BadRequestError):
        return model.GatewayError(
            "400 Bad Request", "bad_request", exc.message, exc.remedy
        )
    if (
        job is None
        or not (job.sends or job.is_sending)
        or not exc.status.startswith("503")
    ):
        return exc
    return model.GatewayError(
        "502 Bad Gateway",
        "answer_lost",
        "an earlier attempt may have run, and no other server could be tried:"
        f" {exc.message}",
        "check the state of the request before sending it again",
    )


def _grace_ended_error() -> model.GatewayError:
    error = model.refusal(
        "stopping", "this entry VM has shut down", STOPPING_RETRY_S
    )
    error.is_closing = True
    return error


@functools.singledispatch
def _cut_by(exc: Exception) -> str:
    """Returns who ended a response after its head: this VM, or a server."""
    del exc
    return "vm"


@_cut_by.register
def _(exc: model.BrokenStreamError) -> str:
    del exc
    return "server"


@_cut_by.register
def _(exc: model.GatewayError) -> str:
    return "stop" if exc.reason == "stopping" else "vm"


class _ResponseHead:
    """Wraps ``start_response`` and records whether it was called.

    Attributes:
        is_sent: Whether it was called.
        job: The request, None until it is admitted.
    """

    __slots__ = ("_start_response", "is_sent", "job")

    def __init__(self, start_response: StartResponse):
        self._start_response = start_response
        self.is_sent = False
        self.job: model.Job | None = None

    def start(
        self, status: str, fields: list[tuple[str, str]]
    ) -> Callable[[bytes], Any]:
        """Sends the status and headers as ``start_response`` does."""
        self.is_sent = True
        return self._start_response(status, fields)


def _check_header_size(
    fields: Iterable[tuple[str, str]], max_bytes: int
) -> None:
    """Checks the total size of the header fields.

    Raises:
        GatewayError: They are larger than ``max_bytes``.
    """
    size = sum(
        len(name) + len(value) + FIELD_OVERHEAD_BYTES for name, value in fields
    )
    if size > max_bytes:
        raise model.GatewayError(
            "431 Request Header Fields Too Large",
            "header_too_long",
            f"the header fields have {size} bytes; the limit is {max_bytes}",
            "send fewer or shorter header fields",
            is_closing=True,
        )


def _read_body(environ: dict[str, Any], max_bytes: int) -> bytes:
    """Reads the whole body.

    Raises:
        GatewayError: The body is too long, malformed or truncated.
    """
    length = environ.get("CONTENT_LENGTH")
    if length and int(length) > max_bytes:
        raise _body_too_long_error(max_bytes)
    try:
        body = environ["wsgi.input"].read(max_bytes + 1)
    except (ValueError, wsgi.ChunkReadError) as exc:
        raise model.GatewayError(
            "400 Bad Request",
            "bad_body",
            f"the body cannot be read: {exc}",
            "send the whole body, with Content-Length or chunked",
            is_closing=True,
        ) from exc
    if len(body) > max_bytes:
        raise _body_too_long_error(max_bytes)
    if length and len(body) < int(length):
        raise model.GatewayError(
            "400 Bad Request",
            "bad_body",
            f"the body ended after {len(body)} of {length} bytes",
            "send the whole body",
            is_closing=True,
        )
    return body


def _body_too_long_error(max_bytes: int) -> model.GatewayError:
    return model.GatewayError(
        "413 Content Too Large",
        "body_too_long",
        f"the body has more than {max_bytes} bytes",
        "send a shorter body",
        is_closing=True,
    )


def _choose_pool(route: fleet.Route, attempt_id: str) -> str:
    """Selects a pool of the route in proportion to the weights.

    The same attempt ID always gives the same pool.
    """
    if len(route.services) == 1:
        return route.services[0][0]
    total = sum(weight for _, weight in route.services)
    point = zlib.crc32(attempt_id.encode()) / 2**32 * total
    for pool, weight in route.services:
        point -= weight
        if point < 0.0:
            return pool
    return route.services[-1][0]


def new_gateway_app(
    holder: fleet.ConfigurationHolder,
    plain_forwarder: plain.PlainForwarder,
    stream_forwarder: streams.StreamForwarder,
    event_log: log.EventLog,
    request_counters: counters.Counters,
    clock: model.Clock,
) -> GatewayApp:
    """Returns an application that uses the given components."""
    return GatewayApp(
        holder,
        plain_forwarder,
        stream_forwarder,
        event_log,
        request_counters,
        clock,
    )
