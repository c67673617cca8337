"""Chooses the rank that is served next: urgent first, above the floors."""

from collections.abc import Mapping, Sequence
import math

from savoryspar import sheet

MIN_WINDOW_S = 0.001


class RankMeter:
    """Service of each rank against its floor, over a decayed window.

    A floor is a share of the service that the pool gave while the rank and a
    more urgent one were backlogged. So a rank that was idle has no claim on
    the past, and what it got while nothing more urgent waited is not held
    against it: otherwise a flood of urgent work starved it until the window
    had passed.
    """

    __slots__ = ("_at", "_offered", "_received", "_window_s", "floors")

    def __init__(self, window_s: float):
        self.floors: Mapping[str, float] = dict.fromkeys(sheet.RANKS, 0.0)
        self._window_s = window_s
        self._at = 0.0
        self._offered = dict.fromkeys(sheet.RANKS, 0.0)
        self._received = dict.fromkeys(sheet.RANKS, 0.0)

    def charge(
        self,
        rank: str,
        units: float,
        backlogged: Sequence[str],
        is_floor: bool,
        now: float,
    ) -> None:
        """Counts service of a rank while others were backlogged.

        Args:
            rank: Rank that was served.
            units: Work units; negative for a correction.
            backlogged: Ranks with waiting jobs, the most urgent one first.
            is_floor: Whether more urgent work waited at the grant.
            now: Monotonic time in seconds.
        """
        elapsed_s = max(0.0, now - self._at)
        factor = math.exp(-elapsed_s / max(self._window_s, MIN_WINDOW_S))
        self._at = now
        for name in sheet.RANKS:
            self._offered[name] *= factor
            self._received[name] *= factor
        for name in backlogged[1:]:
            self._offered[name] = max(0.0, self._offered[name] + units)
        if is_floor:
            self._received[rank] = max(0.0, self._received[rank] + units)

    def select(self, backlogged: Sequence[str]) -> str:
        """Returns the rank to serve, of those given in the order of urgency.

        The rank furthest below its floor goes first, else the most urgent.
        """
        return min(backlogged, key=lambda rank: min(1.0, self._reached(rank)))

    def _reached(self, rank: str) -> float:
        due = self.floors[rank] * self._offered[rank]
        return self._received[rank] / due if due > 0.0 else 1.0
