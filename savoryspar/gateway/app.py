"""The WSGI application that serves callers on the users' platform."""

from collections.abc import Callable, Iterable
import contextlib
import functools
import socket
from typing import Any
import zlib

import eventlet

from savoryspar import backends, fleet, http, log, platform
from savoryspar.gateway import (
    active,
    attempts,
    counters,
    draining,
    model,
    plain,
    pool_shares,
    streams,
    upload_errors,
)

DEFAULT_DEADLINE_S = 30.0
"""Deadline where neither the caller nor the route sets one."""
NO_CONFIGURATION_RETRY_S = 0.5
STREAM_COMPLETE = "stream complete"
"""Outcome of a request whose response was relayed."""

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
    """

    __slots__ = (
        "_active",
        "_bodies",
        "_budget_log",
        "_clock",
        "_counters",
        "_drain",
        "_events",
        "_holder",
        "_plain",
        "_responses",
        "_shares",
        "_streams",
        "running",
    )

    def __init__(
        self,
        holder: fleet.ConfigurationHolder,
        plain_forwarder: plain.PlainForwarder,
        stream_forwarder: streams.StreamForwarder,
        drain: draining.Drain,
        event_log: log.EventLog,
        request_counters: counters.Counters,
        clock: model.Clock,
        bodies: http.BodyReader,
        shares: pool_shares.PoolShares,
        responses: http.ResponseBudget,
    ):
        self._responses = responses
        self._bodies = bodies
        self._shares = shares
        self._budget_log = upload_errors.BudgetLog(bodies.budget, event_log)
        self._holder = holder
        self._plain = plain_forwarder
        self._streams = stream_forwarder
        self._drain = drain
        self._events = event_log
        self._counters = request_counters
        self._clock = clock
        self.running = 0
        # The requests that are being served, by green thread.
        self._active: dict[Any, active.ActiveRequest] = {}

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves one request (PEP 3333)."""
        received_at = self._clock()
        self.running += 1
        thread = eventlet.getcurrent()
        sock = environ["eventlet.input"].get_socket()
        req = self._active[thread] = active.ActiveRequest(
            start_response, received_at
        )
        try:
            caller_req = self._read_request(environ, req)
            req.attempt_id = caller_req.attempt_id
            with http.cancel_on_hangup(sock):
                req.job = self._admit(caller_req, received_at)
                req.job.close_caller = functools.partial(_shut_down, sock)
                self._begin_share(req, sock.request_bytes)
                reply = self._forward(req.job, req.start)
            if reply is None:
                self._record_answer(req, STREAM_COMPLETE)
                return []
            self._record_answer(req, reply.status)
            start_response(reply.status, reply.fields)
            return self._responses.hold(reply.body, req.job.close_caller)
        except (
            model.GatewayError,
            backends.BadRequestError,
            http.UploadError,
        ) as exc:
            if req.is_head_sent:
                return self._abort_response(req, exc)
            return self._answer_failure(
                req, _to_gateway_error(exc, req.job), start_response
            )
        except model.BrokenStreamError as exc:
            return self._abort_response(req, exc)
        except (http.CallerGoneError, OSError) as exc:
            self._record_failure(
                req,
                "caller_gone",
                repr(exc),
                cut_by="caller" if req.is_head_sent else None,
            )
            # The thread that raised it keeps it, with the frames that refer
            # to the body, until the next garbage collection.
            exc.__traceback__ = None
            http.cut_response()
            return []
        except GraceEndedError:
            failure = _grace_ended_error()
            if req.is_head_sent:
                return self._abort_response(req, failure)
            failure = _to_gateway_error(failure, req.job)
            return self._answer_failure(req, failure, start_response)
        except Exception as exc:
            # Left to the WSGI server, the 500 would not appear in the log.
            failure = model.GatewayError(
                "500 Internal Server Error",
                "unexpected_error",
                f"unexpected error: {exc!r}",
                "check the log of this entry VM",
                is_closing=True,
            )
            if req.is_head_sent:
                return self._abort_response(req, failure)
            return self._answer_failure(req, failure, start_response)
        finally:
            self.running -= 1
            del self._active[thread]
            self._free(req)

    def running_by_kind(self, now: float) -> dict[str, dict[str, float]]:
        """Returns the number and the greatest age of the requests by kind."""
        return active.describe(self._active.values(), now)

    @property
    def is_stopping(self) -> bool:
        """Whether shutdown has begun."""
        return self._drain.started_at is not None

    def end_requests(self, now: float) -> int:
        """Answers the requests without a response with an error.

        The process is about to end, which would close their connections.

        Args:
            now: Monotonic time in seconds.

        Returns:
            The number of requests that were running.
        """
        running = [*self._active.items()]
        for thread, req in running:
            if self._active.get(thread) is not req:
                continue  # It has ended while others were being answered.
            self._events.failure(
                "request cut",
                now,
                req.attempt_id,
                route=req.route,
                kind=req.kind,
                age_s=round(now - req.received_at, 3),
                is_head_sent=req.is_head_sent,
                may_have_run=req.may_have_run,
            )
            if not req.is_head_sent:
                eventlet.kill(thread, GraceEndedError())
        return len(running)

    def _abort_response(
        self, req: active.ActiveRequest, exc: Exception
    ) -> Iterable[bytes]:
        """Closes the connection without terminating the body.

        A truncated response must not look complete to the caller.
        """
        self._record_failure(
            req, "stream_broken", str(exc), cut_by=_cut_by(exc)
        )
        http.cut_response()
        return []

    def start_draining(self, now: float, ends_at: float) -> None:
        """Starts refusing requests that could not finish before shutdown.

        Args:
            now: Monotonic time in seconds.
            ends_at: Monotonic time at which the process ends.
        """
        self._drain.start(now, ends_at)

    def _forward(
        self, job: model.Job, start_response: StartResponse
    ) -> model.Reply | None:
        if job.route.kind is not fleet.RouteKind.STREAM:
            return self._plain.run(job, start_response)
        return self._streams.run(job, start_response)

    def _begin_share(self, req: active.ActiveRequest, size: int) -> None:
        """Counts an admitted request toward the share of its pool.

        Raises:
            GatewayError: The pool has taken its share.
        """
        self._shares.begin(req.job.pool, size)
        req.share_bytes = size

    def _free(self, req: active.ActiveRequest) -> None:
        """Ends the counts of a request, and drops its body.

        The traceback of an error may keep the request until the next garbage
        collection.
        """
        if req.job is not None:
            req.job.req.body = b""
            if req.share_bytes:
                self._shares.end(req.job.pool, req.share_bytes)
        if req.upload is not None:
            self._bodies.budget.end(req.upload)
        self._budget_log.update(self._clock())

    def _read_request(
        self, environ: dict[str, Any], req: active.ActiveRequest
    ) -> backends.CallerRequest:
        current = self._configuration()
        fields = environ[http.FIELDS_KEY]
        _check_header_size(fields, current.limits.max_header_bytes)
        caller_req = platform.decode_caller_request(
            environ["REQUEST_METHOD"], environ[http.TARGET_KEY], fields, b""
        )
        route = current.find_route(caller_req.host, caller_req.path)
        deadline_at = req.received_at + _deadline_s(route, caller_req)
        caller_req.body, req.upload = self._bodies.read(
            environ,
            current.limits.max_body_bytes,
            deadline_at - self._clock(),
        )
        return caller_req

    def _configuration(self) -> fleet.Configuration:
        """Returns the active configuration.

        Raises:
            GatewayError: There is none yet.
        """
        if self._holder.current is None:
            raise model.refusal(
                "no_configuration",
                "this entry VM has no configuration yet",
                NO_CONFIGURATION_RETRY_S,
            )
        return self._holder.current

    def new_job(
        self, req: backends.CallerRequest, received_at: float, now: float
    ) -> model.Job:
        """Returns the job of a request, without a record of it.

        Args:
            req: The request.
            received_at: When it arrived, in monotonic seconds.
            now: Monotonic time in seconds.

        Raises:
            GatewayError: It is refused.
        """
        current = self._configuration()
        route = current.find_route(req.host, req.path)
        if route is None:
            raise model.GatewayError(
                "404 Not Found",
                "no_route",
                f"no route for host {req.host!r} and path {req.path!r}",
                "check the routes of the active configuration",
            )
        workspace = self._authenticate(current, route, req.key)
        deadline_s = _deadline_s(route, req)
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
            fleet.request_regions(route, workspace),
        )
        job.admitted_at = now
        job.check_stop = self._drain.check
        self._drain.check(job, now)
        return job

    def preview(self, job: model.Job, now: float) -> model.Preview:
        """Returns where a request would go now; changes no state."""
        if job.route.kind is not fleet.RouteKind.STREAM:
            return self._plain.preview(job, now)
        return self._streams.preview(job, now)

    def _admit(
        self, req: backends.CallerRequest, received_at: float
    ) -> model.Job:
        now = self._clock()
        job = self.new_job(req, received_at, now)
        self._events.decision(
            "request admitted",
            now,
            req.attempt_id,
            route=job.route.name,
            pool=job.pool,
            workspace=job.workspace,
            rank=job.rank,
            version=job.version,
            version_age_s=round(now - self._holder.active_since, 1),
            deadline_s=round(job.deadline_at - received_at, 3),
            prompt_tokens=req.prompt_tokens,
            pieces=req.pieces,
            **_home_fields(job),
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
        req: active.ActiveRequest,
        exc: model.GatewayError,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        self._record_failure(req, exc.reason, str(exc), exc.retry_after_s)
        fields = [("Content-Type", "text/plain; charset=utf-8")]
        if exc.retry_after_s is not None:
            fields.append(("Retry-After", f"{exc.retry_after_s:.2f}"))
        if exc.is_closing:
            fields.append(("Connection", "close"))
        start_response(exc.status, fields)
        return [f"{exc}\n".encode()]

    def _record_answer(self, req: active.ActiveRequest, outcome: str) -> None:
        now = self._clock()
        if outcome.startswith(("2", STREAM_COMPLETE)):
            self._drain.durations.record(req.route, now - req.job.admitted_at)
        self._counters.count(req.route, outcome, now - req.received_at)
        self._events.decision(
            "request answered",
            now,
            req.attempt_id,
            route=req.route,
            outcome=outcome,
            answer_end=req.answer_end,
            end_evidence=req.end_evidence,
            took_s=round(now - req.received_at, 3),
        )

    def _record_failure(
        self,
        req: active.ActiveRequest,
        reason: str,
        cause: str,
        retry_after_s: float | None = None,
        cut_by: str | None = None,
    ) -> None:
        now = self._clock()
        self._counters.count(req.route, reason, now - req.received_at)
        self._events.failure(
            "request failed",
            now,
            req.attempt_id,
            route=req.route,
            reason=reason,
            cause=cause,
            retry_after_s=retry_after_s,
            answer_end=req.answer_end,
            end_evidence=req.end_evidence,
            cut_by=cut_by,
            took_s=round(now - req.received_at, 3),
        )


def _shut_down(sock: socket.socket) -> None:
    """Ends the wait for a caller that does not read."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def _deadline_s(
    route: fleet.Route | None, req: backends.CallerRequest
) -> float:
    """Returns the time that a request has from its arrival, in seconds."""
    timeout_s = (route.timeout_s if route else 0.0) or DEFAULT_DEADLINE_S
    return min(timeout_s, req.deadline_s or timeout_s)


def _to_gateway_error(
    exc: model.GatewayError | backends.BadRequestError | http.UploadError,
    job: model.Job | None,
) -> model.GatewayError:
    """Returns the error to send for a failure.

    Status 503 states that the request did not run and never will. If a server
    may have run an earlier attempt, a 503 of a later one becomes a 502.
    """
    if isinstance(exc, http.UploadError):
        return upload_errors.to_gateway_error(exc)
    if isinstance(exc, backends.BadRequestError):
        return model.GatewayError(
            "400 Bad Request",
            "bad_request",
            exc.message,
            exc.remedy,
            # The body, which has not been read, follows on the connection.
            is_closing=True,
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
    error = model.stopping_refusal("this entry VM has shut down")
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


def _home_fields(job: model.Job) -> dict[str, Any]:
    """Returns the field of the home regions for the log, if there are any."""
    if job.home_regions is None:
        return {}
    return {"home_regions": sorted(job.home_regions)}


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
    drain: draining.Drain,
    event_log: log.EventLog,
    request_counters: counters.Counters,
    clock: model.Clock,
    bodies: http.BodyReader,
    shares: pool_shares.PoolShares,
    responses: http.ResponseBudget,
) -> GatewayApp:
    """Returns an application that uses the given components."""
    return GatewayApp(
        holder,
        plain_forwarder,
        stream_forwarder,
        drain,
        event_log,
        request_counters,
        clock,
        bodies,
        shares,
        responses,
    )
