"""Runs the stages of requests in sequence."""

from collections.abc import Callable
import itertools
import secrets
from typing import Any

from savoryspar import backends, routing, scheduling, sheet
from savoryspar.pipelines import (
    attempts,
    bodies,
    exceptions,
    model,
    streaming,
)


class Runner:
    """Runs requests with the scheduler, the router and the backend client.

    Attributes:
        sheet: Returns the current sheet.
    """

    __slots__ = (
        "_attempt_numbers",
        "_client",
        "_clock",
        "_router",
        "_scheduler",
        "sheet",
    )

    def __init__(
        self,
        current_sheet: Callable[[], sheet.Sheet],
        scheduler: scheduling.Scheduler,
        router: routing.Router,
        client: backends.Client,
        clock: Callable[[], float],
    ):
        self.sheet = current_sheet
        self._scheduler = scheduler
        self._router = router
        self._client = client
        self._clock = clock
        self._attempt_numbers = itertools.count(1)

    def run(self, req: model.Request) -> dict[str, Any]:
        """Runs every stage and returns the output of the last one.

        Raises:
            RunError: The request failed.
        """
        attempts.check_fingerprint(self._router, req, self._clock())
        for stage in req.pipeline.stages:
            req.outputs[stage.name] = self._run_stage(req, stage)
        return req.outputs[req.pipeline.stages[-1].name]

    def stream(self, req: model.Request) -> streaming.AnswerStream:
        """Runs all stages but the last, and opens the stream of the last one.

        Raises:
            RunError: The stream could not be opened.
        """
        attempts.check_fingerprint(self._router, req, self._clock())
        for stage in req.pipeline.stages[:-1]:
            req.outputs[stage.name] = self._run_stage(req, stage)
        return self.open_stream(req, req.pipeline.stages[-1])

    def open_stream(
        self, req: model.Request, stage: sheet.Stage
    ) -> streaming.AnswerStream:
        """Starts a generation stage and returns its answer stream."""
        return streaming.AnswerStream(self, req, stage)

    def _run_stage(
        self, req: model.Request, stage: sheet.Stage
    ) -> dict[str, Any]:
        if self.sheet().pools[stage.pool].kind == "engine":
            stream = self.open_stream(req, stage)
            try:
                return {"text": stream.read_text(), "tokens": stream.tokens}
            finally:
                stream.close()
        return self._call_stage(req, stage)

    def _call_stage(
        self, req: model.Request, stage: sheet.Stage
    ) -> dict[str, Any]:
        pool = self.sheet().pools[stage.pool]
        stage_attempts = self.new_attempts(req, stage)
        while True:
            grant = self.acquire_slot(req, stage, pool.cost)
            is_complete = False
            try:
                choice = stage_attempts.choose()
                try:
                    output = self._call_once(req, stage, choice)
                    is_complete = True
                    return output
                except backends.BackendError as exc:
                    stage_attempts.prepare_retry(choice, exc)
            finally:
                grant.release(self._clock(), is_complete)

    def _call_once(
        self, req: model.Request, stage: sheet.Stage, choice: routing.Choice
    ) -> dict[str, Any]:
        supports = self.sheet().pools[stage.pool].supports
        key = req.idempotency_key if "idempotency-key" in supports else ""
        outcome = routing.Outcome.CANCELLED
        load = -1
        try:
            body = bodies.run_body(req, stage)
            call = self.new_call(req, "/v1/run", body, key)
            result = self._client.call(choice.server, call)
            outcome, load = routing.Outcome.OK, result.load
            if result.is_leaving:
                self._mark_leaving(choice)
        except backends.BackendError as exc:
            outcome = self.outcome_of(exc)
            raise
        finally:
            self._router.observe(choice, outcome, load, self._clock())
        self.clear_suspect(req, choice)
        return result.output

    def acquire_slot(
        self, req: model.Request, stage: sheet.Stage, cost: float
    ) -> scheduling.Grant:
        """Waits for a slot of the stage's pool.

        Raises:
            RunError: The scheduler rejected or dropped the job.
        """
        job = scheduling.Job(
            req.request_id,
            req.workspace.name,
            req.workspace.share,
            req.rank,
            stage.pool,
            cost,
            req.deadline_at,
            stage.model,
            self._remaining_stages(req, stage),
            bool(req.outputs),
        )
        try:
            return self._scheduler.acquire(job, self._clock())
        except scheduling.AdmissionError as exc:
            raise exceptions.RunError(
                "overloaded",
                503,
                exc.message,
                exc.remedy,
                attempts.run_state(req),
                exc.retry_after_s,
            ) from exc

    def _remaining_stages(
        self, req: model.Request, stage: sheet.Stage
    ) -> tuple[scheduling.RemainingStage, ...]:
        stages = req.pipeline.stages
        return tuple(
            scheduling.RemainingStage(
                remaining.pool,
                remaining.model,
                bodies.stage_cost(req, self.sheet().pools[remaining.pool]),
            )
            for remaining in stages[stages.index(stage) + 1 :]
        )

    def new_attempts(
        self, req: model.Request, stage: sheet.Stage
    ) -> attempts.Attempts:
        """Returns an ``Attempts`` object for a stage, without any attempt."""
        pool = self.sheet().pools[stage.pool]
        return attempts.Attempts(self._router, self._clock, req, stage, pool)

    def clear_suspect(self, req: model.Request, choice: routing.Choice) -> None:
        """Clears a suspect that ran alone without crashing its server.

        A request with several stages is cleared after its last one, because
        only then all of its stages are known not to crash a server.
        """
        is_last = choice.call.stage == req.pipeline.stages[-1].name
        if choice.call.is_exclusive and is_last:
            self._router.suspects.record_success(req.fingerprint, self._clock())

    def new_call(
        self,
        req: model.Request,
        path: str,
        body: dict[str, Any],
        idempotency_key: str = "",
    ) -> backends.StageCall:
        """Returns a stage call with a unique attempt ID.

        Raises:
            RunError: The deadline has passed.
        """
        now = self._clock()
        if now >= req.deadline_at:
            raise exceptions.RunError(
                "deadline",
                504,
                f"the deadline of request {req.request_id} has passed",
                "retry with a longer deadline or a smaller request",
                attempts.run_state(req),
            )
        return backends.StageCall(
            f"{req.request_id}-{next(self._attempt_numbers)}-{secrets.token_hex(4)}",
            req.request_id,
            path,
            body,
            req.deadline_at - now,
            bodies.PRIORITIES[req.rank],
            idempotency_key,
            req.before_send,
        )

    def start_stream(
        self,
        req: model.Request,
        choice: routing.Choice,
        body: dict[str, Any],
    ) -> backends.EngineStream:
        """Opens an engine's stream for an attempt.

        Raises:
            BackendError: The engine did not start the stream.
            RunError: The deadline has passed.
        """
        outcome = routing.Outcome.CANCELLED
        try:
            call = self.new_call(req, "/v1/chat/completions", body)
            stream = self._client.open_stream(choice.server, call)
            outcome = None
        except backends.BackendError as exc:
            outcome = self.outcome_of(exc)
            raise
        finally:
            # If the caller disconnects while the engine queues the call, the
            # call must not remain counted as in flight.
            if outcome is not None:
                self.observe(choice, outcome, -1)
        self._router.update_load(choice, stream.load, self._clock())
        if stream.is_leaving:
            self._mark_leaving(choice)
        return stream

    def _mark_leaving(self, choice: routing.Choice) -> None:
        self._router.mark_leaving(
            choice.server.name, self._clock(), choice.server.address
        )

    def observe(
        self, choice: routing.Choice, outcome: routing.Outcome, load: int
    ) -> None:
        """Reports the outcome of a call to the router."""
        self._router.observe(choice, outcome, load, self._clock())

    def clock(self) -> float:
        """Returns the monotonic time in seconds."""
        return self._clock()

    @staticmethod
    def outcome_of(exc: backends.BackendError) -> routing.Outcome:
        """Returns the outcome of a failed call."""
        if exc.is_crash:
            return routing.Outcome.CRASHED
        if isinstance(exc, backends.CallRefusedError):
            if exc.has_sent:
                return routing.Outcome.REFUSED
            return routing.Outcome.UNREACHABLE
        return routing.Outcome.FAILED


def new_runner(
    current_sheet: Callable[[], sheet.Sheet],
    scheduler: scheduling.Scheduler,
    router: routing.Router,
    client: backends.Client,
    clock: Callable[[], float],
) -> Runner:
    """Returns a runner that uses the given components."""
    return Runner(current_sheet, scheduler, router, client, clock)
