"""Forwards requests that have a single response body."""

from savoryspar import backends, http, log, platform, routing
from savoryspar.gateway import attempts, blaming, model, placing

RELAY_BYTES = 2 * backends.RECEIVE_BUFFER_BYTES
"""Memory of an answer that is relayed and whose caller does not read."""


class PlainForwarder:
    """Sends a request to a server and returns its complete answer.

    An answer that is too large to buffer is relayed as it arrives.
    """

    __slots__ = (
        "_blame",
        "_clock",
        "_connections",
        "_events",
        "_placer",
        "_responses",
        "_router",
    )

    def __init__(
        self,
        router: routing.Router,
        crash_blame: blaming.FleetBlame,
        connections: backends.Connections,
        events: log.EventLog,
        clock: model.Clock,
        responses: http.ResponseBudget,
    ):
        self._responses = responses
        self._blame = crash_blame
        self._router = router
        self._placer = placing.new_local_placer(router)
        self._connections = connections
        self._events = events
        self._clock = clock

    def run(
        self, job: model.Job, start_response: model.StartResponse
    ) -> model.Reply | None:
        """Forwards a request, with retries.

        Returns:
            The answer of a server, or None if it was relayed.

        Raises:
            GatewayError: No server gave a valid answer.
            BrokenStreamError: A relayed answer broke off after its head.
        """
        job_attempts = self._new_attempts(job)
        while True:
            placement = job_attempts.choose(self._clock())
            reply, outcome, has_not_run, cause = self._try_server(
                job, placement, start_response
            )
            now = self._clock()
            if outcome is routing.Outcome.OK:
                job_attempts.report_success(placement, now)
                return reply
            if outcome is routing.Outcome.CRASHED:
                job_attempts.report_crash(placement, now)
                now = self._clock()
            if job_attempts.acquire_retry(placement, has_not_run, cause, now):
                continue
            if reply is not None:
                return reply
            if has_not_run and not job.sends:
                raise model.refusal("servers_full", cause, 0.3)
            raise _lost_answer_error(job, cause, now)

    def preview(self, job: model.Job, now: float) -> model.Preview:
        """Returns where a request would go now; changes no state."""
        found = model.Preview()
        with found.recording_refusal():
            job_attempts = self._new_attempts(job)
            _, found.avoided = job_attempts.preview_assessment(now)
            found.placement = job_attempts.preview(now)
        return found

    def _new_attempts(self, job: model.Job) -> attempts.Attempts:
        return attempts.Attempts(
            job,
            self._router,
            self._placer,
            self._blame,
            self._events,
            self._clock,
        )

    def _try_server(
        self,
        job: model.Job,
        placement: placing.Placement,
        start_response: model.StartResponse,
    ) -> tuple[model.Reply | None, routing.Outcome, bool, str]:
        """Sends a request to a server; returns as ``_classify_answer`` does.

        Raises:
            BrokenStreamError: A relayed answer broke off after its head.
        """
        reply, has_not_run, cause = None, False, ""
        outcome = routing.Outcome.CANCELLED
        answer, facts = None, None
        sent_at = self._clock()
        try:
            answer = self._send(job, placement)
            facts = answer.facts
            reply, outcome, has_not_run, cause = self._handle_answer(
                job, answer, start_response
            )
        except model.BrokenStreamError:
            outcome = routing.Outcome.FAILED
            raise
        except backends.CallRefusedError as exc:
            has_not_run, cause = True, str(exc)
            outcome = attempts.refused_outcome(exc)
        except backends.CallOutcomeUnknownError as exc:
            cause = str(exc)
            job.answer_end, job.end_evidence = exc.end, ""
            job.sends += 1
            outcome = attempts.unknown_outcome(exc, job, sent_at, self._clock())
        finally:
            if answer is not None:
                job.answer_end = answer.end or ""
                job.end_evidence = answer.end_evidence
            placement.finish(outcome, facts, self._clock())
        job.is_sending = False
        return reply, outcome, has_not_run, cause

    def _send(
        self, job: model.Job, placement: placing.Placement
    ) -> backends.Answer:
        now = self._clock()
        req = job.req
        server = placement.server
        fields = platform.encode_backend_headers(
            req,
            backends.BackendSend(
                server.name, job.left_s(now), job.workspace, None, (), None
            ),
        )
        job.is_sending = True
        return self._connections.send(
            server.key,
            req.method,
            req.target,
            fields,
            req.body,
            job.left_s(now),
            req.attempt_id,
            job.route.may_repeat,
            permit=placement.permit,
            shares_connection=bool(req.attempt_id),
        )

    def _handle_answer(
        self,
        job: model.Job,
        answer: backends.Answer,
        start_response: model.StartResponse,
    ) -> tuple[model.Reply | None, routing.Outcome, bool, str]:
        """Relays or reads an answer; returns as ``_classify_answer`` does."""
        if not self._is_too_large(answer):
            return self._classify_answer(job, answer)
        job.sends += 1
        self._relay(job, answer, start_response)
        return None, routing.Outcome.OK, False, "relayed"

    def _is_too_large(self, answer: backends.Answer) -> bool:
        """Returns whether a valid answer is too large to buffer now."""
        facts = answer.facts
        length = answer.length or 0
        has_room = self._responses.has_room(
            length + self._connections.buffered_bytes
        )
        return (
            (length > backends.MAX_BUFFERED_BYTES or not has_room)
            and answer.status < 500
            and facts.has_digest
            and not facts.is_encoded
            and not facts.has_not_run
        )

    def _relay(
        self,
        job: model.Job,
        answer: backends.Answer,
        start_response: model.StartResponse,
    ) -> None:
        """Relays an answer as it arrives.

        If the answer is truncated, the caller's connection is closed before
        Content-Length bytes, so the response does not look complete.

        Raises:
            BrokenStreamError: The answer was truncated.
        """
        write = start_response(
            f"{answer.status} {answer.reason}",
            [
                ("Content-Length", str(answer.length)),
                *platform.forwarded_headers(answer.fields),
            ],
        )
        until = job.deadline_at + backends.DEADLINE_GRACE_S
        reservation = self._responses.reserve(RELAY_BYTES, job.close_caller)
        try:
            while data := answer.read_part(until):
                write(data)
        except backends.CallOutcomeUnknownError as exc:
            raise model.BrokenStreamError(
                f"the answer ended early: {exc}",
                "the request may have run; check its state",
            ) from exc
        finally:
            reservation.end()
            if not answer.is_complete:
                answer.close()

    def _classify_answer(
        self, job: model.Job, answer: backends.Answer
    ) -> tuple[model.Reply | None, routing.Outcome, bool, str]:
        """Reads the body and classifies the answer.

        Returns:
            The reply, the outcome of the call, whether the request certainly
            has not run, and the cause for the log.

        Raises:
            CallOutcomeUnknownError: The body is truncated.
        """
        facts = answer.facts
        cause = f"status {answer.status}"
        if facts.has_not_run:
            job.sends += answer.is_repeated
            if answer.status == 400:
                reply = _reply(answer, answer.read_all(job.deadline_at))
                return reply, routing.Outcome.OK, True, cause
            if facts.is_misdirected:
                self._router.mark_leaving(answer.server, self._clock())
            cause = f"{cause} {answer.discard_rest(job.deadline_at)}".rstrip()
            return None, routing.Outcome.REFUSED, True, cause
        body = answer.read_all(job.deadline_at)
        job.sends += 1
        if not facts.has_digest or facts.is_encoded:
            return None, routing.Outcome.FAILED, False, cause
        if answer.status >= 500:
            reply = _reply(answer, body)
            return reply, routing.Outcome.FAILED, False, cause
        return _reply(answer, body), routing.Outcome.OK, False, cause


def _reply(answer: backends.Answer, body: bytes) -> model.Reply:
    return model.Reply(
        f"{answer.status} {answer.reason}",
        platform.forwarded_headers(answer.fields),
        body,
    )


def _lost_answer_error(
    job: model.Job, cause: str, now: float
) -> model.GatewayError:
    """Returns the error for a request that may have run unanswered."""
    if job.left_s(now) <= 0.0:
        return model.GatewayError(
            "504 Gateway Timeout",
            "timeout",
            f"no answer before the deadline: {cause}",
            "the request may have run; check its state before sending it again",
        )
    return model.GatewayError(
        "502 Bad Gateway",
        "answer_lost",
        f"the answer was lost: {cause}",
        "the request may have run; check its state before sending it again",
    )


def new_plain_forwarder(
    router: routing.Router,
    crash_blame: blaming.FleetBlame,
    connections: backends.Connections,
    events: log.EventLog,
    clock: model.Clock,
    responses: http.ResponseBudget,
) -> PlainForwarder:
    """Returns a forwarder that uses the given components."""
    return PlainForwarder(
        router, crash_blame, connections, events, clock, responses
    )
