"""Runs the stages of a request, then relays an engine's event stream."""

from collections.abc import Callable, Iterator
import contextlib

from savoryspar import backends, fleet, log, platform, routing, stages
from savoryspar.gateway import (
    attempts,
    blaming,
    events,
    model,
    placing,
    stage_runner,
)

FIRST_EVENT_S = 0.1
"""Time from the end of prefill to the first event on a busy engine."""
URGENCY_BASE = 2
"""Urgency sent to an engine for rank 0; 0 and 1 are left unused."""
MAX_URGENCY = 9
DEFAULT_RETRY_S = 0.5


class StreamForwarder:
    """Forwards stream requests; construct with ``new_stream_forwarder``."""

    __slots__ = (
        "_blame",
        "_clock",
        "_connections",
        "_events",
        "_holder",
        "_placer",
        "_router",
        "_stage_runner",
    )

    def __init__(
        self,
        holder: fleet.ConfigurationHolder,
        router: routing.Router,
        placer: placing.Placer,
        crash_blame: blaming.FleetBlame,
        runner: stage_runner.StageRunner,
        connections: backends.Connections,
        event_log: log.EventLog,
        clock: model.Clock,
    ):
        self._blame = crash_blame
        self._holder = holder
        self._router = router
        self._placer = placer
        self._stage_runner = runner
        self._connections = connections
        self._events = event_log
        self._clock = clock

    def run(
        self, job: model.Job, start_response: model.StartResponse
    ) -> model.Reply | None:
        """Forwards a request, with retries.

        Returns:
            An error response of the engine to pass on, or None if the stream
            was relayed to its end.

        Raises:
            GatewayError: The stream failed before its head was sent.
            BrokenStreamError: The stream broke off after its head was sent.
        """
        chain = self._new_chain(job)
        try:
            return _Relay(self, job, chain, start_response).run()
        finally:
            self._stage_runner.free(chain.reset())

    def preview(self, job: model.Job, now: float) -> model.Preview:
        """Returns where a request would go now; changes no state.

        A later step is described even if an earlier one refuses the request,
        so that operators see all that is wrong.
        """
        found = model.Preview()
        chain = self._new_chain(job)
        job_attempts = self.new_attempts(job)
        zone = job_attempts.preferred_zone(now)
        found.zones = job_attempts.zone_costs(now)
        with found.recording_refusal():
            _, found.avoided = job_attempts.preview_assessment(now)
        with found.recording_refusal():
            self._check_zones(job)
        found.stages = self._stage_runner.preview(chain, zone, now)
        with found.recording_refusal(), _refusing(job):
            self._stage_runner.check_preview(chain, found.stages, zone, now)
        with found.recording_refusal():
            found.placement = job_attempts.preview(now, zone)
        return found

    def new_attempts(self, job: model.Job) -> attempts.Attempts:
        """Returns the attempts of a request."""
        return attempts.Attempts(
            job,
            self._router,
            self._placer,
            self._blame,
            self._events,
            self._clock,
        )

    def _new_chain(self, job: model.Job) -> stages.Chain:
        current = self._holder.current
        pools = {
            service.name: service.stage_pool
            for service in current.services.values()
            if service.stage_pool
        }
        rate = self._router.prefill_rates.tokens_per_s(job.pool)
        engine_s = job.req.prompt_tokens / rate + FIRST_EVENT_S
        return stages.new_chain(
            job.req,
            job.route,
            pools,
            job.rank,
            job.objective_at - engine_s,
            job.abandon_at - engine_s,
            job.home_regions,
            job.workspace,
        )

    def _run_stages(
        self, job: model.Job, chain: stages.Chain, zone: str
    ) -> None:
        with _refusing(job):
            self._stage_runner.run_chain(chain, job.req.attempt_id, zone)

    def _check_zones(self, job: model.Job) -> None:
        """Checks that no pool of a request has evacuated zones only.

        Otherwise stages would run in vain before the request is refused.

        Raises:
            GatewayError: One has.
        """
        for pool in (job.pool, *(s.service for s in job.route.stages)):
            if self._stage_runner.is_evacuated(pool):
                raise model.refusal(
                    "zones_evacuated",
                    f"all zones with servers of pool {pool!r} are evacuated",
                    placing.EVACUATED_RETRY_S,
                )


@contextlib.contextmanager
def _refusing(job: model.Job) -> Iterator[None]:
    """Turns the failure of a stage into a refusal.

    Raises:
        GatewayError: A stage failed.
    """
    try:
        yield
    except stage_runner.StageError as exc:
        if exc.failure is stages.Failure.NO_SERVER_AT_HOME:
            raise model.home_refusal(job, exc.pool, "none is usable") from exc
        raise model.refusal(
            f"stage_{exc.failure.value}",
            f"a stage failed: {exc.failure.value}",
            exc.retry_after_s or DEFAULT_RETRY_S,
        ) from exc


class _Relay:
    """Relays one stream, from one engine or from several in turn."""

    __slots__ = (
        "_attempts",
        "_chain",
        "_event_at",
        "_forwarder",
        "_is_started",
        "_job",
        "_splitter",
        "_start_response",
        "_write",
        "_zone",
    )

    def __init__(
        self,
        forwarder: StreamForwarder,
        job: model.Job,
        chain: stages.Chain,
        start_response: model.StartResponse,
    ):
        self._forwarder = forwarder
        self._job = job
        self._chain = chain
        self._start_response = start_response
        self._splitter = events.EventSplitter(
            job.req.resume_after, job.route.is_resumable
        )
        self._is_started = False
        # When the engine got the request or sent its last event.
        self._event_at = 0.0
        self._write: Callable[[bytes], None] = lambda data: None
        self._attempts = forwarder.new_attempts(job)
        self._zone = self._attempts.preferred_zone(forwarder._clock())

    def run(self) -> model.Reply | None:
        clock = self._forwarder._clock
        self._attempts.check(clock())
        self._forwarder._check_zones(self._job)
        self._run_stages()
        while True:
            placement = self._choose()
            outcome, reply, has_not_run, cause = self._try_engine(placement)
            if outcome is routing.Outcome.OK and (
                reply is None or not self._is_started
            ):
                return reply
            if outcome is routing.Outcome.CRASHED:
                self._attempts.report_crash(placement, clock())
            now = clock()
            if self._attempts.acquire_retry(placement, has_not_run, cause, now):
                self._splitter.discard_partial()
                if not self._chain.is_done:
                    self._run_stages()
                continue
            if self._is_started:
                raise model.BrokenStreamError(
                    "the stream broke off after event"
                    f" {self._splitter.last_id}: {cause}",
                    "resume it with the ID of the last event",
                )
            if reply is not None:
                return reply
            raise self._failure_error(has_not_run, cause, now)

    def _run_stages(self) -> None:
        forwarder, chain = self._forwarder, self._chain
        forwarder._run_stages(self._job, chain, self._zone)
        self._zone = forwarder._stage_runner.server_zone(
            chain.inputs(), self._zone, self._attempts.shared_prefill_s
        )

    def _choose(self) -> placing.Placement:
        try:
            return self._attempts.choose(self._forwarder._clock(), self._zone)
        except model.GatewayError as exc:
            if self._is_started:
                raise model.BrokenStreamError(str(exc), exc.remedy) from exc
            raise

    def _failure_error(
        self, has_not_run: bool, cause: str, now: float
    ) -> model.GatewayError:
        if has_not_run and not self._job.sends:
            return model.refusal("engines_full", cause, DEFAULT_RETRY_S)
        is_late = self._job.left_s(now) <= 0.0
        return model.GatewayError(
            "504 Gateway Timeout" if is_late else "502 Bad Gateway",
            "timeout" if is_late else "answer_lost",
            f"the stream failed before its first event: {cause}",
            "the request may have run",
        )

    def _try_engine(
        self, placement: placing.Placement
    ) -> tuple[routing.Outcome, model.Reply | None, bool, str]:
        """Relays the stream of one engine.

        Returns:
            The outcome, an error response to pass on, whether the request
            certainly has not run, and the cause for the log.
        """
        forwarder = self._forwarder
        outcome = routing.Outcome.CANCELLED
        answer = None
        reply = None
        has_not_run = False
        cause = ""
        self._event_at = forwarder._clock()
        try:
            answer = self._send(placement)
            forwarder._events.decision(
                "answer head",
                forwarder._clock(),
                self._job.req.attempt_id,
                server=answer.server,
                status=answer.status,
            )
            if answer.facts.has_not_run:
                outcome = routing.Outcome.REFUSED
                self._job.is_sending = False
                self._job.sends += answer.is_repeated
                reply, has_not_run = self._handle_refusal(answer), True
                cause = f"status {answer.status}"
                if reply is not None:
                    outcome = routing.Outcome.OK
            elif answer.status != 200 or not answer.facts.has_digest:
                self._attempts.record_send()
                body = answer.read_all(self._job.deadline_at)
                outcome = routing.Outcome.FAILED
                cause = f"status {answer.status}"
                if answer.facts.has_digest:
                    reply = self._reply(answer, body)
            else:
                self._attempts.record_send()
                self._relay(placement, answer)
                outcome = routing.Outcome.OK
                self._attempts.report_success(placement, forwarder._clock())
        except backends.CallRefusedError as exc:
            outcome, has_not_run = attempts.refused_outcome(exc), True
            cause = str(exc)
        except backends.CallOutcomeUnknownError as exc:
            outcome = attempts.unknown_outcome(
                exc, self._job, self._event_at, forwarder._clock()
            )
            cause = str(exc)
            self._job.answer_end, self._job.end_evidence = exc.end, ""
            if answer is None:
                self._attempts.record_send()
        finally:
            self._finish_send(placement, answer, outcome)
        self._job.is_sending = False
        return outcome, reply, has_not_run, cause

    def _finish_send(
        self,
        placement: placing.Placement,
        answer: backends.Answer | None,
        outcome: routing.Outcome,
    ) -> None:
        facts = None
        if outcome is not routing.Outcome.OK:
            # The traceback of the error keeps this object for longer.
            self._splitter.release()
        if answer is not None:
            if not answer.is_complete:
                answer.close()
            facts, self._job.answer_end = answer.facts, answer.end or ""
            self._job.end_evidence = answer.end_evidence
        placement.finish(outcome, facts, self._forwarder._clock())

    def _send(self, placement: placing.Placement) -> backends.Answer:
        forwarder, job = self._forwarder, self._job
        now = forwarder._clock()
        fields = platform.encode_backend_headers(
            job.req,
            backends.BackendSend(
                placement.server.name,
                job.left_s(now),
                job.workspace,
                min(MAX_URGENCY, URGENCY_BASE + 2 * job.rank),
                self._chain.inputs(),
                self._splitter.last_id,
            ),
        )
        job.is_sending = True
        return forwarder._connections.send(
            placement.server.key,
            job.req.method,
            job.req.target,
            fields,
            job.req.body,
            job.left_s(now),
            job.req.attempt_id,
            job.route.may_repeat,
            permit=placement.permit,
            shares_connection=bool(job.req.attempt_id),
        )

    def _handle_refusal(self, answer: backends.Answer) -> model.Reply | None:
        forwarder = self._forwarder
        if answer.status == 400:
            return self._reply(answer, answer.read_all(self._job.deadline_at))
        answer.discard_rest(self._job.deadline_at)
        if answer.facts.is_misdirected:
            forwarder._router.mark_leaving(answer.server, forwarder._clock())
        if answer.status == 409:
            # An input is no longer available, so the stages run again, within
            # the deadline.
            forwarder._stage_runner.free(self._chain.reset())
            self._run_stages()
        return None

    def _reply(self, answer: backends.Answer, body: bytes) -> model.Reply:
        return model.Reply(
            f"{answer.status} {answer.reason}",
            platform.forwarded_headers(answer.fields),
            body,
        )

    def _relay(
        self, placement: placing.Placement, answer: backends.Answer
    ) -> None:
        forwarder, job = self._forwarder, self._job
        # Only complete events reset the stall timeout; other bytes, such as
        # comments, do not, because callers measure the gap between events.
        stalled_at = forwarder._clock() + model.stall_timeout_s(job.route)
        relay_until = job.deadline_at + backends.DEADLINE_GRACE_S
        while data := answer.read_part(min(stalled_at, relay_until)):
            complete = self._split(answer, data)
            if complete:
                self._event_at = forwarder._clock()
                stalled_at = self._event_at + model.stall_timeout_s(job.route)
                self._pass_on(placement, answer, complete)
            if self._splitter.error is not None:
                raise _broken_stream_error(answer, self._splitter.error)
        self._check_end(answer)
        self._send_head(answer)
        if self._splitter.remainder:
            self._write(self._splitter.remainder)
        self._write(b"")

    def _pass_on(
        self,
        placement: placing.Placement,
        answer: backends.Answer,
        complete: bytes,
    ) -> None:
        """Sends complete events to the caller."""
        forwarder = self._forwarder
        if placement.answer_started_at is None:
            placement.record_answer_start(forwarder._clock())
            # The engine has fetched its inputs. They are freed although another
            # engine might need them to resume the stream: that is rare, and
            # memory for results is what limits stage pools.
            forwarder._stage_runner.free(self._chain.reset())
        self._send_head(answer)
        self._write(complete)

    def _check_end(self, answer: backends.Answer) -> None:
        """Checks that a stream did not end inside an event.

        The rest after the last event is passed on only if the length or the
        chunks of the body show that it is whole, and no other engine has sent
        a part of the stream.

        Raises:
            CallOutcomeUnknownError: The stream broke off.
        """
        if self._splitter.remainder and (
            answer.ends_with_connection or self._splitter.is_resumed
        ):
            raise backends.CallOutcomeUnknownError(
                answer.server,
                "the stream ended inside an event",
                "the answer is incomplete; check the backend server",
                has_sent=True,
                is_crash=True,
            )

    def _split(self, answer: backends.Answer, data: bytes) -> bytes:
        """Returns the events that are complete with the new data.

        Raises:
            CallOutcomeUnknownError: An event is too long.
        """
        try:
            complete = self._splitter.feed(data)
        except events.EventTooLongError as exc:
            raise _broken_stream_error(answer, exc) from exc
        answer.hold(self._splitter.remaining)
        return complete

    def _send_head(self, answer: backends.Answer) -> None:
        """Sends the head of the response, unless it was sent before."""
        if not self._is_started:
            self._is_started = True
            forwarder, job = self._forwarder, self._job
            now = forwarder._clock()
            forwarder._events.decision(
                "first event",
                now,
                job.req.attempt_id,
                server=answer.server,
                after_s=round(now - job.received_at, 3),
                objective_s=job.route.objective_s,
            )
            self._write = self._start_response(
                f"{answer.status} {answer.reason}",
                platform.forwarded_headers(answer.fields),
            )


def _broken_stream_error(
    answer: backends.Answer, cause: events.EventError
) -> backends.CallOutcomeUnknownError:
    """Closes the connection and returns the error of a stream that is given up.

    Args:
        answer: The stream of a server.
        cause: Why its next event cannot be passed on.
    """
    answer.close()
    return backends.CallOutcomeUnknownError(
        answer.server,
        str(cause),
        "the answer is incomplete; check the backend server",
        has_sent=True,
    )


def new_stream_forwarder(
    holder: fleet.ConfigurationHolder,
    router: routing.Router,
    placer: placing.Placer,
    crash_blame: blaming.FleetBlame,
    runner: stage_runner.StageRunner,
    connections: backends.Connections,
    event_log: log.EventLog,
    clock: model.Clock,
) -> StreamForwarder:
    """Returns a forwarder that uses the given components."""
    return StreamForwarder(
        holder,
        router,
        placer,
        crash_blame,
        runner,
        connections,
        event_log,
        clock,
    )
