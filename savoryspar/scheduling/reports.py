"""Service and backlog reports exchanged by the entry VMs of a zone."""

from collections.abc import Mapping
import heapq

from savoryspar import sheet
from savoryspar.scheduling import fair, model, policies, shares
from savoryspar.scheduling import pool as pool_lib

MAX_WORKSPACES_PER_RANK = 16
"""Workspaces whose service is reported, for each rank."""
MAX_NAMED_WORKSPACES = 4
"""Workspaces whose outstanding work is reported by name, for each pool and
rank."""
RECENT_DECAY = 0.7
"""Factor applied to the recent units of a workspace at each report."""
MIN_RECENT_UNITS = 0.1
"""Recent units below which the counter of a workspace is dropped."""
MAX_TOTALS = 512
"""Totals kept for a peer; above this, only those of its last report stay."""
STALE_AFTER_S = 3.0
"""Age above which a peer's report is not used to divide slots."""
CACHE_TTL_S = 0.05
"""Time for which the computed slots of this process are cached."""


class ServiceCounter:
    """Service of one workspace at one pool and rank by this process.

    Attributes:
        total: Units since the workspace became active; never decreases.
        recent: Units, decayed at each report, by which the workspaces to
            report are selected.
    """

    __slots__ = ("_net_units", "recent", "total")

    def __init__(self) -> None:
        self._net_units = 0.0
        self.total = 0.0
        self.recent = 0.0

    def add(self, units: float) -> None:
        """Adds units; negative ones correct an estimate."""
        self._net_units += units
        self.total = max(self.total, self._net_units)
        self.recent += units

    def decay(self) -> None:
        """Decays the recent units."""
        self.recent *= RECENT_DECAY


class PeerReport:
    """The last report of an entry VM.

    Attributes:
        sequence: Sequence number assigned by the sender.
        received_at: Monotonic time of receipt in seconds.
        backlogs: Backlog by pool.
        totals: Total service by rank, pool and workspace. Totals that a later
            report omits are kept, so that the next difference is correct.
    """

    __slots__ = ("backlogs", "received_at", "sequence", "totals")

    def __init__(
        self,
        sequence: int,
        received_at: float,
        backlogs: Mapping[str, shares.VmBacklog],
    ):
        self.sequence = sequence
        self.received_at = received_at
        self.backlogs = backlogs
        self.totals: dict[tuple[str, str, str], float] = {}


class PeerReports:
    """Builds the reports of this process and stores those of its peers.

    Attributes:
        floors: Floor of each rank as a fraction.
    """

    __slots__ = (
        "_cache",
        "_counters",
        "_last_reports",
        "_live_peers",
        "_own_incarnation",
        "_sequence",
        "floors",
    )

    def __init__(
        self, own_incarnation: str, live_peers: shares.LivePeers | None
    ):
        self.floors: Mapping[str, float] = dict.fromkeys(sheet.RANKS, 0.0)
        self._own_incarnation = own_incarnation
        self._live_peers = live_peers
        self._sequence = 0
        self._last_reports: dict[str, PeerReport] = {}
        self._counters: dict[tuple[str, str, str], ServiceCounter] = {}
        self._cache: dict[tuple[str, int], tuple[float, int]] = {}

    def connect(
        self, own_incarnation: str, live_peers: shares.LivePeers
    ) -> None:
        """Enables the division of slots among the zone's peers."""
        self._own_incarnation = own_incarnation
        self._live_peers = live_peers

    def record_service(self, job: model.Job, units: float) -> None:
        """Adds service to the totals of the next report."""
        if self._live_peers is None:
            return
        key = (job.rank, job.pool, job.workspace)
        counter = self._counters.get(key)
        if counter is None:
            counter = self._counters[key] = ServiceCounter()
        counter.add(units)

    def build_report(
        self, pools: Mapping[str, pool_lib.Pool], now: float
    ) -> dict:
        """Returns a new report of this process.

        Service is reported as a running total, because heartbeats may skip a
        report. This process computes its own slots from the report that its
        peers receive, not from newer figures, so that all VMs compute the same
        division.
        """
        self._sequence += 1
        service: dict[str, dict[str, dict[str, float]]] = {}
        for rank in sheet.RANKS:
            busiest = heapq.nlargest(
                MAX_WORKSPACES_PER_RANK,
                (i for i in self._counters.items() if i[0][0] == rank),
                key=lambda item: item[1].recent,
            )
            for (_, pool, workspace), counter in busiest:
                by_pool = service.setdefault(rank, {})
                by_pool.setdefault(pool, {})[workspace] = round(
                    counter.total, 1
                )
        self._evict_inactive()
        body = {
            "sequence": self._sequence,
            "service": service,
            "backlog": {
                name: [pool.running + pool.waiting, _backlog(pool)]
                for name, pool in pools.items()
                if pool.running or pool.waiting
            },
        }
        self._last_reports[self._own_incarnation] = _decode(body, now)
        self._cache.clear()
        return body

    def _evict_inactive(self) -> None:
        for counter in self._counters.values():
            counter.decay()
        self._counters = {
            key: counter
            for key, counter in self._counters.items()
            if counter.recent > MIN_RECENT_UNITS
        }

    def apply_report(
        self,
        incarnation: str,
        body: Mapping,
        pools: Mapping[str, pool_lib.Pool],
        now: float,
    ) -> None:
        """Applies a peer's report; outdated or repeated ones are ignored."""
        last = self._last_reports.get(incarnation)
        if last is not None and body["sequence"] <= last.sequence:
            return
        report = self._last_reports[incarnation] = _decode(body, now)
        self._cache.clear()
        totals = _totals(body)
        if last is not None:
            for key, total in totals.items():
                units = total - last.totals.get(key, 0.0)
                # A smaller total means that the peer restarted the count
                # after the workspace was idle.
                _charge(pools, key, units if units >= 0.0 else total)
            if len(last.totals) <= MAX_TOTALS:
                report.totals.update(last.totals)
        report.totals.update(totals)

    def own_slots(self, pool: str, capacity: int, now: float) -> int:
        """Returns the slots of the pool that this process may use.

        Args:
            pool: Name of the pool.
            capacity: Slots of the pool in the zone.
            now: Monotonic time in seconds.
        """
        if self._live_peers is None:
            return capacity
        cached = self._cache.get((pool, capacity))
        if cached is not None and cached[0] > now:
            return cached[1]
        members = {self._own_incarnation, *self._live_peers(now)}
        for departed in self._last_reports.keys() - members:
            del self._last_reports[departed]
        fresh = {
            name: report.backlogs.get(pool, shares.VmBacklog(0, {}))
            for name, report in self._last_reports.items()
            if now - report.received_at <= STALE_AFTER_S
        }
        slots = shares.divide(capacity, members, fresh, self.floors)[
            self._own_incarnation
        ]
        self._cache[(pool, capacity)] = (now + CACHE_TTL_S, slots)
        return slots


def _totals(body: Mapping) -> dict[tuple[str, str, str], float]:
    return {
        (rank, pool, workspace): float(total)
        for rank, by_pool in body["service"].items()
        for pool, by_workspace in by_pool.items()
        for workspace, total in by_workspace.items()
    }


def _charge(
    pools: Mapping[str, pool_lib.Pool],
    key: tuple[str, str, str],
    units: float,
) -> None:
    rank, name, workspace = key
    pool = pools.get(name)
    if pool is not None and isinstance(pool.policy, policies.FairPolicy):
        pool.policy.queues[rank].charge_remote(workspace, units)


def _backlog(pool: pool_lib.Pool) -> dict[str, dict[str, list[float]]]:
    if not isinstance(pool.policy, policies.FairPolicy):
        return {}
    return {
        rank: _rank_backlog(queue)
        for rank, queue in pool.policy.queues.items()
        if queue.waiting or queue.accounts
    }


def _rank_backlog(queue: fair.FairQueue) -> dict[str, list[float]]:
    outstanding = [
        (account.units + account.in_flight, account.share, account.name)
        for account in queue.accounts.values()
        if not account.is_idle
    ]
    named = heapq.nlargest(MAX_NAMED_WORKSPACES, outstanding)
    backlog = {name: [share, round(units, 1)] for units, share, name in named}
    rest = sum(item[1] for item in outstanding) - sum(i[1] for i in named)
    if len(outstanding) > len(named):
        backlog[shares.OTHER_WORKSPACES] = [round(rest, 3), 1.0]
    return backlog


def _decode(body: Mapping, now: float) -> PeerReport:
    return PeerReport(
        int(body["sequence"]),
        now,
        {
            name: shares.VmBacklog(
                int(demand),
                {
                    rank: {
                        workspace: (float(share), float(units))
                        for workspace, (share, units) in by_name.items()
                    }
                    for rank, by_name in by_rank.items()
                },
            )
            for name, (demand, by_rank) in body["backlog"].items()
        },
    )


def new_peer_reports(
    own_incarnation: str, live_peers: shares.LivePeers | None
) -> PeerReports:
    """Returns peer reports without any report received."""
    return PeerReports(own_incarnation, live_peers)
