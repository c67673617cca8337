"""In which availability zone the pieces of a stage are made.

Each VM keeps the waits that gatherers told it. A told wait fades to what is
told of the pool elsewhere: a zone that was not asked lately is about as busy as
the others, and a call there takes as long as anywhere.
"""

from collections.abc import Iterable, Mapping, Sequence

from savoryspar.stages import gatherers

REMOTE_COST_S = 0.08
"""Wait by which a zone of another region must be better: two round trips of
40 ms, one of them while the stage server fetches the inputs in its slot."""
NEAR_COST_S = 0.02
"""The same for another zone of the own region: round trips of 2 ms, and
results that cross a link."""
HALF_LIFE_S = 0.7
"""Age at which a told wait counts half, and the mean of all zones half."""
MEAN_HALF_LIFE_S = 1.5
"""Age at which half of a pool's mean wait is believed gone. While waits are
believed to be long, requests are refused before any gatherer is asked, so a
belief that did not fade would never be corrected."""
MEAN_WEIGHT = 0.2
"""Weight of the newest told wait in the mean of a pool: about five calls."""
UNKNOWN_PART = 0.8
"""Part of the mean wait that is expected in a zone that was not asked lately.
Below 1, so that a zone whose wait is far above the others' is left."""


class _Told:
    """The wait that a gatherer told last.

    Attributes:
        idle_s: Time of the group's pieces in an idle pool.
        above_s: How much longer the group had to wait.
        at: When it was told; monotonic seconds.
    """

    __slots__ = ("above_s", "at", "idle_s")

    def __init__(self, idle_s: float, above_s: float, at: float):
        self.idle_s = idle_s
        self.above_s = above_s
        self.at = at


class ZoneWaits:
    """Waits that were told, by pool, zone and rank."""

    __slots__ = ("_means", "_regions", "_told")

    def __init__(self, regions: Mapping[str, str]):
        self._regions = regions
        self._told: dict[tuple[str, str, int], _Told] = {}
        # Mean wait above an idle pool's and when it was told last.
        self._means: dict[tuple[str, int], tuple[float, float]] = {}

    def note(
        self,
        pool: str,
        zone: str,
        rank: int,
        idle_s: float,
        wait_s: float,
        now: float,
    ) -> None:
        """Takes the wait that a gatherer told.

        Args:
            pool: Stage pool.
            zone: Zone of the gatherer's servers.
            rank: 0 is the most urgent.
            idle_s: Time of the group's pieces in an idle pool.
            wait_s: Predicted time until a new group of the kind is done.
            now: Monotonic time in seconds.
        """
        above_s = max(0.0, wait_s - idle_s)
        self._told[pool, zone, rank] = _Told(idle_s, above_s, now)
        mean_s = self._mean_s(pool, rank, above_s, now)
        mean_s += MEAN_WEIGHT * (above_s - mean_s)
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
            rank: 0 is the most urgent.
            idle_s: Time of the group's pieces in an idle pool.
            near: Zones of the inputs and of the server that needs the results.
            key: Spreads groups over zones that are equally good.
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
        """Returns the shortest wait for a pool, 0 if none was ever told."""
        return min(
            (
                self.cost_s(pool, zone, rank, told.idle_s, near, now)
                for zone in zones
                if (told := self._told.get((pool, zone, rank)))
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
        """Returns the expected time of a group in a zone, transfers included.

        Args:
            pool: Stage pool.
            zone: Zone of its servers.
            rank: 0 is the most urgent.
            idle_s: Time of the group's pieces in an idle pool.
            near: Zones of the inputs and of the server that needs the results.
            now: Monotonic time in seconds.
        """
        above_s = UNKNOWN_PART * self._mean_s(pool, rank, 0.0, now)
        told = self._told.get((pool, zone, rank))
        if told is not None:
            newness = 0.5 ** ((now - told.at) / HALF_LIFE_S)
            above_s += newness * (told.above_s - above_s)
        return idle_s + above_s + sum(self._apart_s(zone, n) for n in near)

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
        """Returns the zone of the server that gets a request's results.

        Args:
            home: Zone in which servers have the shared parts of its prompt.
            results_zone: Zone in which most bytes of the results lie.
            prefill_cost_s: Time to read the shared parts again elsewhere.
        """
        return (
            home
            if prefill_cost_s > self._apart_s(home, results_zone)
            else results_zone
        )

    def _apart_s(self, zone: str, other: str) -> float:
        if zone == other or not other:
            return 0.0
        if self._regions.get(zone, zone) == self._regions.get(other, other):
            return NEAR_COST_S
        return REMOTE_COST_S


def new_zone_waits(regions: Mapping[str, str]) -> ZoneWaits:
    """Returns waits of which none is known.

    Args:
        regions: Region of each availability zone.
    """
    return ZoneWaits(regions)
