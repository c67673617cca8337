"""Grants permits for requests to one server within its rate limit.

The VM that owns a server's limit keeps a token bucket for it. Every request of
the fleet to the server needs a permit from this bucket. A claim that cannot be
granted before it expires is denied immediately. The others wait, and the most
urgent rank goes first; within a rank, the workspace that was granted the least
lately; then callers that return at the time they were told.

A new allocator has no tokens. When the ownership of a limit moves, because the
owner died or a VM joined, both owners together therefore grant at most one
burst more than the limit allows.
"""

import collections
from collections.abc import Callable
import itertools
import math

MIN_RATE_PER_S = 0.25
"""Rate at which a server that accepts nothing still gets requests; without an
answer, nobody would learn that its limit has ended."""
BURST_S = 0.25
"""Time for which unused permits accumulate, beyond the first one."""
MAX_RETRY_AFTER_S = 60.0
MAX_PROMISES = 1024
"""Denied requests whose return is remembered."""
SERVED_HALF_LIFE_S = 10.0
"""Half-life of the permits granted to a workspace, for fair shares."""
SERVED_INTERVAL_S = 1.0
"""Time between two updates of the permits granted to workspaces."""
EPSILON = 1e-6
"""Tolerance for the rounding errors of token counts and times."""


class Claim:
    """A request that needs a permit.

    Attributes:
        rank: Rank of the request, 0 is the most urgent.
        workspace: Workspace of the request.
        key: Digest that is equal for requests with the same work, to recognize
            a caller that returns; empty for none.
        expires_at: Latest time for the permit; monotonic seconds.
        is_granted: Whether a permit was granted, None while the claim waits.
        retry_after_s: Time after which to retry a denied claim, in seconds.
        notify: Called without arguments when a waiting claim is settled.
    """

    __slots__ = (
        "expires_at",
        "is_granted",
        "key",
        "notify",
        "rank",
        "retry_after_s",
        "workspace",
    )

    def __init__(self, rank: int, workspace: str, key: str, expires_at: float):
        self.rank = rank
        self.workspace = workspace
        self.key = key
        self.expires_at = expires_at
        self.is_granted: bool | None = None
        self.retry_after_s = 0.0
        self.notify: Callable[[], None] = lambda: None

    def settle(self, is_granted: bool, retry_after_s: float = 0.0) -> None:
        """Ends the wait of the claim."""
        self.is_granted = is_granted
        self.retry_after_s = retry_after_s
        self.notify()


class Allocator:
    """Permits of one server; construct with ``new_allocator``.

    The rate is an argument of each decision, as it changes with the limit and
    with the part of the fleet that the owner reaches.

    Attributes:
        granted: Permits granted since the start.
    """

    __slots__ = (
        "_promised_at",
        "_promises",
        "_refilled_at",
        "_sequence",
        "_served",
        "_served_at",
        "_tokens",
        "_waiting",
        "granted",
    )

    def __init__(self, now: float):
        self._tokens = 0.0
        self._refilled_at = now
        self._waiting: dict[Claim, int] = {}
        self._sequence = itertools.count()
        self._served: dict[str, float] = {}
        self._served_at = now
        self._promises: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._promised_at = now
        self.granted = 0

    @property
    def waiting(self) -> int:
        """Number of claims that wait."""
        return len(self._waiting)

    def submit(self, claim: Claim, rate_per_s: float, now: float) -> None:
        """Grants or denies a claim, or lets it wait.

        Args:
            claim: The claim.
            rate_per_s: Permits per second.
            now: Monotonic time in seconds.
        """
        self._waiting[claim] = next(self._sequence)
        self.advance(rate_per_s, now)

    def discard(self, claim: Claim) -> None:
        """Removes a claim whose request ended."""
        self._waiting.pop(claim, None)

    def advance(self, rate_per_s: float, now: float) -> None:
        """Grants the permits that are due, and denies hopeless claims."""
        rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        self._refill(rate_per_s, now)
        while self._waiting and self._tokens >= 1.0 - EPSILON:
            self._grant(
                min(self._waiting, key=lambda c: self._precedence(c, now))
            )
        kept = 0
        for claim in sorted(
            self._waiting, key=lambda c: self._precedence(c, now)
        ):
            wait_s = (kept + 1 - self._tokens) / rate_per_s
            if now + wait_s > claim.expires_at + EPSILON:
                del self._waiting[claim]
                claim.settle(False, self._promise(claim, rate_per_s, now))
            else:
                kept += 1

    def release_all(self) -> None:
        """Grants all waiting claims, as the limit has ended."""
        for claim in [*self._waiting]:
            self.discard(claim)
            claim.settle(True)

    def wait_s(self, rate_per_s: float, now: float) -> float:
        """Returns the time until a permit is free for a new claim.

        More urgent claims are not delayed by those that wait.
        """
        self._refill(max(MIN_RATE_PER_S, rate_per_s), now)
        return self.preview_wait_s(rate_per_s, now)

    def preview_wait_s(self, rate_per_s: float, now: float) -> float:
        """Returns what ``wait_s`` returns; changes no state."""
        rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        missing = len(self._waiting) + 1 - self._tokens_at(rate_per_s, now)
        return max(0.0, missing - EPSILON) / rate_per_s

    def next_grant_s(self, rate_per_s: float, now: float) -> float:
        """Returns the time until the next claim that waits is granted."""
        rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        self._refill(rate_per_s, now)
        return max(0.0, 1.0 - self._tokens) / rate_per_s

    def _tokens_at(self, rate_per_s: float, now: float) -> float:
        gained = max(0.0, now - self._refilled_at) * rate_per_s
        return min(1.0 + BURST_S * rate_per_s, self._tokens + gained)

    def _refill(self, rate_per_s: float, now: float) -> None:
        self._tokens = self._tokens_at(rate_per_s, now)
        self._refilled_at = max(now, self._refilled_at)

    def _grant(self, claim: Claim) -> None:
        self._tokens -= 1.0
        self.granted += 1
        self._served[claim.workspace] = (
            self._served.get(claim.workspace, 0.0) + 1.0
        )
        self._promises.pop(claim.key, None)
        self.discard(claim)
        claim.settle(True)

    def _precedence(self, claim: Claim, now: float) -> tuple:
        self._forget_served(now)
        due_at = self._promises.get(claim.key, math.inf)
        return (
            claim.rank,
            int(self._served.get(claim.workspace, 0.0)),
            due_at > now + EPSILON,
            self._waiting[claim],
        )

    def _forget_served(self, now: float) -> None:
        passed_s = now - self._served_at
        if passed_s < SERVED_INTERVAL_S:
            return
        self._served_at = now
        factor = 0.5 ** (passed_s / SERVED_HALF_LIFE_S)
        self._served = {
            workspace: count * factor
            for workspace, count in self._served.items()
            if count * factor > 0.01
        }

    def _promise(self, claim: Claim, rate_per_s: float, now: float) -> float:
        """Returns when a denied request may return, in seconds.

        Returns are spread, so that each finds a permit.
        """
        free_at = now + self.wait_s(rate_per_s, now)
        due_at = max(free_at, self._promised_at + 1.0 / rate_per_s)
        if due_at > now + MAX_RETRY_AFTER_S:
            return MAX_RETRY_AFTER_S
        self._promised_at = due_at
        if claim.key:
            self._promises[claim.key] = due_at
            while len(self._promises) > MAX_PROMISES:
                self._promises.popitem(last=False)
        return due_at - now


def new_allocator(now: float) -> Allocator:
    """Returns an allocator without tokens.

    Args:
        now: Monotonic time in seconds.
    """
    return Allocator(now)
