"""Grants the slots of pools to jobs."""

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
"""Minimum time between two computations of a job's latest start."""

Capacity = Callable[[str, float], int]
"""Returns the slots of a pool that the zone may use: (pool, now)."""


class Grant:
    """Permission to run one job; it holds one slot until it is released."""

    __slots__ = ("_entry", "_scheduler")

    def __init__(self, scheduler: "Scheduler", entry: entries.Entry):
        self._scheduler = scheduler
        self._entry = entry

    @property
    def job(self) -> model.Job:
        """The granted job."""
        return self._entry.job

    @property
    def is_floor_grant(self) -> bool:
        """Whether a rank floor let the job pass more urgent work."""
        return self._entry.is_floor_grant

    def charge(self, units: float, now: float) -> None:
        """Records work units that the job used since the last call.

        The account is charged for units above the estimate. A job that records
        no units is charged its estimate.
        """
        entry = self._entry
        entry.used += units
        if entry.used > entry.charged:
            self._scheduler.charge(entry, entry.used - entry.charged, now)

    def release(self, now: float, is_complete: bool = True) -> None:
        """Releases the slot; further calls have no effect.

        Args:
            now: Monotonic time in seconds.
            is_complete: Whether the stage ran to completion, so that its
                latency is added to the estimates.
        """
        self._scheduler.release(self._entry, now, is_complete)


class Scheduler:
    """Schedules the jobs of all pools.

    Attributes:
        estimates: Latency estimates of the stages.
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
            self.estimates, self._estimate_wait_s, cfg.admission == "deadline"
        )

    def configure(self, current: sheet.Sheet, now: float) -> None:
        """Applies the rank floors of a sheet."""
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
        entry = self.submit(job, now, lambda: granted.send(None))
        if entry.is_waiting:
            self._wait_for_grant(entry, granted, now)
        if entry.error is not None:
            raise entry.error
        return Grant(self, entry)

    def submit(
        self,
        job: model.Job,
        now: float,
        notify: Callable[[], None] | None = None,
    ) -> entries.Entry:
        """Grants a slot immediately or enqueues the job, without waiting.

        Args:
            job: The job.
            now: Monotonic time in seconds.
            notify: Called when the waiting job is granted or dropped.

        Raises:
            AdmissionError: The job was rejected.
        """
        pool = self._get_pool(job.pool)
        try:
            self._admission.check(job, now)
        except exceptions.AdmissionError:
            self._record(job, pool, "none", "refused_at_admission")
            raise
        entry = entries.Entry(job, next(self._sequence), notify)
        self._add_upcoming(job, 1.0)
        if not pool.waiting and pool.running < self.capacity(job.pool, now):
            pool.grant_immediately(entry, now)
            self.peers.record_service(job, job.cost)
            self._record(job, pool, "granted", "slot_free")
            return entry
        pool.push(entry, now)
        self._enforce_queue_limit(pool, entry, now)
        self.dispatch(pool, now)
        return entry

    def charge(self, entry: entries.Entry, units: float, now: float) -> None:
        """Adds units, possibly negative, to the charge of a running job."""
        self._pools[entry.job.pool].charge(entry, units, now)
        self.peers.record_service(entry.job, units)

    def release(
        self, entry: entries.Entry, now: float, is_complete: bool
    ) -> None:
        """Frees a running job's slot and dispatches waiting jobs.

        Jobs that are not running are ignored.
        """
        if entry.status is not entries.Status.GRANTED:
            return
        entry.status = entries.Status.RELEASED
        job = entry.job
        if entry.used and entry.used < entry.charged:
            self.charge(entry, entry.used - entry.charged, now)
        pool = self._pools[job.pool]
        pool.finish(entry, now)
        self._add_upcoming(job, -1.0)
        if is_complete:
            self.estimates.observe(
                job.pool,
                job.model,
                job.rank,
                job.cost,
                now - entry.granted_at,
            )
        self.dispatch(pool, now)

    def cancel(self, entry: entries.Entry, now: float) -> None:
        """Removes a job whose caller has disconnected, waiting or running."""
        if entry.is_waiting:
            self._drop(entry, None)
        else:
            self.release(entry, now, is_complete=False)

    def expire(self, entry: entries.Entry, now: float) -> None:
        """Drops a waiting job whose deadline can no longer be met."""
        if entry.is_waiting:
            self._record_entry(entry, "dropped", "deadline_out_of_reach")
            self._drop(entry, self._admission.deadline_error(entry.job, now))

    def dispatch(self, pool: pool_lib.Pool, now: float) -> None:
        """Grants free slots of the pool to waiting jobs."""
        slots = self.capacity(pool.name, now)
        while pool.waiting and pool.running < slots:
            entry = pool.pop(now)
            job = entry.job
            if now > self._admission.latest_start_at(job):
                self._drop_late(pool, entry, now)
                continue
            self.peers.record_service(job, job.cost)
            self._record(job, pool, "granted", "next_in_order")
            entry.end_wait(entries.Status.GRANTED)

    def poll(self, now: float) -> None:
        """Grants slots that became free without a release, in all pools."""
        for pool in self._pools.values():
            if pool.waiting:
                self.dispatch(pool, now)

    def service_report(self, now: float) -> dict:
        """Returns the report of this process for its peers."""
        return self.peers.build_report(self._pools, now)

    def store_peer_report(
        self, incarnation: str, report: dict, now: float
    ) -> None:
        """Charges the service that a peer reports and stores its backlog."""
        self.peers.apply_report(incarnation, report, self._pools, now)
        self.poll(now)

    def waiting(self, name: str) -> int:
        """Returns the number of jobs waiting for the pool."""
        pool = self._pools.get(name)
        return pool.waiting if pool else 0

    def _wait_for_grant(
        self, entry: entries.Entry, granted: event.Event, now: float
    ) -> None:
        """Waits until the job is granted, dropped or past its latest start.

        The latest start depends on the latency estimates, so it is recomputed
        each time that half of the remaining time has passed.
        """
        try:
            while entry.is_waiting:
                remaining_s = self._admission.latest_start_at(entry.job) - now
                if remaining_s <= 0.0:
                    self.expire(entry, now)
                    return
                with eventlet.Timeout(
                    max(remaining_s / 2.0, MIN_WAIT_S), False
                ):
                    granted.wait()
                now = self._clock()
        except BaseException:
            # The caller disconnected. A concurrent grant is released.
            self.cancel(entry, self._clock())
            raise

    def _get_pool(self, name: str) -> pool_lib.Pool:
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = pool_lib.new_pool(name, self._cfg)
            policies.set_floors(pool.policy, self._floors)
        return pool

    def _estimate_wait_s(self, name: str, job: model.Job, now: float) -> float:
        if not self._capacity(name, now):
            return math.inf
        pool = self._pools.get(name)
        if pool is None:
            return 0.0
        return pool.expected_wait_s(job, max(1, self.capacity(name, now)), now)

    def _enforce_queue_limit(
        self, pool: pool_lib.Pool, newest: entries.Entry, now: float
    ) -> None:
        if not self._admission.is_enabled:
            return
        if pool.waiting <= self._cfg.max_queue:
            return
        dropped = policies.select_victim(pool.policy, newest)
        self._record_entry(dropped, "dropped", "queue_full")
        self._drop(dropped, self._admission.queue_full_error(dropped.job, now))

    def _drop_late(
        self, pool: pool_lib.Pool, entry: entries.Entry, now: float
    ) -> None:
        # Reverts the charge and the slot that `pop` assigned.
        pool.charge(entry, -entry.charged, now)
        entry.granted_at = now
        pool.finish(entry, now)
        self._add_upcoming(entry.job, -1.0)
        self._record(entry.job, pool, "dropped", "deadline_out_of_reach")
        entry.error = self._admission.deadline_error(entry.job, now)
        entry.end_wait(entries.Status.DROPPED)

    def _drop(
        self, entry: entries.Entry, error: exceptions.AdmissionError | None
    ) -> None:
        entry.error = error
        entry.status = entries.Status.DROPPED
        self._pools[entry.job.pool].drop(entry)
        self._add_upcoming(entry.job, -1.0)
        if error is not None:
            entry.end_wait(entries.Status.DROPPED)

    def _add_upcoming(self, job: model.Job, sign: float) -> None:
        for stage in job.remaining_stages:
            self._get_pool(stage.pool).add_upcoming(job, sign * stage.cost)

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
    own_incarnation: str = "",
    live_peers: shares.LivePeers | None = None,
    decisions: log.DecisionLog | None = None,
    clock: Callable[[], float] = time.monotonic,
) -> Scheduler:
    """Returns a scheduler over the given capacity.

    Args:
        capacity: Returns the slots of a pool in the zone.
        cfg: The section ``[scheduling]`` of the settings.
        own_incarnation: Incarnation of this process.
        live_peers: Returns the incarnations of the zone's live peers; if None,
            this process uses all slots.
        decisions: Log of grants and refusals.
        clock: Returns the monotonic time after a wait in ``acquire``.
    """
    peers = reports_lib.new_peer_reports(own_incarnation, live_peers)
    return Scheduler(capacity, cfg, peers, decisions, clock)
