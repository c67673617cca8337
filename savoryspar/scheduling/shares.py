"""Divides the slots of a pool among the entry VMs of a zone.

Every VM computes the division of all of them from the same reports, so the
whole numbers add up to the capacity without any agreement protocol:

1. A live peer whose report is stale, and one that never reported, gets an
   equal split.
2. The others share the rest in proportion to their weight, none more than it
   has work for (running and waiting). The weight of a VM is the sum over the
   workspaces of the workspace's share times the part of its outstanding work
   that is at this VM, by rank: the most urgent rank with work weighs what the
   floors of the other ranks with work leave. Work that runs counts like work
   that waits; otherwise a VM without a queue would lose the slots it uses.
3. What nobody has work for is split equally, so that new work finds a slot.
"""

from collections.abc import Callable, Iterable, Mapping

from savoryspar import sheet

LivePeers = Callable[[float], Iterable[str]]
"""Incarnations of the zone's live peers at a time."""
MIN_WEIGHT = 0.01
REST = ""
"""Stands for the workspaces that a report does not name one by one."""


class VmBacklog:
    """What one entry VM reported about one pool.

    Attributes:
        demand: Slots that it has work for, running and waiting.
        by_rank: Rank to workspace to (share, units waiting and running); the
            shares of the workspaces not named are added up under ``REST``.
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
    """Returns the slots of each VM; they add up to the capacity.

    Args:
        capacity: Slots of the pool.
        members: Incarnations of all live VMs of the zone.
        fresh: Backlogs from reports that are not stale, by incarnation.
        floors: Floor of each rank as a fraction.
    """
    names = sorted(members)
    equal = capacity / len(names)
    parts = {name: equal for name in names if name not in fresh}
    known = [name for name in names if name in fresh]
    left = capacity - equal * len(parts)
    parts.update(_fill(left, known, fresh, floors))
    return _round(capacity, parts)


def weights(
    fresh: Mapping[str, VmBacklog], floors: Mapping[str, float]
) -> dict[str, float]:
    """Returns the weighted backlog of each VM; the sum is 1, or 0."""
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
            share if workspace == REST else share * part / units[workspace]
            for workspace, (share, part) in vm.by_rank.get(rank, {}).items()
            if units[workspace] > 0.0
        )
        for name, vm in fresh.items()
    }
    total = sum(sums.values())
    if not total:
        return sums
    return {name: value / total for name, value in sums.items()}


def _fill(
    capacity: float,
    names: list[str],
    fresh: Mapping[str, VmBacklog],
    floors: Mapping[str, float],
) -> dict[str, float]:
    """Divides by weight under the caps, then the rest equally."""
    by_weight = weights({name: fresh[name] for name in names}, floors)
    parts = dict.fromkeys(names, 0.0)
    # Policies without accounts report a demand but no weights.
    least = MIN_WEIGHT / max(1, len(names))
    open_names = {name for name in names if fresh[name].demand}
    left = capacity
    while open_names and left > 1e-9:
        total = sum(by_weight[name] + least for name in open_names)
        offers = {
            name: left * (by_weight[name] + least) / total
            for name in open_names
        }
        full = {
            name
            for name in open_names
            if parts[name] + offers[name] >= fresh[name].demand
        }
        for name in full or open_names:
            part = min(offers[name], fresh[name].demand - parts[name])
            parts[name] += part
            left -= part
        if not full:
            break
        open_names -= full
    for name in names:
        parts[name] += max(0.0, left) / len(names)
    return parts


def _round(capacity: int, parts: Mapping[str, float]) -> dict[str, int]:
    """Rounds by the largest remainder; each VM gets a slot if there are."""
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
