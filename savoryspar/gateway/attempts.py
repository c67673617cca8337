"""Chooses backend servers for a request and decides whether to try again.

Only what the route allows is repeated. An answer that says that the request
has not run, or a connection that was never made, lets any request go on at
another server; anything else only one that may run twice.
"""

import hashlib

from savoryspar import backends, log, routing
from savoryspar.gateway import model

MAX_REFUSALS = 3
"""Servers that may refuse a request before the caller is told to come back."""
TOKENS_A_BLOCK = 512
"""Granularity of prefix affinity, in tokens."""
FINGERPRINT_BYTES = 16


class Attempts:
    """The servers tried for one request."""

    __slots__ = ("_blocks", "_events", "_excluded", "_job", "_refused", "_router")

    def __init__(
        self,
        job: model.Job,
        router: routing.Router,
        events: log.EventLog,
    ):
        self._job = job
        self._router = router
        self._events = events
        self._excluded: frozenset[str] = frozenset()
        self._refused = 0
        self._blocks = prompt_blocks(job.req)

    def choose(self, now: float) -> routing.Choice:
        """Chooses a server.

        Raises:
            GatewayError: No server can take the request; it has not run.
        """
        job = self._job
        verdict = self._router.suspects.check(job.fingerprint, now)
        if verdict is routing.Verdict.BLOCKED:
            raise model.GatewayError(
                "503 Service Unavailable",
                "crashes_servers",
                "the request crashed the backend servers that ran it",
                "change the request before it is sent again",
            )
        call = routing.Call(
            job.req.attempt_id,
            job.workspace,
            str(job.rank),
            job.route.name,
            job.pool,
            job.req.model,
            "",
            self._excluded,
            is_idempotent=job.route.may_repeat,
            blocks=self._blocks,
        )
        try:
            choice = self._router.choose(call, now)
        except routing.NoServerError as exc:
            raise model.refusal(
                "no_server", str(exc), max(0.2, exc.retry_after_s)
            ) from exc
        self._events.decision(
            "server chosen",
            now,
            job.req.attempt_id,
            server=choice.server.name,
            pool=job.pool,
            zone=choice.server.zone,
            tried=len(self._excluded),
            in_flight=choice.state.in_flight,
            load=round(choice.state.load(now), 1),
            version=job.version,
            left_s=round(job.left_s(now), 3),
        )
        return choice

    def note_sent(self) -> None:
        """Counts a server that may run the request."""
        self._job.sends += 1

    def may_go_on(
        self,
        choice: routing.Choice,
        has_not_run: bool,
        cause: str,
        now: float,
    ) -> bool:
        """Tells whether another server may be tried, and takes the budget.

        Args:
            choice: The server that failed.
            has_not_run: Whether the request certainly did not run there.
            cause: Why it failed.
            now: Monotonic time in seconds.
        """
        job = self._job
        self._excluded |= {choice.server.name}
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
            server=choice.server.name,
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

    def note_crash(self, choice: routing.Choice, now: float) -> None:
        """Remembers that a server's connection died under the request."""
        self._router.suspects.record_crash(
            self._job.fingerprint, choice.server.name, now, was_alone=True
        )


def prompt_blocks(req: backends.CallerRequest) -> tuple[int, ...]:
    """Returns hashes of the shared beginning of a prompt, by blocks.

    The hash of a block covers all parts before it. The last part belongs to
    the request or its session, and so is only of use to its successors.
    """
    blocks = []
    digest = req.model.encode()
    for part in req.prompt_parts[:-1]:
        digest = hashlib.blake2b(
            digest + part.identifier.encode(), digest_size=8
        ).digest()
        number = int.from_bytes(digest, "big")
        count = max(1, round(part.tokens / TOKENS_A_BLOCK))
        blocks += [number ^ index for index in range(count)]
    return tuple(blocks[: routing.MAX_BLOCKS])


def fingerprint(workspace: str, req: backends.CallerRequest) -> str:
    """Returns what is the same for requests that run the same work."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(req.method.encode() + b" " + req.target.encode() + b"\n")
    digest.update(req.body)
    return f"{workspace or '-'}/{digest.hexdigest()}"
