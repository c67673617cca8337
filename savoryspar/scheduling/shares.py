"""Divides the slots of a pool among the entry VMs of a zone.

Every VM computes the slots of all VMs from the same reports, so the integers
add up to the capacity without an agreement protocol:

1. A live VM with a stale report or without any report gets an equal split.
2. The other VMs divide the remaining slots in proportion to their weights,
   each limited to its demand (running and waiting jobs). For each rank, the
   weight of a VM is the sum, over the workspaces, of the workspace's share
   times the fraction of its outstanding work that is at this VM. Ranks with
   work are weighted by their floors; the most urgent of them gets what the
   other floors leave. Running work counts like waiting work; otherwise, a VM
   without a queue would lose the slots that it uses.
3. Slots beyond the total demand are divided equally, so that new work on any
   VM finds a slot.
"""

from collections.abc import Callable, Iterable, Mapping

from savoryspar import sheet

LivePeers = Callable[[float], Iterable[str]]
"""Returns the incarnations of the zone's live peers at a monotonic time."""
MIN_WEIGHT = 0.01
OTHER_WORKSPACES = ""
"""Key for the combined entry of workspaces that a report does not name."""


class VmBacklog:
    """Backlog of one entry VM at one pool.

    Attributes:
        demand: Number of running and waiting jobs.
        by_rank: Rank to workspace to (share, units waiting and running).
            ``OTHER_WORKSPACES`` has the sum of the shares of the workspaces
            that are not named.
    """

    __slots__ = ("by_rank", "demand")

    def __init__(
        self,
        demand: int,
        by_rank: Mapping[str, Mapping[str, tuple[float, float]]],
    ):
        self.demand = demand
        self.by_rank = by_rank


def divide(
    capacity: int,
    members: Iterable[str],
    fresh: Mapping[str, VmBacklog],
    floors: Mapping[str, float],
) -> dict[str, int]:
    """Returns the slots of each VM; their sum is the capacity.

    Args:
        capacity: Slots of the pool.
        members: Incarnations of all live VMs of the zone.
        fresh: Backlog by incarnation, from reports that are not stale.
        floors: Floor of each rank as a fraction.
    """
    names = sorted(members)
    equal_share = capacity / len(names)
    parts = {name: equal_share for name in names if name not in fresh}
    reporting = [name for name in names if name in fresh]
    remaining = capacity - equal_share * len(parts)
    parts.update(_allocate(remaining, reporting, fresh, floors))
    return _round_to_slots(capacity, parts)


def weights(
    fresh: Mapping[str, VmBacklog], floors: Mapping[str, float]
) -> dict[str, float]:
    """Returns the weight of each VM; the sum is 1, or 0 without backlog."""
    result = dict.fromkeys(fresh, 0.0)
    backlogged = [
        rank
        for rank in sheet.RANKS
        if any(vm.by_rank.get(rank) for vm in fresh.values())
    ]
    for number, rank in enumerate(backlogged):
        part = floors[rank]
        if number == 0:
            part = 1.0 - sum(floors[other] for other in backlogged[1:])
        for name, weight in _rank_weights(fresh, rank).items():
            result[name] += part * weight
    return result


def _rank_weights(
    fresh: Mapping[str, VmBacklog], rank: str
) -> dict[str, float]:
    units: dict[str, float] = {}
    for vm in fresh.values():
        for workspace, (_, outstanding) in vm.by_rank.get(rank, {}).items():
            units[workspace] = units.get(workspace, 0.0) + outstanding
    sums = {
        name: sum(
            share
            if workspace == OTHER_WORKSPACES
            else share * part / units[workspace]
            for workspace, (share, part) in vm.by_rank.get(rank, {}).items()
            if units[workspace] > 0.0
        )
        for name, vm in fresh.items()
    }
    total = sum(sums.values())
    if not total:
        return sums
    return {name: value / total for name, value in sums.items()}


def _allocate(
    capacity: float,
    names: list[str],
    fresh: Mapping[str, VmBacklog],
    floors: Mapping[str, float],
) -> dict[str, float]:
    """Divides by weight up to each demand, then the remainder equally."""
    vm_weights = weights({name: fresh[name] for name in names}, floors)
    parts = dict.fromkeys(names, 0.0)
    # VMs whose policy has no accounts report a demand without weights.
    min_weight = MIN_WEIGHT / max(1, len(names))
    unfilled = {name for name in names if fresh[name].demand}
    remaining = capacity
    while unfilled and remaining > 1e-9:
        total = sum(vm_weights[name] + min_weight for name in unfilled)
        portions = {
            name: remaining * (vm_weights[name] + min_weight) / total
            for name in unfilled
        }
        satisfied = {
            name
            for name in unfilled
            if parts[name] + portions[name] >= fresh[name].demand
        }
        for name in satisfied or unfilled:
            part = min(portions[name], fresh[name].demand - parts[name])
            parts[name] += part
            remaining -= part
        if not satisfied:
            break
        unfilled -= satisfied
    for name in names:
        parts[name] += max(0.0, remaining) / len(names)
    return parts


def _round_to_slots(
    capacity: int, parts: Mapping[str, float]
) -> dict[str, int]:
    """Rounds by largest remainder.

    Each VM gets at least one slot if the capacity allows it.
    """
    names = sorted(parts)
    slots = {name: int(parts[name] + 1e-9) for name in names}
    by_remainder = sorted(
        names, key=lambda name: (slots[name] - parts[name], name)
    )
    for name in by_remainder[: capacity - sum(slots.values())]:
        slots[name] += 1
    for name in names:
        if slots[name] == 0 and capacity >= len(names):
            largest = max(names, key=lambda other: (slots[other], other))
            slots[largest] -= 1
            slots[name] = 1
    return slots
