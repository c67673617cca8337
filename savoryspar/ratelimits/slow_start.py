"""The rate of requests to a server that has just started or recovered.

It begins low, rises while the answers are in time compared with the other
servers of the pool, and falls when they are slow, fail or do not come. The slow
start ends when the server gets all requests that are meant for it and answers
like the others. Then permits have not been what limits its share of the demand.
"""

from collections.abc import Sequence
import enum
import math

FIRST_RATE_PER_S = 2.0
"""Rate at the begin; even slow engines answer two requests per second."""
MIN_RATE_PER_S = 0.5
"""Lowest rate; below it, a server that became fast again would be noticed late
only."""
RISE = 1.5
"""Factor of a step up. The rate stays below twice the last one that the server
answered in time, at which a server may fail."""
FALL_SLOW = 0.7
FALL_FAILED = 0.5
"""Factors of a step down."""
SETTLING_S = 1.0
"""Time after a change in which answers still belong to the earlier rate."""
STEP_S = 1.0
"""Shortest time after that until the next step."""
STEP_ANSWERS = 4
"""Least number of answers that a step is decided on."""
FAILED_ANSWERS = 2
"""Failures after which the rate falls without a wait for further answers."""
FAILED_SHARE = 0.3
"""Share of failed answers above which the rate falls."""
SLOW_SHARE = 0.5
"""Share of slow answers above which the rate falls; of usual answers, fewer
take twice as long as the mean."""
STALL_S = 5.0
"""Time without an answer after which the rate falls if permits were used. VMs
tell of answers with their next claim, which takes up to 5 s."""
USED_SHARE = 0.8
"""Share of the permits that is used when the rate limits the requests."""
DENIED_SHARE = 0.1
"""Share of denied claims from which the rate limits the requests."""
CALM_STEPS = 2
"""Steps in a row in which the rate did not limit the requests, at the end."""
LONGEST_S = 60.0
"""Longest duration. A server that is still slow then is treated like others
that are slow, which get fewer requests or are ejected."""


class Result(enum.Enum):
    """How a server answered a request, compared with its pool."""

    GOOD = 0
    SLOW = 1
    FAILED = 2


class End(enum.Enum):
    """Why a slow start ended."""

    IN_LINE = "answers like its peers"
    DURATION = "longest duration"
    OWNER = "ended by the owner of the permits"
    REPLACED = "started again"
    GONE = "not listed"


class SlowStart:
    """Slow start of one server; construct with ``new_slow_start``.

    The owner of the server's permits decides. The other VMs keep the rate that
    it told, in case that they become the owner.

    Attributes:
        began_at: Monotonic time at which it began.
        rate_per_s: Requests per second of all VMs together.
    """

    __slots__ = (
        "_answers",
        "_calm_steps",
        "_denied",
        "_granted",
        "_has_decided",
        "_has_risen",
        "_settled_at",
        "_step_at",
        "began_at",
        "rate_per_s",
    )

    def __init__(self, now: float):
        self.began_at = now
        self.rate_per_s = FIRST_RATE_PER_S
        self._has_decided = False
        self._has_risen = False
        self._settled_at = now
        self._calm_steps = 0
        self._begin_step(now)

    def _begin_step(self, now: float) -> None:
        self._step_at = now
        self._answers = [0, 0, 0]
        self._granted = 0
        self._denied = 0

    def record_claim(self, is_granted: bool) -> None:
        """Records that a claim was granted or denied."""
        if is_granted:
            self._granted += 1
        else:
            self._denied += 1

    def record_answers(self, counts: Sequence[int]) -> None:
        """Records the number of good, slow and failed answers."""
        for number, count in enumerate(counts):
            self._answers[number] += count

    def adopt(self, rate_per_s: float) -> None:
        """Takes over the rate of another owner, unless one was decided here.

        The answers that it was based on may not be known here, so a raised rate
        is taken over in part.
        """
        if not self._has_decided:
            self.rate_per_s = min(
                rate_per_s, max(FIRST_RATE_PER_S, rate_per_s / RISE)
            )
            self._has_decided = True

    def tell(self, rate_per_s: float) -> None:
        """Keeps the rate that the owner told."""
        self.rate_per_s = rate_per_s

    def extend(self, now: float) -> None:
        """Leaves the time until now out of the longest duration."""
        self.began_at = max(self.began_at, now)

    def is_over(self, now: float) -> bool:
        """Returns whether the longest duration has passed."""
        return now - self.began_at > LONGEST_S

    def advance(
        self, bound_per_s: float | None, is_cold: bool, now: float
    ) -> End | None:
        """Decides on the rate if a step is due.

        Args:
            bound_per_s: Lowest other limit of the server, None for none.
            is_cold: Whether the server is cold. It is slow then at any rate,
                and a limit protects it, so slow answers do not count.
            now: Monotonic time in seconds.

        Returns:
            Why the slow start ends; None if it goes on.
        """
        if is_cold:
            self.extend(now)
        if self.is_over(now):
            return End.DURATION
        if now < self._settled_at:
            self._settle(now)
        good, slow, failed = self._answers
        answers = good + slow + failed
        elapsed_s = now - self._step_at
        if failed < FAILED_ANSWERS and (
            elapsed_s < STEP_S
            or (answers < STEP_ANSWERS and elapsed_s < STALL_S)
        ):
            return None
        has_stalled = not answers and self._granted >= STEP_ANSWERS
        if failed > FAILED_SHARE * answers or has_stalled:
            self._set_rate(self.rate_per_s * FALL_FAILED, now)
        elif is_cold:
            self._raise_if_used(elapsed_s, bound_per_s, now)
            self._calm_steps = 0
        elif slow > SLOW_SHARE * answers:
            self._set_rate(self.rate_per_s * FALL_SLOW, now)
        elif answers:
            self._raise_if_used(elapsed_s, bound_per_s, now)
        self._begin_step(now)
        return End.IN_LINE if self._calm_steps >= CALM_STEPS else None

    def _settle(self, now: float) -> None:
        """Drops the answers that belong to the rate before the last change.

        After a rise, slow and failed ones are due to the new rate.
        """
        _, slow, failed = self._answers
        self._begin_step(now)
        if self._has_risen:
            self._answers = [0, slow, failed]

    def _raise_if_used(
        self, elapsed_s: float, bound_per_s: float | None, now: float
    ) -> None:
        """Raises the rate, up to the bound, if it limited the requests."""
        claims = self._granted + self._denied
        is_used = (
            self._granted >= USED_SHARE * self.rate_per_s * elapsed_s
            or self._denied > DENIED_SHARE * claims
        )
        highest = math.inf if bound_per_s is None else bound_per_s
        if is_used and self.rate_per_s < highest:
            self._set_rate(min(highest, self.rate_per_s * RISE), now)
        else:
            self._calm_steps += 1

    def _set_rate(self, rate_per_s: float, now: float) -> None:
        self._has_risen = rate_per_s > self.rate_per_s
        self._settled_at = now + SETTLING_S
        self.rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        self._has_decided = True
        self._calm_steps = 0


def new_slow_start(now: float) -> SlowStart:
    """Returns the slow start of a server that begins now.

    Args:
        now: Monotonic time in seconds.
    """
    return SlowStart(now)
