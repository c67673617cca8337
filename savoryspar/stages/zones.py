"""Selection of the availability zone in which the pieces of a stage run.

Each VM stores the waits that gatherers report. A reported wait decays towards
the pool's mean wait over all zones, because a zone without a recent report is
assumed to be about as busy as the others.
"""

from collections.abc import Iterable, Mapping, Sequence

from savoryspar.stages import gatherers

REMOTE_COST_S = 0.08
"""Transfer cost to a zone of another region: two round trips of 40 ms, one of
them while the stage server fetches the inputs and occupies a slot."""
NEAR_COST_S = 0.02
"""Transfer cost to another zone of the same region: round trips of 2 ms and the
transfer of the results over a link between zones."""
HALF_LIFE_S = 0.7
"""Age at which a reported wait and the mean of all zones have equal weight."""
MEAN_HALF_LIFE_S = 1.5
"""Half-life of a pool's mean wait. While the mean is high, requests are refused
before any gatherer is queried, so without the decay no report would correct
it."""
MEAN_WEIGHT = 0.2
"""Weight of a new report in a pool's mean wait; spans about five calls."""
UNREPORTED_FACTOR = 0.8
"""Expected wait in a zone without a recent report, as a share of the mean wait.
Below 1, so that groups leave a zone whose wait is far above the others'."""


class _WaitReport:
    """The last wait reported by a gatherer.

    Attributes:
        idle_s: Time to run the group's pieces in an idle pool.
        excess_s: Reported wait in excess of ``idle_s``.
        at: Time of the report; monotonic seconds.
    """

    __slots__ = ("at", "excess_s", "idle_s")

    def __init__(self, idle_s: float, excess_s: float, at: float):
        self.idle_s = idle_s
        self.excess_s = excess_s
        self.at = at


class ZoneWaits:
    """Reported waits by pool, zone and rank."""

    __slots__ = ("_means", "_regions", "_reports")

    def __init__(self, regions: Mapping[str, str]):
        self._regions = regions
        self._reports: dict[tuple[str, str, int], _WaitReport] = {}
        # Mean excess wait and the time of the last report.
        self._means: dict[tuple[str, int], tuple[float, float]] = {}

    def record(
        self,
        pool: str,
        zone: str,
        rank: int,
        idle_s: float,
        wait_s: float,
        now: float,
    ) -> None:
        """Records the wait that a gatherer reported.

        Args:
            pool: Stage pool.
            zone: Zone of the gatherer's servers.
            rank: Rank of the group; 0 is the most urgent.
            idle_s: Time to run the group's pieces in an idle pool.
            wait_s: Predicted time until a new group of the same kind is done.
            now: Monotonic time in seconds.
        """
        excess_s = max(0.0, wait_s - idle_s)
        self._reports[pool, zone, rank] = _WaitReport(idle_s, excess_s, now)
        mean_s = self._mean_s(pool, rank, excess_s, now)
        mean_s += MEAN_WEIGHT * (excess_s - mean_s)
        self._means[pool, rank] = (mean_s, now)

    def choose(
        self,
        pool: str,
        zones: Iterable[str],
        rank: int,
        idle_s: float,
        near: Sequence[str],
        key: str,
        now: float,
    ) -> str:
        """Returns the zone in which a group is expected to be done first.

        Args:
            pool: Stage pool.
            zones: Zones that have a server of the pool; at least one.
            rank: Rank of the group; 0 is the most urgent.
            idle_s: Time to run the group's pieces in an idle pool.
            near: Zones of the inputs and of the server that needs the results.
            key: Hash key that spreads groups over zones of equal cost.
            now: Monotonic time in seconds.
        """
        return min(
            zones,
            key=lambda zone: (
                self.cost_s(pool, zone, rank, idle_s, near, now),
                gatherers.rendezvous(zone, key),
            ),
        )

    def shortest_s(
        self,
        pool: str,
        zones: Iterable[str],
        rank: int,
        near: Sequence[str],
        now: float,
    ) -> float:
        """Returns the shortest wait for a pool, 0 if none was reported."""
        return min(
            (
                self.cost_s(pool, zone, rank, report.idle_s, near, now)
                for zone in zones
                if (report := self._reports.get((pool, zone, rank)))
            ),
            default=0.0,
        )

    def cost_s(
        self,
        pool: str,
        zone: str,
        rank: int,
        idle_s: float,
        near: Sequence[str],
        now: float,
    ) -> float:
        """Returns the expected time of a group in a zone, including transfers.

        Args:
            pool: Stage pool.
            zone: Zone of the pool's servers.
            rank: Rank of the group; 0 is the most urgent.
            idle_s: Time to run the group's pieces in an idle pool.
            near: Zones of the inputs and of the server that needs the results.
            now: Monotonic time in seconds.
        """
        excess_s = UNREPORTED_FACTOR * self._mean_s(pool, rank, 0.0, now)
        report = self._reports.get((pool, zone, rank))
        if report is not None:
            weight = 0.5 ** ((now - report.at) / HALF_LIFE_S)
            excess_s += weight * (report.excess_s - excess_s)
        return idle_s + excess_s + sum(self._transfer_s(zone, n) for n in near)

    def report_age_s(
        self, pool: str, zone: str, rank: int, now: float
    ) -> float | None:
        """Returns the age of the last report, None without one."""
        report = self._reports.get((pool, zone, rank))
        return None if report is None else now - report.at

    def _mean_s(
        self, pool: str, rank: int, default_s: float, now: float
    ) -> float:
        if (pool, rank) not in self._means:
            return default_s
        mean_s, at = self._means[pool, rank]
        return mean_s * 0.5 ** ((now - at) / MEAN_HALF_LIFE_S)

    def server_zone(
        self, home: str, results_zone: str, prefill_cost_s: float
    ) -> str:
        """Returns the zone of the server that should receive the results.

        Args:
            home: Zone whose servers have the shared prompt parts cached.
            results_zone: Zone that holds most bytes of the results.
            prefill_cost_s: Time to prefill the shared prompt parts elsewhere.
        """
        return (
            home
            if prefill_cost_s > self._transfer_s(home, results_zone)
            else results_zone
        )

    def _transfer_s(self, zone: str, other: str) -> float:
        if zone == other or not other:
            return 0.0
        if self._regions.get(zone, zone) == self._regions.get(other, other):
            return NEAR_COST_S
        return REMOTE_COST_S


def new_zone_waits(regions: Mapping[str, str]) -> ZoneWaits:
    """Creates an empty set of reported waits.

    Args:
        regions: Region of each availability zone.
    """
    return ZoneWaits(regions)
