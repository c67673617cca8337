"""The order in which the jobs of one pool are served, by policy.

A policy is chosen in the settings. ``fair`` serves ranks, then workspaces,
then deadlines; ``fifo`` and ``round_robin`` are the simpler rivals that the
bench measures against: arrival order, and workspaces in turn. Neither of
these looks at ranks or shares.
"""

import collections
from collections.abc import Mapping
import functools

from savoryspar import conf, sheet
from savoryspar.scheduling import entries, fair, model, ranks


class FairPolicy:
    """Ranks with floors, then workspaces by counter, then deadlines."""

    __slots__ = ("meter", "queues")

    def __init__(self, window_s: float, by_deadline: bool):
        self.meter = ranks.RankMeter(window_s)
        self.queues = {
            rank: fair.FairQueue(by_deadline) for rank in sheet.RANKS
        }

    @property
    def backlogged(self) -> list[str]:
        """Ranks with waiting jobs, most urgent first."""
        return [rank for rank, queue in self.queues.items() if queue.waiting]


class FifoPolicy:
    """Arrival order."""

    __slots__ = ("items", "units")

    def __init__(self) -> None:
        self.items: collections.deque[entries.Entry] = collections.deque()
        self.units = 0.0


class RoundRobinPolicy:
    """One job of each workspace in turn."""

    __slots__ = ("turns", "units")

    def __init__(self) -> None:
        self.turns: collections.OrderedDict[
            str, collections.deque[entries.Entry]
        ] = collections.OrderedDict()
        self.units = 0.0


Policy = FairPolicy | FifoPolicy | RoundRobinPolicy


def new_policy(cfg: conf.Section) -> Policy:
    """Returns the policy that the section ``[scheduling]`` names."""
    factories = {
        "fair": lambda: FairPolicy(cfg.floor_window_s, cfg.order == "deadline"),
        "fifo": FifoPolicy,
        "round_robin": RoundRobinPolicy,
    }
    return factories[cfg.policy]()


def set_floors(policy: Policy, floors: Mapping[str, float]) -> None:
    """Sets the floor of each rank as a fraction of a pool's service."""
    if isinstance(policy, FairPolicy):
        policy.meter.floors = dict(floors)


@functools.singledispatch
def push(policy: Policy, entry: entries.Entry) -> None:
    """Queues a job."""
    raise TypeError(f"{type(policy).__name__} is not a policy")


@push.register
def _(policy: FairPolicy, entry: entries.Entry) -> None:
    policy.queues[entry.job.rank].push(entry)


@push.register
def _(policy: FifoPolicy, entry: entries.Entry) -> None:
    policy.items.append(entry)
    policy.units += entry.job.cost


@push.register
def _(policy: RoundRobinPolicy, entry: entries.Entry) -> None:
    turn = policy.turns.setdefault(entry.job.workspace, collections.deque())
    turn.append(entry)
    policy.units += entry.job.cost


@functools.singledispatch
def pop(policy: Policy, now: float) -> entries.Entry | None:
    """Removes the next job and charges its estimate; None when empty."""
    raise TypeError(f"{type(policy).__name__} is not a policy")


@pop.register
def _(policy: FairPolicy, now: float) -> entries.Entry | None:
    backlogged = policy.backlogged
    if not backlogged:
        return None
    rank = policy.meter.select(backlogged)
    entry = policy.queues[rank].pop()
    entry.is_floor = rank != backlogged[0]
    policy.meter.charge(rank, entry.job.cost, backlogged, entry.is_floor, now)
    return entry


@pop.register
def _(policy: FifoPolicy, now: float) -> entries.Entry | None:
    while policy.items:
        entry = policy.items.popleft()
        if entry.is_waiting:
            policy.units -= entry.job.cost
            entry.charged = entry.job.cost
            return entry
    return None


@pop.register
def _(policy: RoundRobinPolicy, now: float) -> entries.Entry | None:
    while policy.turns:
        workspace, turn = policy.turns.popitem(last=False)
        while turn:
            entry = turn.popleft()
            if entry.is_waiting:
                if turn:
                    policy.turns[workspace] = turn
                policy.units -= entry.job.cost
                entry.charged = entry.job.cost
                return entry
    return None


@functools.singledispatch
def run_at_once(policy: Policy, entry: entries.Entry) -> None:
    """Charges a job that is granted without having waited."""
    entry.charged = entry.job.cost


@run_at_once.register
def _(policy: FairPolicy, entry: entries.Entry) -> None:
    policy.queues[entry.job.rank].run_at_once(entry)


@functools.singledispatch
def discard(policy: Policy, entry: entries.Entry) -> None:
    """Takes a waiting job out of the backlog."""
    policy.units -= entry.job.cost


@discard.register
def _(policy: FairPolicy, entry: entries.Entry) -> None:
    policy.queues[entry.job.rank].discard(entry)


@functools.singledispatch
def charge(
    policy: Policy, entry: entries.Entry, units: float, now: float
) -> None:
    """Corrects the charge of a running job."""
    entry.charged += units


@charge.register
def _(
    policy: FairPolicy, entry: entries.Entry, units: float, now: float
) -> None:
    policy.queues[entry.job.rank].charge(entry, units)
    backlogged = policy.backlogged
    if backlogged:
        policy.meter.charge(
            entry.job.rank, units, backlogged, entry.is_floor, now
        )


@functools.singledispatch
def finish(policy: Policy, entry: entries.Entry) -> None:
    """Ends a running job."""


@finish.register
def _(policy: FairPolicy, entry: entries.Entry) -> None:
    policy.queues[entry.job.rank].finish(entry)


@functools.singledispatch
def victim(policy: Policy, newest: entries.Entry) -> entries.Entry:
    """Returns the job to drop when the queue is full."""
    return newest


@victim.register
def _(policy: FairPolicy, newest: entries.Entry) -> entries.Entry:
    # The most urgent rank weighs what the floors of the others leave.
    floors = policy.meter.floors
    weights = {rank: max(floors[rank], 0.01) for rank in policy.queues}
    weights[sheet.RANKS[0]] = max(1.0 - sum(floors.values()), 0.01)
    rank = max(
        policy.backlogged,
        key=lambda name: policy.queues[name].units / weights[name],
    )
    queue = policy.queues[rank]
    _, account = queue.longest()
    if newest.account is account:
        return newest
    return queue.last_of(account)


@functools.singledispatch
def units_ahead(policy: Policy, job: model.Job, extra: float) -> float:
    """Returns the units of equal rank that are served before a new job."""
    return policy.units + extra


@units_ahead.register
def _(policy: FairPolicy, job: model.Job, extra: float) -> float:
    queue = policy.queues[job.rank]
    return queue.units_ahead(job.workspace, job.share, extra)
