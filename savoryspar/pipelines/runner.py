"""Runs stages one after another."""

from collections.abc import Callable
import itertools
import secrets
from typing import Any

from savoryspar import backends, routing, scheduling, sheet
from savoryspar.pipelines import bodies, exceptions, model, streaming

MAX_ATTEMPTS = 3


class Runner:
    """Runs requests through the scheduler, the router and the client.

    Attributes:
        sheet: Returns the sheet in force.
    """

    __slots__ = (
        "_attempts",
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
        self._attempts = itertools.count(1)

    def run(self, req: model.Request) -> dict[str, Any]:
        """Runs every stage and returns the output of the last one.

        Raises:
            RunError: The request got no whole answer.
        """
        for stage in req.pipeline.stages:
            req.outputs[stage.name] = self._run_stage(req, stage)
        return req.outputs[req.pipeline.stages[-1].name]

    def stream(self, req: model.Request) -> streaming.AnswerStream:
        """Runs all stages but the last and opens the stream of the last.

        Raises:
            RunError: The stream could not be opened.
        """
        for stage in req.pipeline.stages[:-1]:
            req.outputs[stage.name] = self._run_stage(req, stage)
        return self.open_stream(req, req.pipeline.stages[-1])

    def open_stream(
        self, req: model.Request, stage: sheet.Stage
    ) -> streaming.AnswerStream:
        """Opens a generation and returns its answer stream."""
        return streaming.AnswerStream(self, req, stage)

    def _run_stage(
        self, req: model.Request, stage: sheet.Stage
    ) -> dict[str, Any]:
        if self.sheet().pools[stage.pool].kind == "engine":
            stream = self.open_stream(req, stage)
            return {"text": stream.read_text(), "tokens": stream.tokens}
        return self._call_stage(req, stage)

    def _call_stage(
        self, req: model.Request, stage: sheet.Stage
    ) -> dict[str, Any]:
        pool = self.sheet().pools[stage.pool]
        excluded: frozenset[str] = frozenset()
        for attempt in itertools.count(1):
            grant = self.admit(req, stage, pool.cost)
            try:
                choice = self.choose(req, stage, excluded)
                try:
                    return self._call_once(req, stage, choice)
                except backends.BackendError as exc:
                    can_retry = pool.idempotent or not exc.has_sent
                    if not can_retry or attempt >= MAX_ATTEMPTS:
                        raise self.failure(req, exc) from exc
                    excluded |= {choice.server.name}
            finally:
                grant.release(self._clock())
        raise AssertionError("unreachable")

    def _call_once(
        self, req: model.Request, stage: sheet.Stage, choice: routing.Choice
    ) -> dict[str, Any]:
        supports = self.sheet().pools[stage.pool].supports
        key = req.idempotency_key if "idempotency-key" in supports else ""
        body = bodies.run_body(req, stage)
        call = self.new_call(req, "/v1/run", body, key)
        outcome = routing.Outcome.CANCELLED
        load = -1
        try:
            result = self._client.call(choice.server, call)
            outcome, load = routing.Outcome.OK, result.load
            if result.is_leaving:
                self._router.mark_leaving(choice.server.name, self._clock())
        except backends.BackendError as exc:
            outcome = self.outcome_of(exc)
            raise
        finally:
            self._router.observe(choice, outcome, load, self._clock())
        return result.output

    def admit(
        self, req: model.Request, stage: sheet.Stage, cost: float
    ) -> scheduling.Grant:
        """Waits for a slot; raises ``RunError`` when none comes in time."""
        job = scheduling.Job(
            req.request_id,
            req.workspace.name,
            req.workspace.share,
            req.rank,
            stage.pool,
            cost,
            req.deadline_at,
        )
        try:
            return self._scheduler.acquire(job, self._clock())
        except scheduling.AdmissionError as exc:
            raise exceptions.RunError(
                "overloaded",
                503,
                exc.message,
                exc.remedy,
                self.run_state(req),
                exc.retry_after_s,
            ) from exc

    def choose(
        self, req: model.Request, stage: sheet.Stage, excluded: frozenset[str]
    ) -> routing.Choice:
        """Chooses a backend server; raises ``RunError`` when none is left."""
        call = routing.Call(
            req.request_id,
            req.workspace.name,
            req.rank,
            stage.name,
            stage.pool,
            stage.model,
            "",
            excluded,
        )
        try:
            return self._router.choose(call, self._clock())
        except routing.NoServerError as exc:
            raise exceptions.RunError(
                "no_backend_server",
                503,
                exc.message,
                exc.remedy,
                self.run_state(req),
                exc.retry_after_s,
            ) from exc

    def new_call(
        self,
        req: model.Request,
        path: str,
        body: dict[str, Any],
        idempotency_key: str = "",
    ) -> backends.StageCall:
        """Returns an attempt with an ID of its own."""
        now = self._clock()
        if now >= req.deadline_at:
            raise exceptions.RunError(
                "deadline",
                504,
                f"the deadline of request {req.request_id} has passed",
                "ask again, or ask for less",
                self.run_state(req),
            )
        return backends.StageCall(
            f"{req.request_id}-{next(self._attempts)}-{secrets.token_hex(4)}",
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
        """Opens the engine's stream for an attempt."""
        call = self.new_call(req, "/v1/chat/completions", body)
        try:
            stream = self._client.open_stream(choice.server, call)
        except backends.BackendError as exc:
            self.observe(choice, self.outcome_of(exc), -1)
            raise
        if stream.is_leaving:
            self._router.mark_leaving(choice.server.name, self._clock())
        return stream

    def observe(
        self, choice: routing.Choice, outcome: routing.Outcome, load: int
    ) -> None:
        """Tells the router how a call ended."""
        self._router.observe(choice, outcome, load, self._clock())

    def clock(self) -> float:
        """Returns the monotonic time in seconds."""
        return self._clock()

    @staticmethod
    def outcome_of(exc: backends.BackendError) -> routing.Outcome:
        """Returns how a failed call ended."""
        if exc.is_crash:
            return routing.Outcome.CRASHED
        if isinstance(exc, backends.CallRefusedError):
            return routing.Outcome.REFUSED
        return routing.Outcome.FAILED

    @staticmethod
    def run_state(req: model.Request) -> exceptions.RunState:
        """Returns what is known of a request that has no answer yet."""
        if req.has_sent:
            return exceptions.RunState.UNKNOWN
        return exceptions.RunState.NOT_RUN

    def failure(
        self, req: model.Request, exc: backends.BackendError
    ) -> exceptions.RunError:
        """Returns the error for the caller."""
        return exceptions.RunError(
            "backend_failed",
            502,
            exc.message,
            exc.remedy,
            self.run_state(req),
            1.0,
        )


def new_runner(
    current_sheet: Callable[[], sheet.Sheet],
    scheduler: scheduling.Scheduler,
    router: routing.Router,
    client: backends.Client,
    clock: Callable[[], float],
) -> Runner:
    """Returns a runner that uses the given parts."""
    return Runner(current_sheet, scheduler, router, client, clock)
