"""Chooses servers for the attempts of a stage and decides on retries."""

from collections.abc import Callable

import eventlet

from savoryspar import backends, log, routing, sheet
from savoryspar.pipelines import bodies, exceptions, model

MAX_ATTEMPTS = 3
BYTES_PER_TOKEN = 200
"""Size of one streamed event, to estimate the size of an answer."""
_logger = log.new_logger("pipelines")


class Attempts:
    """The attempts of one stage of one request.

    Attributes:
        excluded: Names of servers at which an attempt of this stage failed.
    """

    __slots__ = (
        "_attempt_count",
        "_clock",
        "_is_idempotent",
        "_prompt",
        "_req",
        "_router",
        "_size_bytes",
        "_stage",
        "excluded",
    )

    def __init__(
        self,
        router: routing.Router,
        clock: Callable[[], float],
        req: model.Request,
        stage: sheet.Stage,
        pool: sheet.Pool,
    ):
        self._router = router
        self._clock = clock
        self._req = req
        self._stage = stage
        self._is_idempotent = pool.idempotent
        self._attempt_count = 0
        self.excluded: frozenset[str] = frozenset()
        self._prompt = ""
        if pool.kind == "engine":
            self._prompt = bodies.prompt_text(bodies.engine_messages(req))
            max_tokens = req.body.get("max_tokens", bodies.DEFAULT_MAX_TOKENS)
            self._size_bytes = len(self._prompt) + BYTES_PER_TOKEN * max_tokens
        else:
            self._size_bytes = len(str(req.body)) + len(str(req.outputs))

    def choose(self) -> routing.Choice:
        """Chooses a server for the next attempt.

        A suspect request waits until a server without other calls is free.

        Raises:
            RunError: No server can accept the attempt before the deadline.
        """
        req = self._req
        while True:
            now = self._clock()
            # During the wait, a peer may have reported a second crash, or an
            # equal request may have run alone without a crash.
            check_fingerprint(self._router, req, now)
            try:
                choice = self._router.choose(self._new_call(), now)
            except routing.NoServerError as exc:
                retry_at = now + exc.retry_after_s
                if not exc.is_busy or retry_at >= req.deadline_at:
                    raise no_server_error(req, exc) from exc
                eventlet.sleep(exc.retry_after_s)
                continue
            self._attempt_count += 1
            return choice

    def _new_call(self) -> routing.Call:
        req, stage = self._req, self._stage
        return routing.Call(
            req.request_id,
            req.workspace.name,
            req.rank,
            stage.name,
            stage.pool,
            stage.model,
            self._prompt,
            self.excluded,
            self._size_bytes,
            self._is_idempotent,
            req.is_suspect,
        )

    def prepare_retry(
        self, choice: routing.Choice, exc: backends.BackendError
    ) -> None:
        """Prepares the next attempt after a failed one.

        Raises:
            RunError: There is no next attempt.
        """
        self.excluded |= {choice.server.name}
        if exc.is_crash:
            record_crash(self._router, self._req, choice, self._clock())
        if not self._is_idempotent and exc.has_sent:
            raise backend_failed_error(self._req, exc)
        if self._attempt_count >= MAX_ATTEMPTS:
            raise backend_failed_error(self._req, exc)
        if exc.has_sent:
            self._spend_retry(exc)
        self._log_next_attempt("Retry", choice, exc)

    def prepare_resume(
        self, choice: routing.Choice, exc: backends.BackendError
    ) -> None:
        """Prepares the resumption of a stream that relayed tokens.

        A resumption continues the work instead of repeating it, so it does not
        count against the retry budget.

        Raises:
            RunError: There is no next attempt.
        """
        self.excluded |= {choice.server.name}
        if exc.is_crash:
            record_crash(self._router, self._req, choice, self._clock())
        if not self._is_idempotent or self._attempt_count >= MAX_ATTEMPTS:
            raise backend_failed_error(self._req, exc)
        self._log_next_attempt("Resume", choice, exc)

    def _log_next_attempt(
        self, event: str, choice: routing.Choice, exc: backends.BackendError
    ) -> None:
        _logger.info(
            f"{event}. request={self._req.request_id}"
            f" stage={self._stage.name} server={choice.server.name}"
            f" attempt={self._attempt_count} reason={exc.message}"
        )

    def _spend_retry(self, exc: backends.BackendError) -> None:
        now = self._clock()
        if not self._router.may_retry(self._stage.pool, now):
            raise backend_failed_error(
                self._req, exc, "; the retry budget of the pool is exhausted"
            )
        self._router.spend_retry(self._stage.pool, now)


def check_fingerprint(
    router: routing.Router, req: model.Request, now: float
) -> None:
    """Rejects a blocked request and updates its suspect status.

    Raises:
        RunError: The request crashed two backend servers.
    """
    verdict = router.suspects.check(req.fingerprint, now)
    if verdict is routing.Verdict.BLOCKED:
        raise refused_fingerprint_error(req)
    req.is_suspect = verdict is routing.Verdict.SUSPECT


def record_crash(
    router: routing.Router,
    req: model.Request,
    choice: routing.Choice,
    now: float,
) -> None:
    """Records that the request crashed a server, which makes it a suspect.

    Raises:
        RunError: The request is now blocked.
    """
    router.suspects.record_crash(
        req.fingerprint, choice.server.name, now, choice.was_exclusive
    )
    check_fingerprint(router, req, now)


def run_state(req: model.Request) -> exceptions.RunState:
    """Returns the run state of a request without an answer."""
    if req.has_sent:
        return exceptions.RunState.UNKNOWN
    return exceptions.RunState.NOT_RUN


def refused_fingerprint_error(req: model.Request) -> exceptions.RunError:
    """Returns the error for a blocked request."""
    return exceptions.RunError(
        "refused_fingerprint",
        422,
        f"request {req.request_id} equals a request that crashed two backend"
        f" servers (fingerprint {req.fingerprint})",
        "change the request; operators see docs/howto/poisonous-request.md",
        # An equal request ran before, which may have been an earlier attempt
        # of this one.
        exceptions.RunState.UNKNOWN,
    )


def backend_failed_error(
    req: model.Request, exc: backends.BackendError, reason: str = ""
) -> exceptions.RunError:
    """Returns the error for the caller after the last failed attempt."""
    return exceptions.RunError(
        "backend_failed",
        502,
        exc.message + reason,
        exc.remedy,
        run_state(req),
        1.0,
    )


def no_server_error(
    req: model.Request, exc: routing.NoServerError
) -> exceptions.RunError:
    """Returns the error for the caller when no server is available."""
    return exceptions.RunError(
        "no_backend_server",
        503,
        exc.message,
        exc.remedy,
        run_state(req),
        exc.retry_after_s,
    )
