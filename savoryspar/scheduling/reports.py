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
STALE_S = 3.0
CACHE_S = 0.05
"""How long a division of slots is reused."""


class PeerReport:
    """The last report of a peer.

    Attributes:
        sequence: Number of the report at its sender.
        taken_at: Monotonic time in seconds at which it was taken.
        backlogs: Backlog by pool.
    """

    __slots__ = ("backlogs", "sequence", "taken_at")

    def __init__(
        self,
        sequence: int,
        taken_at: float,
        backlogs: Mapping[str, shares.VmBacklog],
    ):
        self.sequence = sequence
        self.taken_at = taken_at
        self.backlogs = backlogs


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
        self._served: dict[tuple[str, str, str], float] = {}
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
        self._served[key] = self._served.get(key, 0.0) + units

    def report(self, pools: Mapping[str, pool_lib.Pool], now: float) -> dict:
        """Returns the own report and starts the next one.

        The own slots follow from the report that peers get, not from newer
        figures, so that all VMs compute alike.
        """
        self._sequence += 1
        served: dict[str, dict[str, dict[str, float]]] = {}
        for rank in sheet.RANKS:
            heavy = heapq.nlargest(
                HEAVY_PER_RANK,
                (i for i in self._served.items() if i[0][0] == rank),
                key=lambda item: item[1],
            )
            for (_, pool, workspace), units in heavy:
                by_pool = served.setdefault(rank, {})
                by_pool.setdefault(pool, {})[workspace] = round(units, 3)
        self._served.clear()
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
        self._last[incarnation] = _decode(body, now)
        self._cache.clear()
        for rank, by_pool in body["service"].items():
            for name, by_workspace in by_pool.items():
                pool = pools.get(name)
                if pool is None:
                    continue
                if isinstance(pool.policy, policies.FairPolicy):
                    queue = pool.policy.queues[rank]
                    for workspace, units in by_workspace.items():
                        queue.charge_remote(workspace, units)

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
