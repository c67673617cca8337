"""Policies that choose a server among the candidates for a call."""

from collections.abc import Mapping, Sequence
import functools
import itertools
import random

from savoryspar import backends
from savoryspar.routing import affinity, model, options, prefill_rates, servers

MASK_64_BITS = 2**64 - 1
HASH_MULTIPLIER = 0x9E3779B97F4A7C15
"""Odd constant of multiplicative hashing (2^64 divided by the golden ratio)."""
JITTER = 0.02
"""Random part of a score, so that processes with the same load reports do not
all choose the same server."""
PREFILL_TOKENS_PER_S = 61200.0
"""Usual prefill throughput of an engine (from the engines' data sheet). It is
used for a pool until another rate was measured, see ``prefill_rates``."""
BLOCK_TOKENS = 512
"""Prompt tokens per hashed block."""
DECODE_DELAY_S = 0.002
"""Prefill delay caused by each request that is decoding on the server."""
ROUND_TRIP_S = (0.0, 0.002, 0.04)
"""Round-trip time to a server in the same zone, the same region and another
region, indexed by ``Tier``."""
PREFILL_WEIGHT = 1.5
"""Weight of the call's own prefill time. Above 1, because prefilling cached
tokens again also delays the calls queued behind it."""
HOME_SHARE = 0.3
"""Share of the uncached part's prefill time by which the home server's score is
lowered. Requests with the same prefix then go to the server that caches it."""
FULL_BENEFIT_BLOCKS = 4
"""Prompt length in blocks from which a fully cached prompt has full benefit."""


class Scored:
    """Scores servers by load, cached prefixes and distance; the lowest wins."""

    __slots__ = ("index", "opts", "rng")

    def __init__(self, opts: options.Options, seed: int):
        self.opts = opts
        self.index = affinity.new_prefix_index(opts.prefix_entries)
        self.rng = random.Random(seed)


class LeastInFlight:
    """Chooses the server with the fewest calls from this process."""

    __slots__ = ()


class RoundRobin:
    """Chooses the servers in turn."""

    __slots__ = ("call_numbers",)

    def __init__(self) -> None:
        self.call_numbers = itertools.count()


class Timed:
    """Chooses the server with the shortest expected time to the first output.

    The estimate is the time to prefill the prompts pending at the server plus
    the uncached part of the call's own prompt. It is accurate only for servers
    whose calls are all routed by this process.
    """

    __slots__ = ("index", "opts", "rates", "rng")

    def __init__(
        self,
        opts: options.Options,
        seed: int,
        rates: prefill_rates.PrefillRates,
    ):
        self.opts = opts
        self.rates = rates
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
    """Returns the chosen server and the reason for the decision log."""
    raise TypeError(
        f"unknown routing policy {policy!r}; must be of this module"
    )


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
    return candidates[
        next(policy.call_numbers) % len(candidates)
    ], "round_robin"


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
    policy.index.add(blocks, best.server.name, now)
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
    # The hash of the first uncached block selects the home server of the rest,
    # so all processes send it to the same server without coordination.
    if depth < len(blocks):
        home = max(
            candidates,
            key=lambda s: (
                -s.tier,
                (((blocks[depth] ^ s.salt) * HASH_MULTIPLIER) & MASK_64_BITS)
                >> 32,
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
    best, best_score = candidates[0], float("inf")
    scores = _timed_scores(policy, candidates, call, matched, depth)
    for state, score in zip(candidates, scores, strict=True):
        score += policy.rng.random() * DECODE_DELAY_S
        if score < best_score:
            best, best_score = state, score
    return best, (
        f"timed score={best_score:.3f} pending_s={best.pending_s:.3f}"
        f" running={best.in_flight}"
        f" cached={matched.get(best.server.name, 0.0):.0f}/{len(call.blocks)}"
    )


def _timed_scores(
    policy: Timed,
    candidates: Sequence[servers.ServerState],
    call: model.Call,
    matched: Mapping[str, float],
    depth: int,
) -> list[float]:
    """Returns the scores of ``Timed`` without their random part."""
    home = _home_server(candidates, call.blocks[-1]) if call.blocks else ""
    rate = policy.rates.tokens_per_s(call.pool)
    scores = []
    for state in candidates:
        name = state.server.name
        cached = matched.get(name, 0.0)
        score = (
            expected_s(state, call, cached, rate)
            + (PREFILL_WEIGHT - 1.0) * prefill_s(call, cached, rate)
            + ROUND_TRIP_S[state.tier]
        )
        if name == home:
            missing = (len(call.blocks) - depth) * BLOCK_TOKENS
            score -= HOME_SHARE * missing / rate
        scores.append(score)
    return scores


@functools.singledispatch
def preview(
    policy: Policy,
    candidates: Sequence[servers.ServerState],
    call: model.Call,
    now: float,
) -> servers.ServerState:
    """Returns the server that ``pick`` most likely chooses.

    It changes no state. The random part of a score is left out; for a policy
    without a prediction of its own, it is the server with the least load.
    """
    del policy, call
    return min(candidates, key=lambda s: (s.load(now), s.server.name))


@preview.register
def _(
    policy: Timed,
    candidates: Sequence[servers.ServerState],
    call: model.Call,
    now: float,
) -> servers.ServerState:
    del now
    matched, depth = policy.index.match(call.blocks)
    scores = _timed_scores(policy, candidates, call, matched, depth)
    return candidates[min(range(len(scores)), key=scores.__getitem__)]


def expected_s(
    state: servers.ServerState, call: model.Call, matched: float, rate: float
) -> float:
    """Returns the expected time to the first output, in seconds.

    Args:
        state: The server.
        call: The call.
        matched: Leading blocks of the prompt that the server has cached.
        rate: Prefill rate in tokens per second.
    """
    return (
        state.pending_s
        + state.in_flight * DECODE_DELAY_S
        + prefill_s(call, matched, rate)
    )


def prefill_s(call: model.Call, matched: float, rate: float) -> float:
    """Returns the time to prefill a prompt with ``matched`` cached blocks.

    Args:
        call: The call.
        matched: Leading blocks of the prompt that the server has cached.
        rate: Prefill rate in tokens per second.
    """
    return uncached_tokens(call, matched) / rate


def uncached_tokens(call: model.Call, matched: float) -> float:
    """Returns the tokens of a prompt with ``matched`` cached blocks to read."""
    return max(0.0, call.prompt_tokens - matched * BLOCK_TOKENS)


def _home_server(candidates: Sequence[servers.ServerState], block: int) -> str:
    """Returns the home server of a block, the same one in every process."""
    return max(
        candidates,
        key=lambda s: (
            (((block ^ s.salt) * HASH_MULTIPLIER) & MASK_64_BITS) >> 32
        ),
    ).server.name


@functools.singledispatch
def cached_blocks(policy: Policy, server: str, call: model.Call) -> float:
    """Returns the number of leading blocks of a prompt cached by a server."""
    return 0.0


@cached_blocks.register
def _(policy: Timed, server: str, call: model.Call) -> float:
    return policy.index.match(call.blocks)[0].get(server, 0.0)


@functools.singledispatch
def record_choice(
    policy: Policy, server: str, call: model.Call, now: float
) -> None:
    """Records that a server will cache the call's prompt."""


@record_choice.register
def _(policy: Timed, server: str, call: model.Call, now: float) -> None:
    policy.index.add(call.blocks, server, now)


@functools.singledispatch
def apply_cache_events(
    policy: Policy, server: str, report: backends.CacheReport, now: float
) -> None:
    """Applies a server's cache events; ignored by default."""


@apply_cache_events.register
def _(
    policy: Scored, server: str, report: backends.CacheReport, now: float
) -> None:
    if report.has_gap:
        policy.index.mark_gap(server, now)
    policy.index.add(report.stored, server, now)
    policy.index.remove(report.removed, server, now)


@functools.singledispatch
def invalidate_server(policy: Policy, server: str, now: float) -> None:
    """Drops a server's cached blocks because its process was replaced."""


@invalidate_server.register(Scored)
@invalidate_server.register(Timed)
def _(policy: Scored | Timed, server: str, now: float) -> None:
    policy.index.invalidate(server, now)


def new_policy(
    opts: options.Options, seed: int, rates: prefill_rates.PrefillRates
) -> Policy:
    """Creates the policy selected in the options.

    Args:
        opts: The options.
        seed: Seed of the random part of scores.
        rates: Prefill rates of the pools.
    """
    if opts.policy == "round_robin":
        return RoundRobin()
    if opts.policy == "least_in_flight":
        return LeastInFlight()
    if opts.policy == "timed":
        return Timed(opts, seed, rates)
    return Scored(opts, seed)
