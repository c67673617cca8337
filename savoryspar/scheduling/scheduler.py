"""Grants slots of a pool to waiting jobs."""

from collections.abc import Callable
import itertools
import math
import time

import eventlet
from eventlet import event

from savoryspar import conf, log, sheet
from savoryspar.scheduling import (
    admission,
    entries,
    estimates,
    exceptions,
    model,
    policies,
    shares,
)
from savoryspar.scheduling import pool as pool_lib
from savoryspar.scheduling import reports as reports_lib

MIN_WAIT_S = 0.02
"""Shortest wait until the latest start is computed anew."""

Capacity = Callable[[str, float], int]
"""Slots of a pool that the zone may use at a time: (pool, now)."""


class Grant:
    """Permission to run one job; it holds one slot until it is released."""

    __slots__ = ("_entry", "_scheduler")

    def __init__(self, scheduler: "Scheduler", entry: entries.Entry):
        self._scheduler = scheduler
        self._entry = entry

    @property
    def job(self) -> model.Job:
        """The job that may run."""
        return self._entry.job

    @property
    def is_floor(self) -> bool:
        """Whether a floor put the job before more urgent work that waits."""
        return self._entry.is_floor

    def charge(self, units: float, now: float) -> None:
        """Reports work units that the job used since the last report.

        The account is charged once the estimate is used up. A job that
        reports nothing is taken to use its estimate.
        """
        entry = self._entry
        entry.used += units
        if entry.used > entry.charged:
            self._scheduler.charge(entry, entry.used - entry.charged, now)

    def release(self, now: float, is_complete: bool = True) -> None:
        """Gives the slot back; a second release does nothing.

        Args:
            now: Monotonic time in seconds.
            is_complete: Whether the stage ran to its end, so that its latency
                is worth learning.
        """
        self._scheduler.release(self._entry, now, is_complete)


class Scheduler:
    """Ranks, fair shares, deadlines and admission over all pools.

    Attributes:
        estimates: Latencies of the stages.
        peers: Reports exchanged with the zone's peers.
    """

    __slots__ = (
        "_admission",
        "_capacity",
        "_cfg",
        "_clock",
        "_decisions",
        "_floors",
        "_pools",
        "_sequence",
        "estimates",
        "peers",
    )

    def __init__(
        self,
        capacity: Capacity,
        cfg: conf.Section,
        peers: reports_lib.PeerReports,
        decisions: log.DecisionLog | None,
        clock: Callable[[], float],
    ):
        self._capacity = capacity
        self._clock = clock
        self._cfg = cfg
        self._decisions = decisions
        self._pools: dict[str, pool_lib.Pool] = {}
        self._floors = dict.fromkeys(sheet.RANKS, 0.0)
        self._sequence = itertools.count()
        self.peers = peers
        self.estimates = estimates.Estimates()
        self._admission = admission.Admission(
            self.estimates, self._wait_s, cfg.admission == "deadline"
        )

    def configure(self, current: sheet.Sheet, now: float) -> None:
        """Takes the floors of the ranks from a sheet."""
        self._floors = {
            name: rank.floor_percent / 100.0
            for name, rank in current.ranks.items()
        }
        self.peers.floors = self._floors
        for pool in self._pools.values():
            policies.set_floors(pool.policy, self._floors)
        self.poll(now)

    def capacity(self, name: str, now: float) -> int:
        """Returns the slots of the pool that this process may use."""
        total = self._capacity(name, now)
        return self.peers.own_slots(name, total, now)

    def acquire(self, job: model.Job, now: float) -> Grant:
        """Waits for a slot of the job's pool.

        Raises:
            AdmissionError: The job cannot finish before its deadline, or the
                queue is full.
        """
        granted = event.Event()
        entry = self.offer(job, now, lambda: granted.send(None))
        if entry.is_waiting:
            self._wait(entry, granted, now)
        if entry.error is not None:
            raise entry.error
        return Grant(self, entry)

    def offer(
        self,
        job: model.Job,
        now: float,
        notify: Callable[[], None] | None = None,
    ) -> entries.Entry:
        """Grants a slot at once or queues the job, without waiting.

        Args:
            job: The job.
            now: Monotonic time in seconds.
            notify: Called when the waiting job is granted or dropped.

        Raises:
            AdmissionError: The job was refused.
        """
        pool = self._pool(job.pool)
        try:
            self._admission.check(job, now)
        except exceptions.AdmissionError:
            self._record(job, pool, "none", "refused_at_admission")
            raise
        entry = entries.Entry(job, next(self._sequence), notify)
        self._announce(job, 1.0)
        if not pool.waiting and pool.running < self.capacity(job.pool, now):
            pool.run_at_once(entry, now)
            self.peers.served(job, job.cost)
            self._record(job, pool, "granted", "slot_free")
            return entry
        pool.push(entry, now)
        self._limit(pool, entry, now)
        self.dispatch(pool, now)
        return entry

    def charge(self, entry: entries.Entry, units: float, now: float) -> None:
        """Corrects the charge of a running job by units."""
        self._pools[entry.job.pool].charge(entry, units, now)
        self.peers.served(entry.job, units)

    def release(
        self, entry: entries.Entry, now: float, is_complete: bool
    ) -> None:
        """Takes a slot back and grants it to a waiting job."""
        if entry.status is not entries.Status.GRANTED:
            return
        entry.status = entries.Status.RELEASED
        job = entry.job
        if entry.used and entry.used < entry.charged:
            self.charge(entry, entry.used - entry.charged, now)
        pool = self._pools[job.pool]
        pool.finish(entry, now)
        self._announce(job, -1.0)
        if is_complete:
            self.estimates.observe(
                job.pool,
                job.model,
                job.rank,
                job.cost,
                now - entry.granted_at,
            )
        self.dispatch(pool, now)

    def abandon(self, entry: entries.Entry, now: float) -> None:
        """Forgets a job whose caller is gone, in a queue or in a slot."""
        if entry.is_waiting:
            self._drop(entry, None)
        else:
            self.release(entry, now, is_complete=False)

    def expire(self, entry: entries.Entry, now: float) -> None:
        """Drops a waiting job whose deadline can no longer be met."""
        if entry.is_waiting:
            self._record_entry(entry, "dropped", "deadline_out_of_reach")
            self._drop(entry, self._admission.refusal(entry.job, now))

    def dispatch(self, pool: pool_lib.Pool, now: float) -> None:
        """Grants free slots of the pool to waiting jobs."""
        slots = self.capacity(pool.name, now)
        while pool.waiting and pool.running < slots:
            entry = pool.pop(now)
            job = entry.job
            if now > self._admission.latest_start_at(job):
                self._refuse_late(pool, entry, now)
                continue
            self.peers.served(job, job.cost)
            self._record(job, pool, "granted", "next_in_order")
            entry.end_wait(entries.Status.GRANTED)

    def poll(self, now: float) -> None:
        """Grants slots that appeared without a release, in every pool."""
        for pool in self._pools.values():
            if pool.waiting:
                self.dispatch(pool, now)

    def service_report(self, now: float) -> dict:
        """Returns what peers must know; service counts from here anew."""
        return self.peers.report(self._pools, now)

    def store_peer_report(
        self, incarnation: str, report: dict, now: float
    ) -> None:
        """Charges the service of a peer and notes its backlog."""
        self.peers.take(incarnation, report, self._pools, now)
        self.poll(now)

    def waiting(self, name: str) -> int:
        """Returns the number of jobs that wait for the pool."""
        pool = self._pools.get(name)
        return pool.waiting if pool else 0

    def _wait(
        self, entry: entries.Entry, granted: event.Event, now: float
    ) -> None:
        """Waits for the end of a job's wait, at most until its latest start.

        The latest start moves with the estimates, so it is computed anew
        after half of the time left, and so on.
        """
        try:
            while entry.is_waiting:
                left_s = self._admission.latest_start_at(entry.job) - now
                if left_s <= 0.0:
                    self.expire(entry, now)
                    return
                with eventlet.Timeout(max(left_s / 2.0, MIN_WAIT_S), False):
                    granted.wait()
                now = self._clock()
        except BaseException:
            # The caller hung up. A grant that crossed it is given back.
            self.abandon(entry, self._clock())
            raise

    def _pool(self, name: str) -> pool_lib.Pool:
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = pool_lib.new_pool(name, self._cfg)
            policies.set_floors(pool.policy, self._floors)
        return pool

    def _wait_s(self, name: str, job: model.Job, now: float) -> float:
        if not self._capacity(name, now):
            return math.inf
        pool = self._pools.get(name)
        if pool is None:
            return 0.0
        return pool.wait_s(job, max(1, self.capacity(name, now)), now)

    def _limit(
        self, pool: pool_lib.Pool, newest: entries.Entry, now: float
    ) -> None:
        if not self._admission.is_enabled:
            return
        if pool.waiting <= self._cfg.max_queue:
            return
        dropped = policies.victim(pool.policy, newest)
        self._record_entry(dropped, "dropped", "queue_full")
        self._drop(dropped, self._admission.overflow(dropped.job, now))

    def _refuse_late(
        self, pool: pool_lib.Pool, entry: entries.Entry, now: float
    ) -> None:
        # The pop charged it and gave it a slot, which are taken back.
        pool.charge(entry, -entry.charged, now)
        entry.granted_at = now
        pool.finish(entry, now)
        self._announce(entry.job, -1.0)
        self._record(entry.job, pool, "dropped", "deadline_out_of_reach")
        entry.error = self._admission.refusal(entry.job, now)
        entry.end_wait(entries.Status.DROPPED)

    def _drop(
        self, entry: entries.Entry, error: exceptions.AdmissionError | None
    ) -> None:
        entry.error = error
        entry.status = entries.Status.DROPPED
        self._pools[entry.job.pool].drop(entry)
        self._announce(entry.job, -1.0)
        if error is not None:
            entry.end_wait(entries.Status.DROPPED)

    def _announce(self, job: model.Job, sign: float) -> None:
        for need in job.later:
            self._pool(need.pool).announce(job, sign * need.cost)

    def _record_entry(
        self, entry: entries.Entry, choice: str, reason: str
    ) -> None:
        job = entry.job
        self._record(job, self._pools[job.pool], choice, reason)

    def _record(
        self, job: model.Job, pool: pool_lib.Pool, choice: str, reason: str
    ) -> None:
        if self._decisions is None:
            return
        if not self._decisions.is_sampled(job.request_id):
            return
        self._decisions.record(
            log.Decision(
                "scheduling",
                job.request_id,
                job.pool,
                job.rank,
                job.workspace,
                pool.waiting,
                choice,
                reason,
            )
        )


def new_scheduler(
    capacity: Capacity,
    cfg: conf.Section,
    own: str = "",
    live_peers: shares.LivePeers | None = None,
    decisions: log.DecisionLog | None = None,
    clock: Callable[[], float] = time.monotonic,
) -> Scheduler:
    """Returns a scheduler over the given capacity.

    Args:
        capacity: Slots of a pool in the zone.
        cfg: The section ``[scheduling]`` of the settings.
        own: Incarnation of this process.
        live_peers: Returns the incarnations of the zone's live peers; without
            it, the process has all slots for itself.
        decisions: Where grants and refusals are logged.
        clock: Tells the monotonic time after a wait in ``acquire``.
    """
    peers = reports_lib.new_peer_reports(own, live_peers)
    return Scheduler(capacity, cfg, peers, decisions, clock)
