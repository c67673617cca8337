"""Decides whether a job can still meet its deadline.

The budget of a stage is the time left less the p95 of the stages that are
still to come. A request is refused before its first stage when the expected
waits do not fit as well; a request whose earlier stages are paid for is
dropped only when its deadline can no longer be met.
"""

from collections.abc import Callable
import math

from savoryspar.scheduling import estimates as estimates_lib
from savoryspar.scheduling import exceptions, model

WAIT_PART = 0.8
"""Part of the spare time that the expected wait may take. With all of it, every
job of a long queue was granted at its latest start, and 5% finished late."""
MIN_RETRY_S = 0.1
MAX_RETRY_S = 30.0
"""Longest advice; estimates further ahead are not reliable."""
UNREACHABLE_RETRY_S = 5.0
"""Advice when no queue has to drain: servers or latencies must change."""

Wait = Callable[[str, model.Job, float], float]
"""Expected wait for a slot in seconds: (pool, job, now)."""


class Admission:
    """Refuses work that cannot finish in time.

    Attributes:
        estimates: Latencies of the stages.
    """

    __slots__ = ("_wait", "estimates", "is_enabled")

    def __init__(
        self, estimates: estimates_lib.Estimates, wait: Wait, is_enabled: bool
    ):
        self.estimates = estimates
        self._wait = wait
        self.is_enabled = is_enabled

    def later_s(self, job: model.Job) -> float:
        """Returns the p95 of the stages still to come, in seconds."""
        return sum(
            self.estimates.p95_s(need.pool, need.model, job.rank, need.cost)
            for need in job.later
        )

    def latest_start_at(self, job: model.Job) -> float:
        """Returns the time after which a grant would come too late."""
        if not self.is_enabled:
            return job.deadline_at
        own_s = self.estimates.p95_s(job.pool, job.model, job.rank, job.cost)
        return job.deadline_at - self.later_s(job) - own_s

    def check(self, job: model.Job, now: float) -> None:
        """Checks a job before it is queued.

        Raises:
            AdmissionError: The job cannot finish before its deadline.
        """
        if not self.is_enabled:
            return
        spare_s = self.latest_start_at(job) - now
        if spare_s < 0.0:
            raise self.refusal(job, now)
        if job.is_started:
            return
        wait_s = self._wait(job.pool, job, now) + sum(
            self._wait(need.pool, job, now) for need in job.later
        )
        if math.isinf(wait_s):
            raise _error(f"a pool of {_pools(job)} has no slots", wait_s)
        spare_s *= WAIT_PART
        if wait_s > spare_s:
            raise _error(
                f"the wait for {_pools(job)} is {wait_s:.2f} s, of which"
                f" {spare_s:.2f} s fit into the deadline",
                wait_s - spare_s + self._step_s(job),
            )

    def refusal(self, job: model.Job, now: float) -> exceptions.AdmissionError:
        """Returns the error for a job that has no time left.

        The wait that a new request would have tells when to ask again.
        """
        wait_s = sum(
            self._wait(pool, job, now)
            for pool in (job.pool, *(need.pool for need in job.later))
        )
        message = (
            f"no slot of pool {job.pool!r} in time for the deadline of request"
            f" {job.request_id}"
        )
        return _error(message, wait_s or UNREACHABLE_RETRY_S)

    def _step_s(self, job: model.Job) -> float:
        """Returns the time in which the queue surely moves, in seconds.

        Slots that were granted together are also released together, so a
        queue may stand still for the time of one job.
        """
        needs = (
            model.RemainingStage(job.pool, job.model, job.cost),
            *job.later,
        )
        return max(
            self.estimates.p50_s(need.pool, need.model, job.rank, need.cost)
            for need in needs
        )

    def overflow(self, job: model.Job, now: float) -> exceptions.AdmissionError:
        """Returns the error for a job that a full queue has no room for."""
        return _error(
            f"the queue of pool {job.pool!r} is full",
            self._wait(job.pool, job, now) + self._step_s(job),
        )


def _pools(job: model.Job) -> str:
    return ", ".join((job.pool, *(need.pool for need in job.later)))


def _error(message: str, retry_s: float) -> exceptions.AdmissionError:
    if math.isinf(retry_s):
        retry_s = UNREACHABLE_RETRY_S
    return exceptions.AdmissionError(
        message, min(MAX_RETRY_S, max(MIN_RETRY_S, retry_s))
    )
