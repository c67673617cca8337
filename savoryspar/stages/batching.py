"""The order in which pieces that wait for a stage pool enter its calls.

A call costs a fixed time plus a time for each piece, so full calls serve
several times more than calls of single pieces. One queue therefore takes the
pieces of all entry VMs of a zone. Groups that can still meet their objective
go first, by rank and then by objective; groups that cannot are served from
what is left, before their deadline. Part of each call is kept for the groups
that a strict order by rank would starve.
"""

import collections
from collections.abc import Iterable, Iterator, Sequence
import math

from savoryspar import fleet
from savoryspar.stages import model

FAIR_SHARE = 0.25
"""Part of a call that goes by objective alone, whatever the rank."""

HOLD_WEIGHT = 0.1
"""Weight of the newest result in the mean time for which results are kept."""
TAKEN_WEIGHT = 0.1
"""Weight of the newest call in the part that each rank takes."""
MAX_TAKEN = 0.9
"""Part of the calls that work in time is believed to take at most."""
FIRST_HOLD_S = 0.8
"""Time for which a result is kept, before any was freed: a call of 0.3 s and
the time until an engine has read a long prompt."""


class PoolLoad:
    """What keeps the servers of a pool in one zone from new calls.

    Attributes:
        servers: Servers that work for the queue.
        free_in_s: Time until the first of them is free.
        used_bytes: Memory of the results that they keep.
        pace: Time that their calls take, as a factor of the expected one.
    """

    __slots__ = ("free_in_s", "pace", "servers", "used_bytes")

    def __init__(
        self,
        servers: int,
        free_in_s: float = 0.0,
        used_bytes: float = 0.0,
        pace: float = 1.0,
    ):
        self.servers = max(1, servers)
        self.free_in_s = free_in_s
        self.used_bytes = used_bytes
        self.pace = pace


class BatchQueue:
    """Groups that wait for the servers of one stage pool in one zone.

    Attributes:
        pool: How one server works.
        hold_s: Mean time for which the memory of a large result is in use.
    """

    __slots__ = ("_groups", "_taken", "_taken_in_time", "hold_s", "pool")

    def __init__(self, pool: fleet.StagePool):
        self.pool = pool
        self.hold_s = FIRST_HOLD_S
        # Part of contested calls that each rank took lately.
        self._taken: dict[int, float] = {}
        # Part that groups took which could still meet their objective.
        self._taken_in_time = 0.0
        self._groups: dict[tuple[str, int], model.Group] = {}

    def __len__(self) -> int:
        return sum(len(group.waiting) for group in self._groups.values())

    def add(self, group: model.Group) -> None:
        """Takes a group; one that waits already is replaced."""
        self._groups[group.request_id, group.stage] = group

    def cancel(self, request_id: str) -> list[model.Group]:
        """Removes and returns the groups of a request that nobody awaits."""
        keys = [key for key in self._groups if key[0] == request_id]
        return [self._groups.pop(key) for key in keys]

    def expire(self, now: float, load: PoolLoad) -> list[model.Group]:
        """Removes and returns groups that cannot be done in time.

        Args:
            now: Monotonic time in seconds.
            load: What keeps the servers busy.
        """
        late = [
            group
            for group, wait_s in self._waits(self._groups.values(), load, now)
            if group.waiting and group.deadline_at < now + wait_s
        ]
        for group in late:
            del self._groups[group.request_id, group.stage]
        return late

    def wait_s(self, group: model.Group, load: PoolLoad, now: float) -> float:
        """Predicts the time until a group would be done.

        Args:
            group: It may or may not be in the queue.
            load: What keeps the servers busy.
            now: Monotonic time in seconds.
        """
        urgency = self._urgency(group, now)
        ahead = [
            other
            for other in self._groups.values()
            if other is not group and self._urgency(other, now) <= urgency
        ]
        return self._wait_behind_s(ahead, group, load, now)

    def fresh_wait_s(
        self, like: model.Group, load: PoolLoad, now: float
    ) -> float:
        """Predicts the wait of a new group of the same kind.

        Unlike the group, which may be late, it would stand behind those only
        that can still meet their objective.
        """
        ahead = [
            group
            for group in self._groups.values()
            if group is not like
            and group.rank <= like.rank
            and self._is_in_time(group, now)
        ]
        return self._wait_behind_s(ahead, like, load, now)

    def _wait_behind_s(
        self,
        ahead: Sequence[model.Group],
        group: model.Group,
        load: PoolLoad,
        now: float,
    ) -> float:
        """Predicts the wait of a group behind others, in any order."""
        pieces, stored_bytes = _load([*ahead, group])
        return self._stretched_s(
            group, self._served_s(pieces, stored_bytes, load), now
        )

    def _waits(
        self, groups: Iterable[model.Group], load: PoolLoad, now: float
    ) -> Iterator[tuple[model.Group, float]]:
        """Yields groups in their order with the predicted time of each.

        Results that wait to be fetched fill the servers' memory, so the time
        for which they are kept limits a pool as much as its calls do.
        """
        pieces, stored_bytes = 0, 0
        for group in sorted(groups, key=lambda g: self._urgency(g, now)):
            pieces += len(group.waiting)
            stored_bytes += group.result_bytes * len(group.waiting)
            wait_s = self._served_s(pieces, stored_bytes, load)
            yield group, self._stretched_s(group, wait_s, now)

    def _served_s(
        self, pieces: int, stored_bytes: int, load: PoolLoad
    ) -> float:
        """Returns the time until so many pieces, the last of them, are done.

        The last call begins when a server is free and enough results are
        freed, whichever is later.
        """
        room_bytes = self.pool.room_bytes * load.servers
        calls, rest = divmod(max(0, pieces - 1), self.pool.batch * load.servers)
        calls_s = calls * self.call_s(self.pool.batch) * load.pace
        busy_s = load.free_in_s + calls_s
        missing_bytes = load.used_bytes + stored_bytes - room_bytes
        memory_s = max(0.0, missing_bytes) / room_bytes * self.hold_s
        own_s = self.call_s(math.ceil((rest + 1) / load.servers))
        return max(busy_s, memory_s) + own_s * load.pace

    def record_hold(self, size_bytes: int, hold_s: float) -> None:
        """Learns for how long the memory of a result was in use."""
        if size_bytes * self.pool.batch > self.pool.room_bytes / 4:
            self.hold_s += HOLD_WEIGHT * (hold_s - self.hold_s)

    def call_s(self, pieces: int) -> float:
        """Returns the expected time of a call."""
        return self.pool.call_s + pieces * self.pool.piece_s

    def fits(self, room_bytes: float) -> bool:
        """Tells whether some piece that waits fits into so much memory."""
        return any(
            group.waiting and group.result_bytes <= room_bytes
            for group in self._groups.values()
        )

    def next_call(
        self, now: float, room_bytes: float
    ) -> list[tuple[model.Group, model.Piece]]:
        """Takes the pieces of the next call, at most one batch.

        Args:
            now: Monotonic time in seconds.
            room_bytes: Memory for results that the server has left.
        """
        if not self.fits(room_bytes):
            return []
        by_rank = sorted(
            (g for g in self._groups.values() if g.waiting),
            key=lambda g: self._urgency(g, now),
        )
        by_objective = sorted(
            by_rank,
            key=lambda g: (not self._is_in_time(g, now), g.objective_at),
        )
        batch = self.pool.batch
        kept = math.floor(batch * FAIR_SHARE)
        call: list[tuple[model.Group, model.Piece]] = []
        room = _fill(call, by_objective, kept, batch, room_bytes)
        _fill(call, by_rank, batch, batch, room)
        self._note_taken(call, now)
        for group in {id(g): g for g, _ in call}.values():
            if not group.waiting:
                del self._groups[group.request_id, group.stage]
        return call

    def _note_taken(
        self, call: Sequence[tuple[model.Group, model.Piece]], now: float
    ) -> None:
        """Learns who takes the calls while others wait."""
        if not call:
            return
        is_contested = any(g.waiting for g in self._groups.values())
        counts = collections.Counter(group.rank for group, _ in call)
        in_time = sum(self._is_in_time(group, now) for group, _ in call)
        for rank in self._taken.keys() | counts.keys():
            part = counts[rank] / len(call) if is_contested else 0.0
            known = self._taken.get(rank, 0.0)
            self._taken[rank] = known + TAKEN_WEIGHT * (part - known)
        part = in_time / len(call) if is_contested else 0.0
        self._taken_in_time += TAKEN_WEIGHT * (part - self._taken_in_time)

    def _stretched_s(
        self, group: model.Group, wait_s: float, now: float
    ) -> float:
        """Returns a wait with the delay by later work that goes first.

        A group that will have missed its objective by then gets only what
        groups that can still meet theirs leave.
        """
        taken = sum(p for rank, p in self._taken.items() if rank < group.rank)
        taken = min(taken, 1.0 - FAIR_SHARE)
        if now + wait_s / (1.0 - taken) > group.objective_at:
            taken = max(taken, min(self._taken_in_time, MAX_TAKEN))
        return wait_s / (1.0 - taken)

    def _urgency(self, group: model.Group, now: float) -> tuple:
        return (
            not self._is_in_time(group, now),
            group.rank,
            group.objective_at,
        )

    def _is_in_time(self, group: model.Group, now: float) -> bool:
        return now + self.call_s(len(group.waiting)) <= group.objective_at


def _load(groups: Iterable[model.Group]) -> tuple[int, int]:
    """Returns the pieces that wait in groups and the bytes of their results."""
    counts = [(len(g.waiting), g.result_bytes) for g in groups]
    return (
        sum(count for count, _ in counts),
        sum(count * size for count, size in counts),
    )


def _fill(
    call: list[tuple[model.Group, model.Piece]],
    groups: Iterable[model.Group],
    size: int,
    batch: int,
    room_bytes: float,
) -> float:
    """Moves groups into a call until it has a size.

    A group is done with its last piece only, so one that does not fit whole
    leaves its place to others and is the first of the next call. Only the
    first group is split, when it is larger than what a call can take.

    Args:
        call: Pieces of the call so far.
        groups: Groups in their order.
        size: Number of pieces from which on no group is added.
        batch: Most pieces of a call.
        room_bytes: Memory for results that the server has left.

    Returns:
        The memory that is left.
    """
    for group in groups:
        if len(call) >= size:
            break
        count = min(
            len(group.waiting),
            batch - len(call),
            int(room_bytes // max(1, group.result_bytes)),
        )
        if call and count < len(group.waiting):
            continue
        room_bytes -= count * group.result_bytes
        call += [(group, piece) for piece in group.waiting[:count]]
        del group.waiting[:count]
    return room_bytes


def new_batch_queue(pool: fleet.StagePool) -> BatchQueue:
    """Returns an empty queue for a pool's servers of one zone."""
    return BatchQueue(pool)
