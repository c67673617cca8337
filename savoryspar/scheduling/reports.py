"""Service and backlog that the entry VMs of a zone tell each other."""

from collections.abc import Mapping
import heapq

from savoryspar import sheet
from savoryspar.scheduling import fair, model, policies, shares
from savoryspar.scheduling import pool as pool_lib

HEAVY_PER_RANK = 16
"""Workspaces whose service is reported, a rank."""
NAMED_PER_POOL = 4
"""Workspaces whose outstanding work is reported, a pool and rank."""
RECENT_DECAY = 0.7
MIN_RECENT_UNITS = 0.1
MAX_TOTALS = 512
"""Totals of a peer that are kept; beyond it only those last reported are."""
STALE_S = 3.0
CACHE_S = 0.05
"""How long a division of slots is reused."""


class Served:
    """Service of one workspace at one pool and rank by this process.

    Attributes:
        total: Units since the workspace became active; never decreases.
        recent: Units of late, decayed at each report, to find heavy ones.
    """

    __slots__ = ("_net", "recent", "total")

    def __init__(self) -> None:
        self._net = 0.0
        self.total = 0.0
        self.recent = 0.0

    def add(self, units: float) -> None:
        """Adds units; negative ones correct an estimate."""
        self._net += units
        self.total = max(self.total, self._net)
        self.recent += units

    def decay(self) -> None:
        """Lets what was recent count less."""
        self.recent *= RECENT_DECAY


class PeerReport:
    """The last report of a peer.

    Attributes:
        sequence: Number of the report at its sender.
        taken_at: Monotonic time in seconds at which it was taken.
        backlogs: Backlog by pool.
        totals: Service by rank, pool and workspace; it is kept when a later
            report leaves it out, so that a gap loses nothing.
    """

    __slots__ = ("backlogs", "sequence", "taken_at", "totals")

    def __init__(
        self,
        sequence: int,
        taken_at: float,
        backlogs: Mapping[str, shares.VmBacklog],
    ):
        self.sequence = sequence
        self.taken_at = taken_at
        self.backlogs = backlogs
        self.totals: dict[tuple[str, str, str], float] = {}


class PeerReports:
    """Builds the own report and keeps those of the peers.

    Attributes:
        floors: Floor of each rank as a fraction.
    """

    __slots__ = (
        "_cache",
        "_last",
        "_live_peers",
        "_own",
        "_sequence",
        "_served",
        "floors",
    )

    def __init__(self, own: str, live_peers: shares.LivePeers | None):
        self.floors: Mapping[str, float] = dict.fromkeys(sheet.RANKS, 0.0)
        self._own = own
        self._live_peers = live_peers
        self._sequence = 0
        self._last: dict[str, PeerReport] = {}
        self._served: dict[tuple[str, str, str], Served] = {}
        self._cache: dict[tuple[str, int], tuple[float, int]] = {}

    def connect(self, own: str, live_peers: shares.LivePeers) -> None:
        """Takes the zone's peers into account from now on."""
        self._own = own
        self._live_peers = live_peers

    def served(self, job: model.Job, units: float) -> None:
        """Counts service for the next report."""
        if self._live_peers is None:
            return
        key = (job.rank, job.pool, job.workspace)
        served = self._served.get(key)
        if served is None:
            served = self._served[key] = Served()
        served.add(units)

    def report(self, pools: Mapping[str, pool_lib.Pool], now: float) -> dict:
        """Returns the own report and starts the next one.

        Service is a running total, because heartbeats may skip a report.
        The own slots follow from the report that peers get, not from newer
        figures, so that all VMs compute alike.
        """
        self._sequence += 1
        served: dict[str, dict[str, dict[str, float]]] = {}
        for rank in sheet.RANKS:
            heavy = heapq.nlargest(
                HEAVY_PER_RANK,
                (i for i in self._served.items() if i[0][0] == rank),
                key=lambda item: item[1].recent,
            )
            for (_, pool, workspace), item in heavy:
                by_pool = served.setdefault(rank, {})
                by_pool.setdefault(pool, {})[workspace] = round(item.total, 1)
        self._forget()
        body = {
            "sequence": self._sequence,
            "service": served,
            "backlog": {
                name: [pool.running + pool.waiting, _backlog(pool)]
                for name, pool in pools.items()
                if pool.running or pool.waiting
            },
        }
        self._last[self._own] = _decode(body, now)
        self._cache.clear()
        return body

    def _forget(self) -> None:
        for served in self._served.values():
            served.decay()
        self._served = {
            key: served
            for key, served in self._served.items()
            if served.recent > MIN_RECENT_UNITS
        }

    def take(
        self,
        incarnation: str,
        body: Mapping,
        pools: Mapping[str, pool_lib.Pool],
        now: float,
    ) -> None:
        """Takes a peer's report; one that was taken before is ignored."""
        last = self._last.get(incarnation)
        if last is not None and body["sequence"] <= last.sequence:
            return
        report = self._last[incarnation] = _decode(body, now)
        self._cache.clear()
        totals = _totals(body)
        if last is not None:
            for key, total in totals.items():
                units = total - last.totals.get(key, 0.0)
                # A smaller total was counted anew after an idle time.
                _charge(pools, key, units if units >= 0.0 else total)
            if len(last.totals) <= MAX_TOTALS:
                report.totals.update(last.totals)
        report.totals.update(totals)

    def own_slots(self, pool: str, capacity: int, now: float) -> int:
        """Returns the own part of a pool's slots."""
        if self._live_peers is None:
            return capacity
        cached = self._cache.get((pool, capacity))
        if cached is not None and cached[0] > now:
            return cached[1]
        members = {self._own, *self._live_peers(now)}
        for gone in self._last.keys() - members:
            del self._last[gone]
        fresh = {
            name: report.backlogs.get(pool, shares.VmBacklog(0, {}))
            for name, report in self._last.items()
            if now - report.taken_at <= STALE_S
        }
        slots = shares.divide(capacity, members, fresh, self.floors)[self._own]
        self._cache[(pool, capacity)] = (now + CACHE_S, slots)
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
    named = heapq.nlargest(NAMED_PER_POOL, outstanding)
    backlog = {name: [share, round(units, 1)] for units, share, name in named}
    rest = sum(item[1] for item in outstanding) - sum(i[1] for i in named)
    if len(outstanding) > len(named):
        backlog[shares.REST] = [round(rest, 3), 1.0]
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
    own: str, live_peers: shares.LivePeers | None
) -> PeerReports:
    """Returns reports of a zone without peers yet."""
    return PeerReports(own, live_peers)
