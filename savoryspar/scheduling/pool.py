"""One pool's slots: who runs, who waits and how fast the queue drains."""

import math

from savoryspar import conf, sheet
from savoryspar.scheduling import entries, model, policies

RATE_WINDOW_S = 2.0
"""Window over which the service rate of a rank is measured."""
FIRST_HOLD_S = 1.0
"""Time that a job is taken to hold its slot before any was released."""
BACKLOG_S = 2.0
"""Time over which the backlog of more urgent ranks is spread."""
HALVE_AFTER = 64
"""Releases after which older hold times count half."""


class Decayed:
    """A sum that decays with time."""

    __slots__ = ("_at", "_sum")

    def __init__(self) -> None:
        self._sum = 0.0
        self._at = 0.0

    def add(self, units: float, now: float) -> None:
        """Adds units at a time."""
        self._sum = self._read(now) + units
        self._at = now

    def rate(self, now: float) -> float:
        """Returns units per second over the window."""
        return self._read(now) / RATE_WINDOW_S

    def _read(self, now: float) -> float:
        return self._sum * math.exp((self._at - now) / RATE_WINDOW_S)


class Pool:
    """State of one pool in this process.

    Attributes:
        name: Name of the pool.
        policy: The waiting jobs in their order.
        running: Slots in use.
        waiting: Jobs waiting.
    """

    __slots__ = (
        "_announced",
        "_announced_jobs",
        "_contended_at",
        "_held_s",
        "_held_units",
        "_rates",
        "_releases",
        "_running_units",
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
        self._announced: dict[tuple[str, str], float] = {}
        self._announced_jobs = 0
        self._rates = {rank: Decayed() for rank in sheet.RANKS}
        self._contended_at = 0.0
        self._running_units = 0.0
        self._held_s = 0.0
        self._held_units = 0.0
        self._releases = 0

    def push(self, entry: entries.Entry, now: float) -> None:
        """Queues a job."""
        if not self.waiting:
            self._contended_at = now
        self.waiting += 1
        policies.push(self.policy, entry)

    def pop(self, now: float) -> entries.Entry:
        """Takes the next job out of the queue and gives it a slot."""
        entry = policies.pop(self.policy, now)
        self.waiting -= 1
        self._start(entry, now)
        return entry

    def run_at_once(self, entry: entries.Entry, now: float) -> None:
        """Gives a slot to a job that did not wait."""
        policies.run_at_once(self.policy, entry)
        self._start(entry, now)

    def drop(self, entry: entries.Entry) -> None:
        """Takes a job out of the queue; its status must say so already."""
        self.waiting -= 1
        policies.discard(self.policy, entry)

    def charge(self, entry: entries.Entry, units: float, now: float) -> None:
        """Corrects the charge of a running job."""
        policies.charge(self.policy, entry, units, now)
        self._running_units += units
        self._rates[entry.job.rank].add(units, now)

    def finish(self, entry: entries.Entry, now: float) -> None:
        """Takes the slot back."""
        self.running -= 1
        self._running_units -= entry.charged
        policies.finish(self.policy, entry)
        self._held_s += now - entry.granted_at
        self._held_units += entry.charged
        self._releases += 1
        if self._releases % HALVE_AFTER == 0:
            self._held_s /= 2.0
            self._held_units /= 2.0

    def announce(self, job: model.Job, units: float) -> None:
        """Notes units of a request that will reach this pool later."""
        self._announced_jobs += 1 if units > 0.0 else -1
        key = (job.rank, job.workspace)
        total = self._announced.get(key, 0.0) + units
        if total > 1e-9:
            self._announced[key] = total
        else:
            self._announced.pop(key, None)

    def drain_rate(self, rank: str, slots: int, now: float) -> float:
        """Returns the units per second that the rank can expect.

        That is the rate of the pool less what more urgent ranks take and what
        the floors of backlogged lower ranks keep, and its own floor at least.
        What waits of the more urgent ranks counts as spread over a while;
        without it, each lull of theirs let in more than the floor can serve.
        """
        total = self._total_rate(slots, now)
        if not isinstance(self.policy, policies.FairPolicy):
            return total
        floors = self.policy.meter.floors
        number = sheet.RANKS.index(rank)
        urgent = sum(
            self._rates[r].rate(now) + self.policy.queues[r].units / BACKLOG_S
            for r in sheet.RANKS[:number]
        )
        kept = sum(
            floors[lower]
            for lower in self.policy.backlogged
            if sheet.RANKS.index(lower) > number
        )
        return max(total * floors[rank], total * (1.0 - kept) - urgent)

    def wait_s(self, job: model.Job, slots: int, now: float) -> float:
        """Returns how long a new job of the kind would wait, in seconds."""
        if self.running + self.waiting + self._announced_jobs < slots:
            return 0.0
        extra = self._announced.get((job.rank, job.workspace), 0.0)
        if not self.waiting and not extra:
            return 0.0
        ahead = policies.units_ahead(self.policy, job, extra)
        if not self._releases:
            # Nothing is known of the pool's rate yet.
            jobs = self.waiting + self._announced_jobs
            return jobs / slots * FIRST_HOLD_S
        rate = self.drain_rate(job.rank, slots, now)
        if rate > 0.0:
            return ahead / rate
        return math.inf if ahead else 0.0

    def _total_rate(self, slots: int, now: float) -> float:
        """Returns the units per second of the whole pool.

        A pool that has had a queue for a while serves what it can, so its
        measured rate is used; slots times the rate of one slot would be wrong
        while a server's concurrency limit moves.
        """
        if self.waiting and now - self._contended_at > RATE_WINDOW_S:
            return sum(rate.rate(now) for rate in self._rates.values())
        if self._held_s:
            return slots * self._held_units / self._held_s
        return max(self._running_units, 1.0) / FIRST_HOLD_S

    def _start(self, entry: entries.Entry, now: float) -> None:
        self.running += 1
        self._running_units += entry.charged
        entry.status = entries.Status.GRANTED
        entry.granted_at = now
        self._rates[entry.job.rank].add(entry.charged, now)


def new_pool(name: str, cfg: conf.Section) -> Pool:
    """Returns a pool whose queue follows the settings."""
    return Pool(name, policies.new_policy(cfg))
