"""Forwards requests whose answer is one body."""

from savoryspar import backends, log, platform, routing
from savoryspar.gateway import attempts, model, placing


class PlainForwarder:
    """Sends a request to a server and returns its whole answer."""

    __slots__ = ("_clock", "_connections", "_events", "_placing", "_router")

    def __init__(
        self,
        router: routing.Router,
        connections: backends.Connections,
        events: log.EventLog,
        clock: model.Clock,
    ):
        self._router = router
        self._placing = placing.new_local_placing(router)
        self._connections = connections
        self._events = events
        self._clock = clock

    def run(self, job: model.Job) -> model.Reply:
        """Returns the answer of a server.

        Raises:
            GatewayError: There is none.
        """
        tries = attempts.Attempts(
            job, self._router, self._placing, self._events
        )
        while True:
            placement = tries.choose(self._clock())
            outcome = routing.Outcome.CANCELLED
            load = -1
            try:
                answer, body = self._send(job, placement)
                load = answer.facts.load
                reply, outcome, has_not_run = self._judge(job, answer, body)
                cause = f"status {answer.status}"
            except backends.CallRefusedError as exc:
                reply, has_not_run, cause = None, True, str(exc)
                outcome = routing.Outcome.UNREACHABLE
            except backends.CallUnknownError as exc:
                reply, has_not_run, cause = None, False, str(exc)
                tries.note_sent()
                outcome = routing.Outcome.FAILED
                if exc.is_crash:
                    outcome = routing.Outcome.CRASHED
                    tries.note_crash(placement, self._clock())
            finally:
                placement.finish(outcome, load, self._clock())
            now = self._clock()
            if reply is not None and outcome is routing.Outcome.OK:
                tries.note_success(now)
                return reply
            if tries.may_go_on(placement, has_not_run, cause, now):
                continue
            if reply is not None:
                return reply
            if has_not_run and not job.sends:
                raise model.refusal("servers_full", cause, 0.3)
            raise _lost(job, cause, now)

    def _send(
        self, job: model.Job, placement: placing.Placement
    ) -> tuple[backends.Answer, bytes]:
        now = self._clock()
        req = job.req
        server = placement.server
        fields = platform.encode_backend_headers(
            req,
            backends.BackendSend(
                server.name, job.left_s(now), job.workspace, None, (), None
            ),
        )
        answer = self._connections.send(
            (server.name, server.address),
            req.method,
            req.target,
            fields,
            req.body,
            job.left_s(now),
            req.attempt_id,
            job.route.may_repeat,
        )
        return answer, answer.read_all(job.deadline_at, self._clock)

    def _judge(
        self, job: model.Job, answer: backends.Answer, body: bytes
    ) -> tuple[model.Reply | None, routing.Outcome, bool]:
        """Returns the reply, how the call ended, and whether it has not run."""
        facts = answer.facts
        if facts.has_not_run:
            if answer.status == 400:
                reply = _reply(answer, body)
                return reply, routing.Outcome.OK, True
            if facts.is_other_server:
                self._router.mark_leaving(answer.server, self._clock())
            return None, routing.Outcome.REFUSED, True
        job.sends += 1
        if not facts.has_digest or facts.is_encoded:
            return None, routing.Outcome.FAILED, False
        if answer.status >= 500:
            return _reply(answer, body), routing.Outcome.FAILED, False
        return _reply(answer, body), routing.Outcome.OK, False


def _reply(answer: backends.Answer, body: bytes) -> model.Reply:
    return model.Reply(
        f"{answer.status} {answer.reason}",
        platform.answer_headers(answer.fields),
        body,
    )


def _lost(job: model.Job, cause: str, now: float) -> model.GatewayError:
    """Returns the answer to a request that may have run without an answer."""
    if job.left_s(now) <= 0.0:
        return model.GatewayError(
            "504 Gateway Timeout",
            "timeout",
            f"no answer in time: {cause}",
            "the request may have run; see its state before it is sent again",
        )
    return model.GatewayError(
        "502 Bad Gateway",
        "answer_lost",
        f"the answer was lost: {cause}",
        "the request may have run; see its state before it is sent again",
    )


def new_plain_forwarder(
    router: routing.Router,
    connections: backends.Connections,
    events: log.EventLog,
    clock: model.Clock,
) -> PlainForwarder:
    """Returns a forwarder over the given parts."""
    return PlainForwarder(router, connections, events, clock)
