"""Share of a pool that each rank needs, from recent arrivals.

A group with small results passes by groups that wait for memory, so its wait is
short however many of its kind arrive. Each piece still makes its call longer
for the more urgent groups beside it. While such groups come late, less urgent
ones with small results are therefore admitted only up to what the more urgent
ranks leave, and at least to a quarter of the pool.
"""

import math

HALF_LIFE_S = 1.0
"""Half-life of recorded work; a few calls, and short beside a burst."""
MIN_SHARE = 0.25
"""Share of a pool that is left to less urgent ranks in any case."""


class Demand:
    """Recent work by rank, as a share of the time of one server."""

    __slots__ = ("_admitted", "_at", "_offered")

    def __init__(self) -> None:
        # Decayed seconds of work, by rank.
        self._offered: dict[int, float] = {}
        self._admitted: dict[int, float] = {}
        self._at = 0.0

    def record(
        self, rank: int, work_s: float, is_admitted: bool, now: float
    ) -> None:
        """Records a group that was submitted.

        Args:
            rank: Rank of the group; 0 is the most urgent.
            work_s: Time of a server that it needs, in seconds.
            is_admitted: Whether it was admitted.
            now: Monotonic time in seconds.
        """
        self._decay(now)
        records = [self._offered]
        if is_admitted:
            records.append(self._admitted)
        for record in records:
            record[rank] = record.get(rank, 0.0) + work_s

    def excess_s(
        self, rank: int, work_s: float, servers: int, now: float
    ) -> float:
        """Returns when a group fits into what more urgent ranks leave to it.

        Args:
            rank: Rank of the group; 0 is the most urgent.
            work_s: Time of a server that it needs, in seconds.
            servers: Servers of the pool.
            now: Monotonic time in seconds.

        Returns:
            Seconds until the group fits if no other of its rank is admitted
            before it; 0 if it fits now.
        """
        self._decay(now)
        # Work at a constant rate adds up to its rate times this time.
        span_s = HALF_LIFE_S / math.log(2.0) * servers
        above = sum(
            offered for other, offered in self._offered.items() if other < rank
        )
        if not above:
            return 0.0
        allowed = max(MIN_SHARE, 1.0 - above / span_s)
        used = (self._admitted.get(rank, 0.0) + work_s) / span_s
        return HALF_LIFE_S * max(0.0, math.log2(used / allowed))

    def _decay(self, now: float) -> None:
        passed_s = max(0.0, now - self._at)
        self._at = max(now, self._at)
        factor = 0.5 ** (passed_s / HALF_LIFE_S)
        for record in (self._offered, self._admitted):
            for rank in record:
                record[rank] *= factor


def new_demand() -> Demand:
    """Returns a demand without arrivals."""
    return Demand()
