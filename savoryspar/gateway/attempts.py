"""Chooses backend servers for a request and decides on retries.

Any request is retried on another server if it certainly has not run: the answer
states so, or no connection was made. After any other failure, only requests
that may run twice according to their route are retried.
"""

from collections.abc import Iterator, Sequence
import contextlib
import functools
import hashlib

import eventlet

from savoryspar import backends, blame, log, ratelimits, routing
from savoryspar.gateway import blaming, model, placing

MAX_REFUSALS = 3
"""Retries after refusals; the next refusal is reported to the caller."""
FINGERPRINT_BYTES = 16
PATIENCE_SHARE = 0.5
"""Share of the time until the deadline that a request may wait for a permit of
a server that names a rate limit, or to run alone."""
MAX_TRIAL_WAIT_S = 3.0
"""Longest time that a suspect waits until it may run alone."""
TRIAL_POLL_S = 0.05
"""Interval at which a suspect asks whether it may run alone; what other trials
show may decide on it first."""
TRIAL_RETRY_S = 1.0
"""Time after which a caller may retry whose request waited in vain."""
EXPIRED_RETRY_S = 0.2
"""Time after which a request may be sent again whose deadline has passed: it
needs a later deadline, not a free server."""


class Attempts:
    """Chooses the servers for one request and limits its retries."""

    __slots__ = (
        "_blame",
        "_blocks",
        "_clock",
        "_events",
        "_excluded",
        "_in_question",
        "_job",
        "_placer",
        "_refused",
        "_router",
        "_work",
    )

    def __init__(
        self,
        job: model.Job,
        router: routing.Router,
        placer: placing.Placer,
        crash_blame: blaming.FleetBlame,
        events: log.EventLog,
        clock: model.Clock,
    ):
        self._job = job
        self._router = router
        self._placer = placer
        self._blame = crash_blame
        self._events = events
        self._clock = clock
        # Parts that a crash of the last server would leave in question; None
        # if the request did not run alone there.
        self._in_question: frozenset[str] | None = None
        self._work = blame.new_work(
            job.fingerprint,
            job.workspace,
            job.pool,
            job.req.model,
            (part.identifier for part in job.req.prompt_parts[:-1]),
        )
        self._excluded: frozenset[str] = frozenset()
        self._refused = 0
        self._blocks = prompt_blocks(job.req)

    def preferred_zone(self, now: float) -> str:
        """Returns the zone that placement would choose at ``now``."""
        return self._placer.preferred_zone(self._new_call(), now)

    @property
    def shared_prefill_s(self) -> float:
        """Time to prefill the shared prefix of the prompt, in seconds."""
        tokens = len(self._blocks) * routing.BLOCK_TOKENS
        return tokens / self._router.prefill_rates.tokens_per_s(self._job.pool)

    def choose(self, now: float, zone: str = "") -> placing.Placement:
        """Chooses a server.

        Args:
            now: Monotonic time in seconds.
            zone: Preferred zone, empty for any.

        Raises:
            GatewayError: No server is available, the request is blocked
                because it crashed servers, its deadline has passed, or this
                process ends too soon.
        """
        job = self._job
        self._check_deadline(now)
        with _refusing(job):
            placement = self._place_as_assessed(zone, now)
        self._check_stop(placement)
        self._events.decision(
            "server chosen",
            now,
            job.req.attempt_id,
            server=placement.server.name,
            pool=job.pool,
            zone=placement.server.zone,
            near=zone,
            prefix=f"{self._blocks[0]:x}" if self._blocks else "",
            shared_tokens=len(self._blocks) * routing.BLOCK_TOKENS,
            placer=placement.placer,
            reason=placement.reason,
            tried=len(self._excluded),
            version=job.version,
            left_s=round(job.left_s(now), 3),
        )
        return placement

    def preview(self, now: float, zone: str = "") -> placing.Preview:
        """Returns what ``choose`` would choose for a first attempt.

        No state changes, and nothing waits: what a wait would bring is not
        known.

        Args:
            now: Monotonic time in seconds.
            zone: Preferred zone, empty for any.

        Raises:
            GatewayError: ``choose`` would raise it.
        """
        found, avoided = self.preview_assessment(now)
        if found.verdict is not blame.Verdict.CLEAR:
            return placing.Preview(
                None, "a part is suspected of crashes: the request runs alone"
            )
        call = self._new_call(avoided)
        with _refusing(self._job):
            try:
                return self._placer.preview(call, zone, now)
            except routing.NoServerError:
                limited = self._router.limited(
                    call.pool, avoided, now, call.home_regions, is_preview=True
                )
                if not limited:
                    raise
                return self._preview_limited(limited, avoided, now)

    def _preview_limited(
        self,
        limited: Sequence[backends.Server],
        avoided: frozenset[str],
        now: float,
    ) -> placing.Preview:
        """Returns the choice among servers without a free permit.

        Raises:
            LimitReachedError: No permit is free in time.
        """
        limiter = self._router.limiter
        if any(not limiter.is_bound(server.key) for server in limited):
            call = self._new_call(avoided)
            call.ignores_pace = True
            server, _ = self._router.preview(call, now)
            return placing.Preview(server, "beyond the pace of its slow start")
        server = limited[0]
        wait_s = limiter.preview_wait_s(server.key, now)
        if wait_s > self._permit_patience_s(now):
            raise ratelimits.LimitReachedError(
                f"the rate limit of server {server.name} is reached",
                wait_s,
                wait_s,
                now,
            )
        return placing.Preview(server, "waits for a permit", wait_s=wait_s)

    def preview_assessment(
        self, now: float
    ) -> tuple[blame.Finding, frozenset[str]]:
        """Returns what is known of the request, and the servers to avoid.

        Raises:
            GatewayError: As ``check`` does, but nothing is counted.
        """
        self._check_home(now, is_preview=True)
        found, avoided = self._blame.preview_servers(
            self._work, self._job.pool, now, self._job.home_regions
        )
        if found.verdict is blame.Verdict.BLOCKED:
            raise self._blame.blocked_error(found, now)
        return found, avoided

    def zone_costs(self, now: float) -> list[tuple[str, float, float | None]]:
        """Returns the zones with their costs; see ``FleetPlacer``."""
        return self._placer.zone_costs(self._new_call(), now)

    def _check_stop(self, placement: placing.Placement) -> None:
        """Checks that this process does not end before the request.

        A request that waited for a server when the stop began is not passed on
        late in the grace period.

        Raises:
            GatewayError: It may.
        """
        now = self._clock()
        try:
            self._job.check_stop(self._job, now)
        except model.GatewayError:
            placement.finish(routing.Outcome.CANCELLED, None, now)
            raise

    def check(self, now: float) -> None:
        """Checks that the request may be sent to a server.

        Raises:
            GatewayError: It is known to crash servers, there is no server in
                its home regions, or its deadline has passed.
        """
        self._assess(now)
        self._check_deadline(now)

    def _check_deadline(self, now: float) -> None:
        """Checks that there is time left to send the request.

        Raises:
            GatewayError: There is none.
        """
        if self._job.left_s(now) <= 0.0:
            raise model.refusal(
                "deadline_passed",
                "the deadline passed before a server could be chosen",
                EXPIRED_RETRY_S,
            )

    def _check_home(self, now: float, is_preview: bool = False) -> None:
        """Checks that there is a server in the home regions of the request.

        Raises:
            GatewayError: There is none. The request is refused before its
                stages run, and does not wait to run alone.
        """
        job = self._job
        if job.home_regions is not None and not self._router.has_server(
            job.pool, job.home_regions, now, is_preview
        ):
            raise model.home_refusal(
                job, job.pool, "none is listed, or all are leaving"
            )

    def _assess(self, now: float) -> tuple[blame.Finding, frozenset[str]]:
        """Returns what is known of the request, and the servers to avoid.

        Raises:
            GatewayError: The request crashes servers, or there is no server
                in its home regions.
        """
        self._check_home(now)
        found, avoided = self._blame.find_servers(
            self._work, self._job.pool, now, self._job.home_regions
        )
        if found.verdict is blame.Verdict.BLOCKED:
            raise self._blame.refusal(found, now)
        return found, avoided

    def _place_as_assessed(self, zone: str, now: float) -> placing.Placement:
        """Chooses a server; a suspect waits until it may run alone.

        Raises:
            GatewayError: The request crashes servers, or other suspects run.
            NoServerError: No server can accept the call.
            LimitReachedError: All servers are at their rate limit.
        """
        until = now + min(
            MAX_TRIAL_WAIT_S, PATIENCE_SHARE * self._job.left_s(now)
        )
        while True:
            found, avoided = self._assess(now)
            self._in_question = None
            if found.verdict is blame.Verdict.CLEAR:
                return self._place(zone, avoided, self._clock())
            call = self._new_call(avoided)
            crashed = {report.server for report in found.reports}
            placement = self._blame.trials.begin(call, crashed, self._clock())
            if placement is not None:
                self._in_question = found.parts
                return self._with_permit(placement)
            if now >= until:
                raise model.refusal(
                    "trial_wait",
                    "a part of the prompt may crash servers, and other requests"
                    " are tried first",
                    TRIAL_RETRY_S,
                )
            eventlet.sleep(TRIAL_POLL_S)
            now = self._clock()

    def _with_permit(self, placement: placing.Placement) -> placing.Placement:
        """Adds a permit to the placement of a call that ignores slow starts.

        Raises:
            LimitReachedError: The server is at its rate limit.
        """
        try:
            placement.permit = self._router.limiter.acquire(
                placement.server.key,
                self._permit_request(0.0, ignores_pace=True),
                self._clock(),
            )
        except ratelimits.LimitReachedError as exc:
            placement.finish(routing.Outcome.CANCELLED, None, exc.decided_at)
            raise
        return placement

    def _place(
        self, zone: str, avoided: frozenset[str], now: float
    ) -> placing.Placement:
        """Chooses a server with a permit; waits for one if there is no other.

        Raises:
            NoServerError: No server can accept the call.
            LimitReachedError: All servers are at their rate limit.
        """
        limiter = self._router.limiter
        call = self._new_call(avoided)
        while True:
            try:
                placement = self._placer.place(call, zone, now)
            except routing.NoServerError:
                limited = self._router.limited(
                    self._job.pool,
                    self._excluded | avoided,
                    now,
                    self._job.home_regions,
                )
                if not limited:
                    raise
                if any(not limiter.is_bound(server.key) for server in limited):
                    return self._place_beyond_pace(avoided, now)
                return self._place_with_wait(limited[0], now)
            try:
                placement.permit = limiter.acquire(
                    placement.server.key, self._permit_request(0.0), now
                )
            except ratelimits.LimitReachedError as exc:
                now = exc.decided_at
                placement.finish(routing.Outcome.CANCELLED, None, now)
                call.excluded |= {placement.server.name}
                if limiter.is_starting(placement.server.key):
                    # Many servers may start at once. To ask for one after the
                    # other would delay the request, so the others take it.
                    call.excluded |= {
                        server.name
                        for server in self._router.limited(
                            self._job.pool, call.excluded, now
                        )
                    }
            else:
                return placement

    def _place_beyond_pace(
        self, avoided: frozenset[str], now: float
    ) -> placing.Placement:
        """Places the request on a server in its slow start.

        No other server of the pool may take it, so the slow start does not
        hold. The servers share such requests by their load.

        Raises:
            NoServerError: No server accepts the call.
            LimitReachedError: The server is at its rate limit.
        """
        call = self._new_call(avoided)
        call.ignores_pace = True
        placement = placing.place_locally(self._router, call, now)
        return self._with_permit(placement)

    def _place_with_wait(
        self, server: backends.Server, now: float
    ) -> placing.Placement:
        """Waits for a permit of a server, and reserves the server.

        Raises:
            NoServerError: The server does not accept the call any more.
            LimitReachedError: No permit is free in time.
        """
        permit = self._router.limiter.acquire(
            server.key,
            self._permit_request(
                self._permit_patience_s(now), ignores_pace=True
            ),
            now,
        )
        call = self._new_call()
        call.server = server.name
        placement = placing.place_locally(self._router, call, permit.granted_at)
        placement.permit = permit
        return placement

    def _permit_patience_s(self, now: float) -> float:
        """Returns how long the request may wait for a permit, in seconds."""
        patience_s = PATIENCE_SHARE * self._job.left_s(now)
        return max(0.0, min(ratelimits.MAX_PATIENCE_S, patience_s))

    def _permit_request(
        self, patience_s: float, ignores_pace: bool = False
    ) -> ratelimits.PermitRequest:
        job = self._job
        return ratelimits.PermitRequest(
            job.rank, job.workspace, job.fingerprint, patience_s, ignores_pace
        )

    def _new_call(self, avoided: frozenset[str] = frozenset()) -> routing.Call:
        job = self._job
        return routing.Call(
            job.req.attempt_id,
            job.workspace,
            str(job.rank),
            job.route.name,
            job.pool,
            job.req.model,
            "",
            self._excluded | avoided,
            is_idempotent=job.route.may_repeat,
            blocks=self._blocks,
            prompt_tokens=job.req.prompt_tokens,
            home_regions=job.home_regions,
        )

    def record_send(self) -> None:
        """Counts a send after which the request may have run."""
        self._job.sends += 1

    def acquire_retry(
        self,
        placement: placing.Placement,
        has_not_run: bool,
        cause: str,
        now: float,
    ) -> bool:
        """Spends retry budget if another server may be tried.

        Args:
            placement: The server that failed.
            has_not_run: Whether the request certainly did not run there.
            cause: Reason of the failure, for the log.
            now: Monotonic time in seconds.

        Returns:
            Whether to retry on another server.
        """
        job = self._job
        self._excluded |= {placement.server.name}
        if has_not_run:
            self._refused += 1
            is_allowed = self._refused <= MAX_REFUSALS
        else:
            is_allowed = job.route.may_repeat and job.sends < job.route.attempts
        is_allowed = is_allowed and job.left_s(now) > 0.0
        has_budget = self._router.may_retry(job.pool, now)
        self._events.failure(
            "another server" if is_allowed and has_budget else "no more tries",
            now,
            job.req.attempt_id,
            server=placement.server.name,
            has_not_run=has_not_run,
            is_allowed=is_allowed,
            has_budget=has_budget,
            sends=job.sends,
            left_s=round(job.left_s(now), 3),
            cause=cause,
        )
        if is_allowed and has_budget:
            self._router.spend_retry(job.pool, now)
        return is_allowed and has_budget

    def report_crash(self, placement: placing.Placement, now: float) -> None:
        """Records that a server crashed while it ran the request."""
        job = self._job
        answer_started_at = placement.answer_started_at
        self._events.failure(
            "server crashed",
            now,
            job.req.attempt_id,
            server=placement.server.name,
            version=placement.server.version,
            pool=job.pool,
            model=job.req.model,
            parts=[part.identifier for part in job.req.prompt_parts[:-1]],
            fingerprint=job.fingerprint,
            answered_s=None
            if answer_started_at is None
            else round(now - answer_started_at, 3),
        )
        self._blame.report_crash(
            self._work,
            placement.server.name,
            placement.server.version,
            self._in_question,
            now,
        )

    def report_success(self, placement: placing.Placement, now: float) -> None:
        """Clears the request and its parts of earlier crashes."""
        self._blame.report_sound(self._work, placement.server.version, now)


@contextlib.contextmanager
def _refusing(job: model.Job) -> Iterator[None]:
    """Turns the lack of a server or of a permit into a refusal.

    Raises:
        GatewayError: There is none.
    """
    try:
        yield
    except routing.NoServerError as exc:
        retry_after_s = max(0.2, exc.retry_after_s)
        if job.home_regions is not None:
            raise model.home_refusal(
                job, job.pool, str(exc), retry_after_s
            ) from exc
        raise model.refusal("no_server", str(exc), retry_after_s) from exc
    except ratelimits.LimitReachedError as exc:
        raise model.refusal(
            "server_limit", str(exc), max(0.2, exc.retry_after_s)
        ) from exc


@functools.singledispatch
def refused_outcome(exc: backends.CallRefusedError) -> routing.Outcome:
    """Returns the outcome of a call that was not sent."""
    del exc
    return routing.Outcome.UNREACHABLE


@refused_outcome.register
def _(exc: backends.CallExpiredError) -> routing.Outcome:
    # The server had no time to accept the connection.
    del exc
    return routing.Outcome.CANCELLED


@refused_outcome.register
def _(exc: backends.RateLimitedError) -> routing.Outcome:
    del exc
    return routing.Outcome.CANCELLED


@refused_outcome.register
def _(exc: backends.ServerForbiddenError) -> routing.Outcome:
    # The evacuation of its zone is no failure of the server.
    del exc
    return routing.Outcome.CANCELLED


@functools.singledispatch
def unknown_outcome(
    exc: backends.CallOutcomeUnknownError,
    job: model.Job,
    sent_at: float,
    now: float,
) -> routing.Outcome:
    """Returns the outcome of a call whose answer was lost.

    A server that was given less time than the latency objective of the route
    is not judged by a timeout: callers choose their deadlines.

    Args:
        exc: Why there is no answer.
        job: The request.
        sent_at: When the server was chosen, or its last event arrived;
            monotonic seconds.
        now: Monotonic time in seconds.
    """
    if exc.is_crash:
        return routing.Outcome.CRASHED
    is_timeout = exc.end == backends.End.TIMEOUT
    if is_timeout and now - sent_at < job.route.objective_s:
        return routing.Outcome.CANCELLED
    return routing.Outcome.FAILED


@unknown_outcome.register
def _(
    exc: backends.UnattributedAnswerError,
    job: model.Job,
    sent_at: float,
    now: float,
) -> routing.Outcome:
    # A late copy of another answer is no failure of the server.
    del exc, job, sent_at, now
    return routing.Outcome.CANCELLED


def prompt_blocks(req: backends.CallerRequest) -> tuple[int, ...]:
    """Returns the hashes of the blocks of the shared prompt prefix.

    The hash of a block covers all parts before it. The last part is left out:
    it is specific to the request or its session, so only later requests of the
    session could reuse it.
    """
    blocks = []
    digest = req.model.encode()
    for part in req.prompt_parts[:-1]:
        remaining = routing.MAX_BLOCKS - len(blocks)
        if not remaining:
            break
        digest = hashlib.blake2b(
            digest + part.identifier.encode(), digest_size=8
        ).digest()
        number = int.from_bytes(digest, "big")
        count = max(1, round(part.tokens / routing.BLOCK_TOKENS))
        blocks += [number ^ index for index in range(min(count, remaining))]
    return tuple(blocks)


def fingerprint(workspace: str, req: backends.CallerRequest) -> str:
    """Returns a digest that is equal for requests with the same work.

    It covers the workspace, method, target and body.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(req.method.encode() + b" " + req.target.encode() + b"\n")
    digest.update(req.body)
    return f"{workspace or '-'}/{digest.hexdigest()}"
