"""Choice of the groups that a slow server leaves to faster ones.

A call at a slow server lasts longer, so a group may miss its objective there
and still meet it at a faster server that is free soon. A slow server leaves
such groups in the queue. It takes those that meet their objective there, and
those that no server can finish in time.
"""

from collections.abc import Sequence
import math

from savoryspar import fleet
from savoryspar.stages import model

SLOW_RATIO = 1.25
"""Ratio of the paces of two servers from which one counts as slower; the
measured paces of equal servers differ by less."""
MIN_RETRY_S = 0.02
"""Shortest time between two choices at a server that leaves all groups."""


class ServerOutlook:
    """Expected state of a server for its next call.

    Attributes:
        free_in_s: Time until its running call ends.
        pace: Expected pace of its next call.
        room_bytes: Free memory for results after its running call.
    """

    __slots__ = ("free_in_s", "pace", "room_bytes")

    def __init__(self, free_in_s: float, pace: float, room_bytes: float):
        self.free_in_s = free_in_s
        self.pace = pace
        self.room_bytes = room_bytes


class _Plan:
    """Places and memory of a server's next call that are not taken yet."""

    __slots__ = ("_ends_at", "_places", "_room_bytes")

    def __init__(self, ends_at: float, places: int, room_bytes: float):
        self._ends_at = ends_at
        self._places = places
        self._room_bytes = room_bytes

    def take(self, group: model.Group) -> bool:
        """Takes a group if it fits and meets its objective."""
        pieces = len(group.waiting)
        size = pieces * group.result_bytes
        if (
            self._ends_at > group.objective_at
            or pieces > self._places
            or size > self._room_bytes
        ):
            return False
        self._places -= pieces
        self._room_bytes -= size
        return True


def groups_to_leave(
    ordered: Sequence[model.Group],
    here: ServerOutlook,
    others: Sequence[ServerOutlook],
    pool: fleet.StagePool,
    now: float,
) -> set[model.Group]:
    """Returns the groups that a server leaves to faster ones.

    Every group is planned for this server if it meets its objective there, and
    else for the faster server whose call ends first. A call is taken to be as
    full as the queue allows.

    Args:
        ordered: Groups with waiting pieces in queue order.
        here: The server that is free now.
        others: The other usable servers of the queue.
        pool: Batch size and call times of one server.
        now: Monotonic time in seconds.
    """
    faster = [o for o in others if o.pace * SLOW_RATIO <= here.pace]
    if not faster:
        return set()
    pieces = min(pool.batch, sum(len(group.waiting) for group in ordered))
    call_s = pool.call_s + pieces * pool.piece_s

    def plan(server: ServerOutlook) -> _Plan:
        ends_at = now + server.free_in_s + server.pace * call_s
        return _Plan(ends_at, pool.batch, server.room_bytes)

    own = plan(here)
    plans = [
        plan(other)
        for other in sorted(faster, key=lambda o: o.free_in_s + o.pace * call_s)
    ]
    own_ends_at = now + here.free_in_s + here.pace * call_s
    left = set()
    for group in ordered:
        if own.take(group):
            continue
        is_planned = any(other.take(group) for other in plans)
        if is_planned and group.objective_at < own_ends_at:
            left.add(group)
    return left


def retry_s(others: Sequence[ServerOutlook], limit_s: float) -> float:
    """Returns when to choose again after all groups were left to others.

    Args:
        others: The other usable servers of the queue.
        limit_s: Longest wait in seconds.
    """
    free_in_s = min((o.free_in_s for o in others), default=math.inf)
    return min(limit_s, max(MIN_RETRY_S, free_in_s))
