"""Grants slots of a pool to waiting jobs."""

from collections import deque
from collections.abc import Callable

import eventlet
from eventlet import event

from savoryspar.scheduling import exceptions, model

Capacity = Callable[[str, float], int]
"""Slots of a pool that this process may use at a time: (pool, now)."""


class Grant:
    """Permission to run one job; it holds one slot until it is released."""

    __slots__ = ("_scheduler", "job")

    def __init__(self, scheduler: "Scheduler", job: model.Job):
        self._scheduler = scheduler
        self.job = job

    def charge(self, units: float, now: float) -> None:
        """Charges work units that the job used beyond its estimate."""

    def release(self, now: float) -> None:
        """Gives the slot back and grants it to a waiting job."""
        self._scheduler.release(self.job, now)


class Scheduler:
    """Grants slots in the order of arrival."""

    __slots__ = ("_capacity", "_running", "_waiting")

    def __init__(self, capacity: Capacity):
        self._capacity = capacity
        self._running: dict[str, int] = {}
        self._waiting: dict[str, deque[tuple[model.Job, event.Event]]] = {}

    def acquire(self, job: model.Job, now: float) -> Grant:
        """Waits for a slot of the job's pool.

        Raises:
            AdmissionError: No slot became free before the job's deadline.
        """
        if self._running.get(job.pool, 0) < self._capacity(job.pool, now):
            self._running[job.pool] = self._running.get(job.pool, 0) + 1
            return Grant(self, job)
        granted = event.Event()
        queue = self._waiting.setdefault(job.pool, deque())
        entry = (job, granted)
        queue.append(entry)
        timer = eventlet.Timeout(max(0.0, job.deadline_at - now))
        try:
            granted.wait()
        except eventlet.Timeout as exc:
            if exc is not timer:
                raise
            queue.remove(entry)
            raise exceptions.AdmissionError(
                f"no slot of pool {job.pool!r} before the deadline", 1.0
            ) from None
        finally:
            timer.cancel()
        return Grant(self, job)

    def release(self, job: model.Job, now: float) -> None:
        """Returns the slot of a job that was granted one."""
        self._running[job.pool] -= 1
        self.dispatch(job.pool, now)

    def dispatch(self, pool: str, now: float) -> None:
        """Grants free slots of the pool to waiting jobs."""
        queue = self._waiting.get(pool)
        free = self._capacity(pool, now) - self._running.get(pool, 0)
        while queue and free > 0:
            _, granted = queue.popleft()
            self._running[pool] = self._running.get(pool, 0) + 1
            free -= 1
            granted.send(None)


def new_scheduler(capacity: Capacity) -> Scheduler:
    """Returns a scheduler over the given capacity."""
    return Scheduler(capacity)
