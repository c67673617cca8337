"""Shares of calls that groups took while others waited."""

from collections.abc import Mapping

SHARE_WEIGHT = 0.1
"""Weight of a new call in the mean share of each rank."""


class CallShares:
    """Recent mean shares of calls that groups took while others waited.

    Attributes:
        on_time: Share of the groups that could still meet their objective.
    """

    __slots__ = ("_by_rank", "on_time")

    def __init__(self) -> None:
        self._by_rank: dict[int, float] = {}
        self.on_time = 0.0

    def record(
        self, counts: Mapping[int, int], on_time: int, is_contested: bool
    ) -> None:
        """Updates the shares after a call.

        Args:
            counts: Pieces in the call by rank.
            on_time: Pieces of groups that can still meet their objective.
            is_contested: Whether another group waited for a part of the call.
        """
        size = sum(counts.values())
        for rank in self._by_rank.keys() | counts.keys():
            share = counts.get(rank, 0) / size if is_contested else 0.0
            known = self._by_rank.get(rank, 0.0)
            self._by_rank[rank] = known + SHARE_WEIGHT * (share - known)
        share = on_time / size if is_contested else 0.0
        self.on_time += SHARE_WEIGHT * (share - self.on_time)

    def above(self, rank: int) -> float:
        """Returns the share that more urgent ranks took."""
        return sum(p for other, p in self._by_rank.items() if other < rank)


def new_call_shares() -> CallShares:
    """Returns shares without calls."""
    return CallShares()
