"""Admission control: rejects jobs that cannot meet their deadline.

The time budget of a stage is the time until the deadline minus the p95
latencies of the remaining stages. Before its first stage, a request is also
rejected when the expected queueing delays exceed that budget. After a stage
has run, the request is dropped only when its deadline can no longer be met,
so that completed work is not wasted.
"""

from collections.abc import Callable
import math

from savoryspar.scheduling import estimates as estimates_lib
from savoryspar.scheduling import exceptions, model

MAX_WAIT_FRACTION = 0.8
"""Fraction of the slack that the expected wait may use. With a fraction of 1,
every job of a long queue started at its latest start time and 5% missed their
deadline."""
MIN_RETRY_S = 0.1
MAX_RETRY_S = 30.0
"""Wait estimates further ahead are not reliable."""
DEFAULT_RETRY_S = 5.0
"""Retry delay when the cause is not a queue that drains, but missing servers or
stage latencies that exceed the deadline."""

WaitEstimator = Callable[[str, model.Job, float], float]
"""Estimates the wait for a slot in seconds: (pool, job, now)."""


class Admission:
    """Rejects jobs that cannot finish before their deadline.

    Attributes:
        estimates: Latency estimates of the stages.
        is_enabled: Whether jobs are checked against their deadline.
    """

    __slots__ = ("_estimate_wait_s", "estimates", "is_enabled")

    def __init__(
        self,
        estimates: estimates_lib.Estimates,
        estimate_wait_s: WaitEstimator,
        is_enabled: bool,
    ):
        self.estimates = estimates
        self._estimate_wait_s = estimate_wait_s
        self.is_enabled = is_enabled

    def remaining_p95_s(self, job: model.Job) -> float:
        """Returns the sum of the remaining stages' p95 latencies in seconds."""
        return sum(
            self.estimates.p95_s(stage.pool, stage.model, job.rank, stage.cost)
            for stage in job.remaining_stages
        )

    def latest_start_at(self, job: model.Job) -> float:
        """Returns the latest monotonic time at which the job may start.

        Without admission control, this is the deadline itself.
        """
        if not self.is_enabled:
            return job.deadline_at
        own_s = self.estimates.p95_s(job.pool, job.model, job.rank, job.cost)
        return job.deadline_at - self.remaining_p95_s(job) - own_s

    def check(self, job: model.Job, now: float) -> None:
        """Checks a job before it is enqueued.

        Raises:
            AdmissionError: The job cannot finish before its deadline.
        """
        if not self.is_enabled:
            return
        spare_s = self.latest_start_at(job) - now
        if spare_s < 0.0:
            raise self.deadline_error(job, now)
        if job.is_started:
            return
        wait_s = self._estimate_wait_s(job.pool, job, now) + sum(
            self._estimate_wait_s(stage.pool, job, now)
            for stage in job.remaining_stages
        )
        if math.isinf(wait_s):
            raise _new_error(
                f"at least one pool of {_pool_names(job)} has no slots", wait_s
            )
        spare_s *= MAX_WAIT_FRACTION
        if wait_s > spare_s:
            raise _new_error(
                f"expected wait for {_pool_names(job)} is {wait_s:.2f} s, but"
                f" the deadline allows {spare_s:.2f} s",
                wait_s - spare_s + self._turnover_s(job),
            )

    def deadline_error(
        self, job: model.Job, now: float
    ) -> exceptions.AdmissionError:
        """Returns the error for a job that cannot meet its deadline.

        The retry delay is the wait that a new request would have.
        """
        wait_s = sum(
            self._estimate_wait_s(pool, job, now)
            for pool in (
                job.pool,
                *(stage.pool for stage in job.remaining_stages),
            )
        )
        message = (
            f"no slot of pool {job.pool!r} in time for the deadline of request"
            f" {job.request_id}"
        )
        return _new_error(message, wait_s or DEFAULT_RETRY_S)

    def _turnover_s(self, job: model.Job) -> float:
        """Returns the longest median latency of the job's stages, in seconds.

        Slots that were granted together are also released together, so the
        queue may not advance for the duration of one job.
        """
        stages = (
            model.RemainingStage(job.pool, job.model, job.cost),
            *job.remaining_stages,
        )
        return max(
            self.estimates.p50_s(stage.pool, stage.model, job.rank, stage.cost)
            for stage in stages
        )

    def queue_full_error(
        self, job: model.Job, now: float
    ) -> exceptions.AdmissionError:
        """Returns the error for a job that was dropped from a full queue."""
        return _new_error(
            f"the queue of pool {job.pool!r} is full",
            self._estimate_wait_s(job.pool, job, now) + self._turnover_s(job),
        )


def _pool_names(job: model.Job) -> str:
    return ", ".join(
        (job.pool, *(stage.pool for stage in job.remaining_stages))
    )


def _new_error(message: str, retry_s: float) -> exceptions.AdmissionError:
    if math.isinf(retry_s):
        retry_s = DEFAULT_RETRY_S
    return exceptions.AdmissionError(
        message, min(MAX_RETRY_S, max(MIN_RETRY_S, retry_s))
    )
