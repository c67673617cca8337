"""Queueing policies of a pool.

The policy is selected in the settings. ``fair`` orders jobs by rank, then by
workspace, then by deadline. ``fifo`` (arrival order) and ``round_robin`` (one
job per workspace in turn) are baselines for benchmarks; they ignore ranks and
shares.
"""

import collections
from collections.abc import Mapping
import functools

from savoryspar import conf, sheet
from savoryspar.scheduling import entries, fair, model, ranks


class FairPolicy:
    """Serves by rank with floors, then workspace counter, then deadline."""

    __slots__ = ("meter", "queues")

    def __init__(self, window_s: float, by_deadline: bool):
        self.meter = ranks.RankMeter(window_s)
        self.queues = {
            rank: fair.FairQueue(by_deadline) for rank in sheet.RANKS
        }

    @property
    def backlogged(self) -> list[str]:
        """Ranks with waiting jobs, the most urgent first."""
        return [rank for rank, queue in self.queues.items() if queue.waiting]


class FifoPolicy:
    """Serves jobs in arrival order."""

    __slots__ = ("items", "units")

    def __init__(self) -> None:
        self.items: collections.deque[entries.Entry] = collections.deque()
        self.units = 0.0


class RoundRobinPolicy:
    """Serves one job of each workspace in turn."""

    __slots__ = ("rotation", "units")

    def __init__(self) -> None:
        self.rotation: collections.OrderedDict[
            str, collections.deque[entries.Entry]
        ] = collections.OrderedDict()
        self.units = 0.0


Policy = FairPolicy | FifoPolicy | RoundRobinPolicy


def new_policy(cfg: conf.Section) -> Policy:
    """Returns the policy selected in the settings section ``[scheduling]``."""
    factories = {
        "fair": lambda: FairPolicy(cfg.floor_window_s, cfg.order == "deadline"),
        "fifo": FifoPolicy,
        "round_robin": RoundRobinPolicy,
    }
    return factories[cfg.policy]()


def set_floors(policy: Policy, floors: Mapping[str, float]) -> None:
    """Sets the floor of each rank as a fraction of the pool's service.

    Policies without ranks ignore it.
    """
    if isinstance(policy, FairPolicy):
        policy.meter.floors = dict(floors)


@functools.singledispatch
def push(policy: Policy, entry: entries.Entry) -> None:
    """Enqueues a job."""
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
    jobs = policy.rotation.setdefault(entry.job.workspace, collections.deque())
    jobs.append(entry)
    policy.units += entry.job.cost


@functools.singledispatch
def pop(policy: Policy, now: float) -> entries.Entry | None:
    """Removes the next job and charges its estimated cost.

    Returns:
        The job, or None when no jobs wait.
    """
    raise TypeError(f"{type(policy).__name__} is not a policy")


@pop.register
def _(policy: FairPolicy, now: float) -> entries.Entry | None:
    backlogged = policy.backlogged
    if not backlogged:
        return None
    rank = policy.meter.select(backlogged)
    entry = policy.queues[rank].pop()
    entry.is_floor_grant = rank != backlogged[0]
    policy.meter.charge(
        rank, entry.job.cost, backlogged, entry.is_floor_grant, now
    )
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
    while policy.rotation:
        workspace, jobs = policy.rotation.popitem(last=False)
        while jobs:
            entry = jobs.popleft()
            if entry.is_waiting:
                if jobs:
                    policy.rotation[workspace] = jobs
                policy.units -= entry.job.cost
                entry.charged = entry.job.cost
                return entry
    return None


@functools.singledispatch
def grant_immediately(policy: Policy, entry: entries.Entry) -> None:
    """Charges a job that is granted without being enqueued."""
    entry.charged = entry.job.cost


@grant_immediately.register
def _(policy: FairPolicy, entry: entries.Entry) -> None:
    policy.queues[entry.job.rank].grant_immediately(entry)


@functools.singledispatch
def discard(policy: Policy, entry: entries.Entry) -> None:
    """Removes a waiting job from the backlog."""
    policy.units -= entry.job.cost


@discard.register
def _(policy: FairPolicy, entry: entries.Entry) -> None:
    policy.queues[entry.job.rank].discard(entry)


@functools.singledispatch
def charge(
    policy: Policy, entry: entries.Entry, units: float, now: float
) -> None:
    """Adds units, possibly negative, to the charge of a running job."""
    entry.charged += units


@charge.register
def _(
    policy: FairPolicy, entry: entries.Entry, units: float, now: float
) -> None:
    policy.queues[entry.job.rank].charge(entry, units)
    backlogged = policy.backlogged
    if backlogged:
        policy.meter.charge(
            entry.job.rank, units, backlogged, entry.is_floor_grant, now
        )


@functools.singledispatch
def finish(policy: Policy, entry: entries.Entry) -> None:
    """Removes a running job from its account, if the policy has accounts."""


@finish.register
def _(policy: FairPolicy, entry: entries.Entry) -> None:
    policy.queues[entry.job.rank].finish(entry)


@functools.singledispatch
def select_victim(policy: Policy, newest: entries.Entry) -> entries.Entry:
    """Returns the job to drop when the queue is full."""
    return newest


@select_victim.register
def _(policy: FairPolicy, newest: entries.Entry) -> entries.Entry:
    # The weight of the most urgent rank is what the other floors leave.
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
    return queue.last_waiting(account)


@functools.singledispatch
def units_ahead(policy: Policy, job: model.Job, upcoming: float) -> float:
    """Estimates the units that are served before a new job.

    Under the fair policy, only jobs of the same rank count.
    """
    return policy.units + upcoming


@units_ahead.register
def _(policy: FairPolicy, job: model.Job, upcoming: float) -> float:
    queue = policy.queues[job.rank]
    return queue.units_ahead(job.workspace, job.share, upcoming)
