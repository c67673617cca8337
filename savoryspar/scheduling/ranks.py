"""Selects the rank to serve next: the most urgent, subject to floors."""

from collections.abc import Mapping, Sequence
import math

from savoryspar import sheet

MIN_WINDOW_S = 0.001


class RankMeter:
    """Compares the service of each rank with its floor, with decay over time.

    A floor is a fraction of the service of the pool while both the rank and a
    more urgent one are backlogged. An idle rank therefore earns no credit, and
    service while no more urgent rank was waiting does not count towards the
    floor. If it counted, a burst of urgent work would starve the rank until
    the window had passed.

    Attributes:
        floors: Floor of each rank as a fraction.
    """

    __slots__ = (
        "_contended_units",
        "_floor_units",
        "_updated_at",
        "_window_s",
        "floors",
    )

    def __init__(self, window_s: float):
        self.floors: Mapping[str, float] = dict.fromkeys(sheet.RANKS, 0.0)
        self._window_s = window_s
        self._updated_at = 0.0
        self._contended_units = dict.fromkeys(sheet.RANKS, 0.0)
        self._floor_units = dict.fromkeys(sheet.RANKS, 0.0)

    def charge(
        self,
        rank: str,
        units: float,
        backlogged: Sequence[str],
        is_floor_grant: bool,
        now: float,
    ) -> None:
        """Records service of a rank.

        Args:
            rank: Rank that was served.
            units: Work units; negative for a correction.
            backlogged: Ranks with waiting jobs, the most urgent one first.
            is_floor_grant: Whether more urgent work was waiting at the grant.
            now: Monotonic time in seconds.
        """
        elapsed_s = max(0.0, now - self._updated_at)
        factor = math.exp(-elapsed_s / max(self._window_s, MIN_WINDOW_S))
        self._updated_at = now
        for name in sheet.RANKS:
            self._contended_units[name] *= factor
            self._floor_units[name] *= factor
        for name in backlogged[1:]:
            self._contended_units[name] = max(
                0.0, self._contended_units[name] + units
            )
        if is_floor_grant:
            self._floor_units[rank] = max(0.0, self._floor_units[rank] + units)

    def select(self, backlogged: Sequence[str]) -> str:
        """Returns the rank to serve next.

        This is the rank furthest below its floor, or the most urgent one when
        all floors are met.

        Args:
            backlogged: Ranks with waiting jobs, the most urgent one first.
        """
        return min(
            backlogged, key=lambda rank: min(1.0, self._floor_progress(rank))
        )

    def _floor_progress(self, rank: str) -> float:
        guaranteed = self.floors[rank] * self._contended_units[rank]
        return self._floor_units[rank] / guaranteed if guaranteed > 0.0 else 1.0
