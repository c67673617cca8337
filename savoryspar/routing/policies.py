"""Policies that choose among the servers that may take a call."""

from collections.abc import Mapping, Sequence
import functools
import itertools
import random

from savoryspar import backends
from savoryspar.routing import affinity, model, options, servers

MASK = 2**64 - 1
MIXER = 0x9E3779B97F4A7C15
"""Odd constant of multiplicative hashing (2^64 divided by the golden ratio)."""
JITTER = 0.02
"""Random part of a score, so that processes with equal reports differ."""
FULL_BENEFIT_BLOCKS = 4
"""Blocks from which a held prompt brings the whole benefit."""


class Scored:
    """Load, minus the benefit of held prefixes, plus the cost of distance."""

    __slots__ = ("index", "opts", "rng")

    def __init__(self, opts: options.Options, seed: int):
        self.opts = opts
        self.index = affinity.new_prefix_index(opts.prefix_entries)
        self.rng = random.Random(seed)


class LeastInFlight:
    """The server with the fewest calls of this process."""

    __slots__ = ()


class RoundRobin:
    """One server after the other."""

    __slots__ = ("turns",)

    def __init__(self) -> None:
        self.turns = itertools.count()


Policy = Scored | LeastInFlight | RoundRobin


@functools.singledispatch
def pick(
    policy: Policy,
    candidates: Sequence[servers.ServerState],
    call: model.Call,
    now: float,
) -> tuple[servers.ServerState, str]:
    """Returns the chosen server and the reason for the decision line."""
    raise TypeError(f"no routing policy {policy!r}; use one of this module")


@pick.register
def _(
    policy: LeastInFlight,
    candidates: Sequence[servers.ServerState],
    call: model.Call,
    now: float,
) -> tuple[servers.ServerState, str]:
    state = min(candidates, key=lambda s: (s.in_flight, s.server.name))
    return state, "least_in_flight"


@pick.register
def _(
    policy: RoundRobin,
    candidates: Sequence[servers.ServerState],
    call: model.Call,
    now: float,
) -> tuple[servers.ServerState, str]:
    return candidates[next(policy.turns) % len(candidates)], "round_robin"


@pick.register
def _(
    policy: Scored,
    candidates: Sequence[servers.ServerState],
    call: model.Call,
    now: float,
) -> tuple[servers.ServerState, str]:
    blocks = call.blocks or affinity.block_hashes(call.model, call.prompt)
    benefits = _benefits(policy, candidates, blocks)
    costs = (0.0, policy.opts.zone_cost, policy.opts.region_cost)
    best, best_score = candidates[0], float("inf")
    for state in candidates:
        score = (
            state.utilization(now)
            + costs[state.tier]
            - benefits.get(state.server.name, 0.0)
            + policy.rng.random() * JITTER
        )
        if score < best_score:
            best, best_score = state, score
    policy.index.learn(blocks, best.server.name, now)
    return best, (
        f"scored score={best_score:.2f} load={best.load(now):.1f}"
        f"/{best.limit.calls} tier={best.tier.name.lower()}"
        f" benefit={benefits.get(best.server.name, 0.0):.2f}"
    )


def _benefits(
    policy: Scored,
    candidates: Sequence[servers.ServerState],
    blocks: Sequence[int],
) -> Mapping[str, float]:
    if not blocks:
        return {}
    matched, depth = policy.index.match(blocks)
    unit = policy.opts.affinity / max(len(blocks), FULL_BENEFIT_BLOCKS)
    benefits = {name: count * unit for name, count in matched.items()}
    # The first block that no server holds decides where the rest belongs, so
    # processes that know nothing of each other send it to the same server.
    if depth < len(blocks):
        home = max(
            candidates,
            key=lambda s: (
                -s.tier,
                (((blocks[depth] ^ s.salt) * MIXER) & MASK) >> 32,
            ),
        ).server.name
        benefits[home] = benefits.get(home, 0.0) + policy.opts.home
    return benefits


@functools.singledispatch
def take_cache_events(
    policy: Policy, server: str, report: backends.CacheReport, now: float
) -> None:
    """Takes a server's cache events; most policies ignore them."""


@take_cache_events.register
def _(
    policy: Scored, server: str, report: backends.CacheReport, now: float
) -> None:
    if report.has_gap:
        policy.index.mark_gap(server, now)
    policy.index.learn(report.stored, server, now)
    policy.index.forget(report.removed, server, now)


@functools.singledispatch
def forget_server(policy: Policy, server: str, now: float) -> None:
    """Forgets what a server held, because its process is another one."""


@forget_server.register
def _(policy: Scored, server: str, now: float) -> None:
    policy.index.clear(server, now)


def new_policy(opts: options.Options, seed: int) -> Policy:
    """Returns the policy that the options name."""
    if opts.policy == "round_robin":
        return RoundRobin()
    if opts.policy == "least_in_flight":
        return LeastInFlight()
    return Scored(opts, seed)
