"""Batching of the pieces that wait for a stage pool.

A call costs a fixed time plus a time for each piece, so full batches have
several times the throughput of calls with single pieces. One queue therefore
holds the pieces of all entry VMs of a zone. Groups that can still meet their
objective go first, by rank, then by the recent service of their workspace if
the pool is contested, and then by objective; the others get the remaining
capacity until their deadline. A share of each call is reserved for groups that
strict ordering by rank and workspace would starve.
"""

import collections
from collections.abc import Iterable, Iterator, Sequence
import math

from savoryspar import fleet
from savoryspar.stages import call_shares, choice, demand, model, service

FAIR_SHARE = 0.25
"""Share of a call that is filled by objective alone, regardless of rank."""

HOLD_WEIGHT = 0.1
"""Weight of a new result in the mean hold time of results."""
CALL_WEIGHT = 0.2
"""Weight of a new call in the mean size of calls; spans about a second of a
pool with several servers."""
MAX_TAKEN = 0.9
"""Upper bound of the estimated share of calls taken by groups that can still
meet their objective."""
INITIAL_HOLD_S = 0.8
"""Initial estimate of the hold time: a call of 0.3 s plus the time in which an
engine prefills a long prompt."""


class PoolLoad:
    """Load of the servers of a pool in one zone.

    Attributes:
        servers: Number of servers that serve the queue.
        free_in_s: Time until the first server is free.
        used_bytes: Memory used by the results that the servers hold.
        pace: Ratio of the actual to the expected duration of calls.
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
        pool: Batch size, call times and memory of one server.
        demand: Recent work by rank.
        hold_s: Mean hold time of large results: how long their memory is in
            use.
    """

    __slots__ = (
        "_groups",
        "_is_contested",
        "_mean_pieces",
        "_place_shares",
        "_service",
        "_shares",
        "demand",
        "hold_s",
        "pool",
    )

    def __init__(self, pool: fleet.StagePool):
        self.pool = pool
        self.hold_s = INITIAL_HOLD_S
        self._service = service.new_workspace_service()
        # Whether groups were left waiting by the last call.
        self._is_contested = False
        # Recent mean number of pieces in a call.
        self._mean_pieces = 0.0
        self.demand = demand.new_demand()
        # Shares while any group waited, also for memory.
        self._shares = call_shares.new_call_shares()
        # Shares while a group waited for places in the call.
        self._place_shares = call_shares.new_call_shares()
        # In the order in which they were added. Two groups may have the same
        # request and stage: a caller may send a request again, at any VM.
        self._groups: dict[model.Group, None] = {}

    def __len__(self) -> int:
        return sum(len(group.waiting) for group in self._groups)

    def add(self, group: model.Group) -> None:
        """Adds a group unless it is already queued."""
        self._groups[group] = None

    def remove(self, group: model.Group) -> None:
        """Removes a group, for example of a cancelled request."""
        self._groups.pop(group, None)

    def expire(self, now: float, load: PoolLoad) -> list[model.Group]:
        """Removes and returns the groups that cannot meet their deadline.

        Args:
            now: Monotonic time in seconds.
            load: Load of the servers.
        """
        late = [
            group
            for group, wait_s in self._predicted_waits(self._groups, load, now)
            if group.waiting and group.deadline_at < now + wait_s
        ]
        for group in late:
            del self._groups[group]
        return late

    def wait_s(self, group: model.Group, load: PoolLoad, now: float) -> float:
        """Predicts the time until a group is done.

        Args:
            group: The group; it need not be in the queue.
            load: Load of the servers.
            now: Monotonic time in seconds.
        """
        urgency = self._urgency(group, now)
        ahead = [
            other
            for other in self._groups
            if other is not group and self._urgency(other, now) <= urgency
        ]
        return self._wait_behind_s(ahead, group, load, now)

    def excess_s(self, group: model.Group, servers: int, now: float) -> float:
        """Returns when a group fits into what more urgent ranks leave to it.

        Only small results are limited, and only while groups of more urgent
        ranks are late; see ``demand``.

        Returns:
            Seconds, 0 if the group may be admitted now.
        """
        if self._is_large(group.result_bytes) or not any(
            other.rank < group.rank
            and other.waiting
            and not self._can_meet_objective(other, now)
            for other in self._groups
        ):
            return 0.0
        return self.demand.excess_s(
            group.rank, self.work_s(group), max(1, servers), now
        )

    def record_demand(
        self, group: model.Group, is_admitted: bool, now: float
    ) -> None:
        """Records a group that was submitted in the demand."""
        self.demand.record(group.rank, self.work_s(group), is_admitted, now)

    def work_s(self, group: model.Group) -> float:
        """Returns the time of a server that a group needs.

        Small results use places that are left in calls.
        """
        piece_s = self.pool.piece_s
        if self._is_large(group.result_bytes):
            piece_s += self.pool.call_s / self.pool.batch
        return len(group.waiting) * piece_s

    def fresh_wait_s(
        self, example: model.Group, load: PoolLoad, now: float
    ) -> float:
        """Predicts the time until a new group of the same kind would be done.

        Unlike ``example``, which may be late, a new group would be queued only
        behind groups that can still meet their objective.
        """
        ahead = [
            group
            for group in self._groups
            if group is not example
            and group.rank <= example.rank
            and self._can_meet_objective(group, now)
        ]
        return self._wait_behind_s(ahead, example, load, now)

    def _wait_behind_s(
        self,
        ahead: Sequence[model.Group],
        group: model.Group,
        load: PoolLoad,
        now: float,
    ) -> float:
        """Predicts the time until a group is done after the groups ahead."""
        pieces, stored_bytes = _demand([*ahead, group])
        return self._adjusted_s(
            group, self._completion_s(pieces, stored_bytes, load), now
        )

    def _predicted_waits(
        self, groups: Iterable[model.Group], load: PoolLoad, now: float
    ) -> Iterator[tuple[model.Group, float]]:
        """Yields the groups in queue order with their predicted waits.

        Results that have not been fetched use the servers' memory, so their
        hold time limits the throughput of a pool as much as its calls do.
        """
        pieces, stored_bytes = 0, 0
        for group in sorted(groups, key=lambda g: self._urgency(g, now)):
            pieces += len(group.waiting)
            stored_bytes += group.result_bytes * len(group.waiting)
            wait_s = self._completion_s(pieces, stored_bytes, load)
            yield group, self._adjusted_s(group, wait_s, now)

    def _completion_s(
        self, pieces: int, stored_bytes: int, load: PoolLoad
    ) -> float:
        """Returns the time until all of the pieces are done.

        The last call starts when a server is free and enough memory has been
        freed, whichever is later. It is expected to be as large as the others
        of late, as later groups fill it.
        """
        room_bytes = self.pool.room_bytes * load.servers
        calls, rest = divmod(max(0, pieces - 1), self.pool.batch * load.servers)
        calls_s = calls * self.call_s(self.pool.batch) * load.pace
        busy_s = load.free_in_s + calls_s
        missing_bytes = load.used_bytes + stored_bytes - room_bytes
        memory_s = max(0.0, missing_bytes) / room_bytes * self.hold_s
        own_pieces = max(
            math.ceil((rest + 1) / load.servers), self._mean_pieces
        )
        own_s = self.call_s(own_pieces)
        return max(busy_s, memory_s) + own_s * load.pace

    def record_hold(self, size_bytes: int, hold_s: float) -> None:
        """Updates the mean hold time if the result was large."""
        if self._is_large(size_bytes):
            self.hold_s += HOLD_WEIGHT * (hold_s - self.hold_s)

    def _is_large(self, size_bytes: float) -> bool:
        """Returns whether calls with such results are short of memory."""
        return size_bytes * self.pool.batch > self.pool.room_bytes / 4

    def call_s(self, pieces: float) -> float:
        """Returns the expected duration of a call."""
        return self.pool.call_s + pieces * self.pool.piece_s

    def rank(self) -> int:
        """Returns the most urgent rank of the queued groups, 0 if empty."""
        return min((g.rank for g in self._groups), default=0)

    def fits(self, room_bytes: float) -> bool:
        """Returns whether the result of any queued piece fits.

        Args:
            room_bytes: Free memory for results on the server.
        """
        return any(
            group.waiting and group.result_bytes <= room_bytes
            for group in self._groups
        )

    def next_call(
        self,
        now: float,
        room_bytes: float,
        here: choice.ServerOutlook | None = None,
        others: Sequence[choice.ServerOutlook] = (),
    ) -> list[tuple[model.Group, model.Piece]]:
        """Removes and returns the pieces of the next call, at most one batch.

        Args:
            now: Monotonic time in seconds.
            room_bytes: Free memory for results on the server.
            here: The server, if its pace is known; else it is taken to be as
                fast as the others.
            others: The other usable servers of the queue.
        """
        if not self.fits(room_bytes):
            return []
        by_rank, by_objective = self._orders(now, here, others)
        batch = self.pool.batch
        reserved = math.floor(batch * FAIR_SHARE)
        call: list[tuple[model.Group, model.Piece]] = []
        room = _fill(call, by_objective, reserved, batch, room_bytes)
        _fill(call, by_rank, batch, batch, room)
        if call:
            self._mean_pieces += CALL_WEIGHT * (len(call) - self._mean_pieces)
            self._record_service(call, now)
        self._record_shares(call, now)
        for group in {id(g): g for g, _ in call}.values():
            if not group.waiting:
                del self._groups[group]
        return call

    def _orders(
        self,
        now: float,
        here: choice.ServerOutlook | None,
        others: Sequence[choice.ServerOutlook],
    ) -> tuple[list[model.Group], list[model.Group]]:
        """Returns the groups for a server by rank, and by objective alone."""
        by_rank = sorted(
            (g for g in self._groups if g.waiting),
            key=lambda g: self._urgency(g, now),
        )
        if here is not None:
            left = choice.groups_to_leave(by_rank, here, others, self.pool, now)
            by_rank = [g for g in by_rank if g not in left]
        by_objective = sorted(
            by_rank,
            key=lambda g: (
                not self._can_meet_objective(g, now),
                g.objective_at,
            ),
        )
        return by_rank, by_objective

    def _record_service(
        self, call: Sequence[tuple[model.Group, model.Piece]], now: float
    ) -> None:
        """Records what the workspaces took: places or memory, if more."""
        for group, _ in call:
            calls = max(
                1.0 / self.pool.batch, group.result_bytes / self.pool.room_bytes
            )
            self._service.record(group.rank, group.workspace, calls, now)

    def _record_shares(
        self, call: Sequence[tuple[model.Group, model.Piece]], now: float
    ) -> None:
        """Updates the shares of calls that groups took while others waited.

        A group that waits for memory does not wait for a place in a call: with
        a small result it would have been in this one.
        """
        if not call:
            return
        counts = collections.Counter(group.rank for group, _ in call)
        on_time = sum(self._can_meet_objective(group, now) for group, _ in call)
        left = self.pool.batch - len(call)
        waiting = [group for group in self._groups if group.waiting]
        self._is_contested = bool(waiting)
        self._shares.record(counts, on_time, bool(waiting))
        needs_place = [
            group
            for group in waiting
            if not left
            or not (
                len(group.waiting) <= left or self._is_large(group.result_bytes)
            )
        ]
        self._place_shares.record(counts, on_time, bool(needs_place))

    def _adjusted_s(
        self, group: model.Group, wait_s: float, now: float
    ) -> float:
        """Returns a wait extended by the delay from groups that overtake.

        A group that will miss its objective gets only the capacity left by
        groups that can still meet theirs.
        """
        is_large = self._is_large(group.result_bytes)
        shares = self._shares if is_large else self._place_shares
        taken = min(shares.above(group.rank), 1.0 - FAIR_SHARE)
        if now + wait_s / (1.0 - taken) > group.objective_at:
            taken = max(taken, min(shares.on_time, MAX_TAKEN))
        return wait_s / (1.0 - taken)

    def _urgency(self, group: model.Group, now: float) -> tuple:
        level = 0
        if self._is_contested:
            level = self._service.level(group.rank, group.workspace)
        return (
            not self._can_meet_objective(group, now),
            group.rank,
            level,
            group.objective_at,
        )

    def _can_meet_objective(self, group: model.Group, now: float) -> bool:
        """Returns whether a group is in time in a call that starts now.

        A call is expected to be as large as the others of late, as a group
        shares it with others.
        """
        pieces = max(len(group.waiting), self._mean_pieces)
        return now + self.call_s(pieces) <= group.objective_at


def _demand(groups: Iterable[model.Group]) -> tuple[int, int]:
    """Returns the number of queued pieces and the size of their results."""
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
    """Moves pieces of groups into a call until it has ``size`` pieces.

    A group is done only when its last piece is, so a group that does not fit
    whole is skipped and goes first in the next call. Only the first group of a
    call is split, if it does not fit into the call.

    Args:
        call: Pieces already in the call; extended in place.
        groups: Groups in queue order.
        size: Number of pieces at which no further group is added.
        batch: Maximum number of pieces in a call.
        room_bytes: Free memory for results on the server.

    Returns:
        The free memory after the call, in bytes.
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
    """Creates an empty queue for a pool's servers in one zone."""
    return BatchQueue(pool)
