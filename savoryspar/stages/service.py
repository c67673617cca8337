"""Recent service of workspaces at a stage pool, for the order within a rank.

Groups of workspaces that were served much more than the others lately go after
the others of their rank while the pool is contested. Old service decays, so
that no workspace is held back for long.
"""

import math

HALF_LIFE_S = 5.0
"""Half-life of recorded service; a burst of some seconds counts as a whole."""
UPDATE_INTERVAL_S = 0.2
"""Time between two updates of the levels; less than a call of most pools."""
MIN_SERVICE = 2.0
"""Service, in full calls, below which a workspace is not held back."""
MAX_LEVEL = 3
MIN_KEPT = 0.01
"""Service, in full calls, below which a workspace is forgotten."""
MAX_WORKSPACES = 4096
"""Workspaces that are kept; names come from peers."""


class WorkspaceService:
    """Decayed service by rank and workspace.

    The level of a workspace is 0 if it had less than twice the mean service of
    the others of its rank, 1 below four times, and so on.
    """

    __slots__ = ("_levels", "_served", "_updated_at")

    def __init__(self) -> None:
        self._served: dict[tuple[int, str], float] = {}
        self._levels: dict[tuple[int, str], int] = {}
        self._updated_at = 0.0

    def record(
        self, rank: int, workspace: str, calls: float, now: float
    ) -> None:
        """Records service.

        Args:
            rank: Rank of the group; 0 is the most urgent.
            workspace: Workspace of the group; empty if unknown, which is not
                recorded.
            calls: Share of a full call, or of a server's memory, that it took.
            now: Monotonic time in seconds.
        """
        key = (rank, workspace)
        if workspace and (
            key in self._served or len(self._served) < MAX_WORKSPACES
        ):
            self._served[key] = self._served.get(key, 0.0) + calls
        if now - self._updated_at >= UPDATE_INTERVAL_S:
            self._update(now)

    def level(self, rank: int, workspace: str) -> int:
        """Returns the level of a workspace; a lower one is served first."""
        return self._levels.get((rank, workspace), 0)

    def _update(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._updated_at) / HALF_LIFE_S)
        self._updated_at = now
        self._served = {
            key: calls * factor
            for key, calls in self._served.items()
            if calls * factor > MIN_KEPT
        }
        totals: dict[int, list[float]] = {}
        for (rank, _), calls in self._served.items():
            totals.setdefault(rank, []).append(calls)
        self._levels = {
            key: level
            for key, calls in self._served.items()
            if (level := _level(calls, totals[key[0]]))
        }


def _level(calls: float, of_rank: list[float]) -> int:
    if len(of_rank) < 2 or calls < MIN_SERVICE:
        return 0
    mean_of_others = (sum(of_rank) - calls) / (len(of_rank) - 1)
    return max(0, min(MAX_LEVEL, math.floor(math.log2(calls / mean_of_others))))


def new_workspace_service() -> WorkspaceService:
    """Returns a record without service."""
    return WorkspaceService()
