"""Slots and queue of one pool, with estimates of its service rate."""

import math

from savoryspar import conf, sheet
from savoryspar.scheduling import entries, model, policies

RATE_WINDOW_S = 2.0
"""Time constant of the decaying average of a rank's service rate."""
DEFAULT_HOLD_S = 1.0
"""Assumed hold time of a slot until the first release."""
BACKLOG_SPREAD_S = 2.0
"""Time over which the backlog of more urgent ranks is assumed to be served."""
RELEASES_PER_HALVING = 64
"""Releases after which the accumulated hold times are halved."""


class DecayingSum:
    """A sum that decays exponentially over time."""

    __slots__ = ("_sum", "_updated_at")

    def __init__(self) -> None:
        self._sum = 0.0
        self._updated_at = 0.0

    def add(self, units: float, now: float) -> None:
        """Adds units at the given monotonic time."""
        self._sum = self._value_at(now) + units
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Returns the decayed average in units per second."""
        return self._value_at(now) / RATE_WINDOW_S

    def _value_at(self, now: float) -> float:
        return self._sum * math.exp((self._updated_at - now) / RATE_WINDOW_S)


class Pool:
    """State of one pool in this process.

    Attributes:
        name: Name of the pool.
        policy: Policy that orders the waiting jobs.
        running: Number of slots in use.
        waiting: Number of waiting jobs.
    """

    __slots__ = (
        "_backlogged_since",
        "_held_s",
        "_held_units",
        "_rates",
        "_releases",
        "_running_units",
        "_upcoming_jobs",
        "_upcoming_units",
        "name",
        "policy",
        "running",
        "waiting",
    )

    def __init__(self, name: str, policy: policies.Policy):
        self.name = name
        self.policy = policy
        self.running = 0
        self.waiting = 0
        # Units and jobs of requests that will reach this pool in a later stage;
        # units by rank and workspace.
        self._upcoming_units: dict[tuple[str, str], float] = {}
        self._upcoming_jobs = 0
        self._rates = {rank: DecayingSum() for rank in sheet.RANKS}
        self._backlogged_since = 0.0
        self._running_units = 0.0
        # Hold times and units of the released jobs, halved periodically.
        self._held_s = 0.0
        self._held_units = 0.0
        self._releases = 0

    def push(self, entry: entries.Entry, now: float) -> None:
        """Enqueues a job."""
        if not self.waiting:
            self._backlogged_since = now
        self.waiting += 1
        policies.push(self.policy, entry)

    def pop(self, now: float) -> entries.Entry:
        """Dequeues the next job and assigns a slot to it."""
        entry = policies.pop(self.policy, now)
        self.waiting -= 1
        self._start(entry, now)
        return entry

    def grant_immediately(self, entry: entries.Entry, now: float) -> None:
        """Assigns a slot to a job without enqueueing it."""
        policies.grant_immediately(self.policy, entry)
        self._start(entry, now)

    def drop(self, entry: entries.Entry) -> None:
        """Removes a job from the queue; its status must not be waiting."""
        self.waiting -= 1
        policies.discard(self.policy, entry)

    def charge(self, entry: entries.Entry, units: float, now: float) -> None:
        """Adds units, possibly negative, to the charge of a running job."""
        policies.charge(self.policy, entry, units, now)
        self._running_units += units
        self._rates[entry.job.rank].add(units, now)

    def finish(self, entry: entries.Entry, now: float) -> None:
        """Frees the slot of a running job and records its hold time."""
        self.running -= 1
        self._running_units -= entry.charged
        policies.finish(self.policy, entry)
        self._held_s += now - entry.granted_at
        self._held_units += entry.charged
        self._releases += 1
        if self._releases % RELEASES_PER_HALVING == 0:
            self._held_s /= 2.0
            self._held_units /= 2.0

    def add_upcoming(self, job: model.Job, units: float) -> None:
        """Adds units of a request that will reach this pool later.

        Args:
            job: Current job of the request.
            units: Estimated units; negative to remove them again.
        """
        self._upcoming_jobs += 1 if units > 0.0 else -1
        key = (job.rank, job.workspace)
        total = self._upcoming_units.get(key, 0.0) + units
        if total > 1e-9:
            self._upcoming_units[key] = total
        else:
            self._upcoming_units.pop(key, None)

    def drain_rate(self, rank: str, slots: int, now: float) -> float:
        """Estimates the service rate of a rank in units per second.

        This is the rate of the pool minus the rate of more urgent ranks and
        the floors of backlogged less urgent ranks, but at least the rank's own
        floor. The backlog of more urgent ranks counts as served evenly over
        ``BACKLOG_SPREAD_S``; without this term, more jobs were admitted at
        each pause of the urgent traffic than the floor can serve.
        """
        total = self._total_rate(slots, now)
        if not isinstance(self.policy, policies.FairPolicy):
            return total
        floors = self.policy.meter.floors
        index = sheet.RANKS.index(rank)
        urgent_rate = sum(
            self._rates[r].rate(now)
            + self.policy.queues[r].units / BACKLOG_SPREAD_S
            for r in sheet.RANKS[:index]
        )
        reserved = sum(
            floors[lower]
            for lower in self.policy.backlogged
            if sheet.RANKS.index(lower) > index
        )
        return max(total * floors[rank], total * (1.0 - reserved) - urgent_rate)

    def expected_wait_s(self, job: model.Job, slots: int, now: float) -> float:
        """Estimates the wait in seconds of a new job like the given one."""
        if self.running + self.waiting + self._upcoming_jobs < slots:
            return 0.0
        upcoming = self._upcoming_units.get((job.rank, job.workspace), 0.0)
        if not self.waiting and not upcoming:
            return 0.0
        ahead = policies.units_ahead(self.policy, job, upcoming)
        if not self._releases:
            # There is no measured service rate yet.
            jobs = self.waiting + self._upcoming_jobs
            return jobs / slots * DEFAULT_HOLD_S
        rate = self.drain_rate(job.rank, slots, now)
        if rate > 0.0:
            return ahead / rate
        return math.inf if ahead else 0.0

    def _total_rate(self, slots: int, now: float) -> float:
        """Returns the units per second of the whole pool.

        A pool that has been backlogged for longer than ``RATE_WINDOW_S`` runs
        at full capacity, so its measured rate is used. Slots times the rate
        per slot would be wrong while a server's concurrency limit changes.
        """
        if self.waiting and now - self._backlogged_since > RATE_WINDOW_S:
            return sum(rate.rate(now) for rate in self._rates.values())
        if self._held_s:
            return slots * self._held_units / self._held_s
        return max(self._running_units, 1.0) / DEFAULT_HOLD_S

    def _start(self, entry: entries.Entry, now: float) -> None:
        self.running += 1
        self._running_units += entry.charged
        entry.status = entries.Status.GRANTED
        entry.granted_at = now
        self._rates[entry.job.rank].add(entry.charged, now)


def new_pool(name: str, cfg: conf.Section) -> Pool:
    """Returns a pool with the policy selected in the settings."""
    return Pool(name, policies.new_policy(cfg))
