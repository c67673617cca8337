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
PREFILL_TOKENS_PER_S = 61200.0
"""Prompt tokens that an engine reads a second (the engines' data sheet)."""
BLOCK_TOKENS = 512
"""Prompt tokens that stand behind the hash of one block."""
RUNNING_S = 0.002
"""Delay of a prompt by each request that produces tokens beside it."""
DISTANCE_S = (0.0, 0.002, 0.04)
"""Round trip to a server of the own zone, region and of another region."""
READ_WEIGHT = 1.5
"""Weight of the own prompt's time: reading a part again also delays whoever
comes after."""
HOME_SHARE = 0.3
"""Part of a prompt's time by which its home is preferred while no server has
it: the next requests with the same beginning then find it there."""
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


class Timed:
    """The server at which the answer is expected to begin first.

    The expectation is the time to read the prompts that wait there, and the
    own prompt less what the server has cached. It holds as far as this process
    chooses for all callers of the servers.
    """

    __slots__ = ("index", "opts", "rng")

    def __init__(self, opts: options.Options, seed: int):
        self.opts = opts
        self.index = affinity.new_prefix_index(opts.prefix_entries)
        self.rng = random.Random(seed)


Policy = Scored | Timed | LeastInFlight | RoundRobin


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


@pick.register
def _(
    policy: Timed,
    candidates: Sequence[servers.ServerState],
    call: model.Call,
    now: float,
) -> tuple[servers.ServerState, str]:
    matched, depth = policy.index.match(call.blocks)
    home = _home(candidates, call.blocks[-1]) if call.blocks else ""
    best, best_score = candidates[0], float("inf")
    for state in candidates:
        name = state.server.name
        score = (
            expected_s(state, call, matched.get(name, 0.0))
            + (READ_WEIGHT - 1.0) * prefill_s(call, matched.get(name, 0.0))
            + DISTANCE_S[state.tier]
            + policy.rng.random() * RUNNING_S
        )
        if name == home:
            missing = (len(call.blocks) - depth) * BLOCK_TOKENS
            score -= HOME_SHARE * missing / PREFILL_TOKENS_PER_S
        if score < best_score:
            best, best_score = state, score
    return best, (
        f"timed score={best_score:.3f} pending_s={best.pending_s:.3f}"
        f" running={best.in_flight}"
        f" cached={matched.get(best.server.name, 0.0):.0f}/{len(call.blocks)}"
    )


def expected_s(
    state: servers.ServerState, call: model.Call, matched: float
) -> float:
    """Returns the expected time until the answer begins, in seconds."""
    return (
        state.pending_s + state.in_flight * RUNNING_S + prefill_s(call, matched)
    )


def prefill_s(call: model.Call, matched: float) -> float:
    """Returns the time to read a prompt of which some blocks are cached."""
    tokens = max(0.0, call.prompt_tokens - matched * BLOCK_TOKENS)
    return tokens / PREFILL_TOKENS_PER_S


def _home(candidates: Sequence[servers.ServerState], block: int) -> str:
    """Returns the server that every process prefers for a new prompt."""
    return max(
        candidates, key=lambda s: (((block ^ s.salt) * MIXER) & MASK) >> 32
    ).server.name


@functools.singledispatch
def cached_blocks(policy: Policy, server: str, call: model.Call) -> float:
    """Returns the leading blocks of a prompt that a server holds."""
    return 0.0


@cached_blocks.register
def _(policy: Timed, server: str, call: model.Call) -> float:
    return policy.index.match(call.blocks)[0].get(server, 0.0)


@functools.singledispatch
def note_choice(
    policy: Policy, server: str, call: model.Call, now: float
) -> None:
    """Learns that a server will hold the call's prompt."""


@note_choice.register
def _(policy: Timed, server: str, call: model.Call, now: float) -> None:
    policy.index.learn(call.blocks, server, now)


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


@forget_server.register(Scored)
@forget_server.register(Timed)
def _(policy: Scored | Timed, server: str, now: float) -> None:
    policy.index.clear(server, now)


def new_policy(opts: options.Options, seed: int) -> Policy:
    """Returns the policy that the options name."""
    if opts.policy == "round_robin":
        return RoundRobin()
    if opts.policy == "least_in_flight":
        return LeastInFlight()
    if opts.policy == "timed":
        return Timed(opts, seed)
    return Scored(opts, seed)
