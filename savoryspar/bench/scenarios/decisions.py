"""Scenarios of routing decisions in one process, without a fleet."""

import collections
import random
import time

from savoryspar import backends, log
from savoryspar import routing as routing_lib
from savoryspar.bench import results
from savoryspar.routing import affinity, subsets

ENTRIES = 38
ENGINES = 160
WORKSPACES = 36000
POOL = "lm"


def _servers(prefix: str, count: int) -> list[backends.Server]:
    return [
        backends.Server(f"{prefix}{n}", f"{prefix}:{n}", "r", "z", POOL)
        for n in range(count)
    ]


def _new_router(
    entry: str, policy: str, subset_size: int = 24
) -> routing_lib.Router:
    router = routing_lib.new_router(
        log.new_decision_log(0.0),
        routing_lib.Options(entry, "r", "z", policy, subset_size=subset_size),
    )
    entries = _servers("entry-", ENTRIES)
    router.replace_servers(_servers("engine-", ENGINES), 0.0, (), entries)
    return router


def decision_time(seed: int) -> list[results.Row]:
    """Measures a decision with 160 engines and 36,000 workspaces."""
    times = {
        policy: _decision_p99_ms(seed, policy)
        for policy in ("least_in_flight", "scored")
    }
    return [
        results.new_row(
            "decision-time",
            "routing decision p99, 160 engines",
            "ms",
            "<= 1",
            times["scored"],
            seed,
            times["least_in_flight"],
        )
    ]


def _decision_p99_ms(seed: int, policy: str) -> float:
    """Returns the p99 in the worst case, with every engine in the subset."""
    rng = random.Random(seed)
    router = _new_router("entry-0", policy, subset_size=ENGINES)
    documents = [
        "".join(
            rng.choices("abcdef ", k=affinity.BLOCK_CHARS * rng.randint(1, 32))
        )
        for _ in range(200)
    ]
    times, running = [], []
    for number in range(6000):
        now = number * 0.002
        call = routing_lib.Call(
            f"req-{number}",
            f"workspace-{rng.randrange(WORKSPACES)}",
            "urgent",
            "generate",
            POOL,
            "m",
            rng.choice(documents),
            frozenset(),
            4000,
            True,
        )
        started_at = time.perf_counter()
        choice = router.choose(call, now)
        times.append(time.perf_counter() - started_at)
        running.append(choice)
        if len(running) > 200:
            ended = running.pop(rng.randrange(len(running)))
            load = rng.randrange(8)
            router.observe(ended, routing_lib.Outcome.OK, load, now)
    return sorted(times)[int(0.99 * len(times))] * 1000.0


def subset_balance(seed: int) -> list[results.Row]:
    """Measures how evenly 38 entry processes use 160 engines."""
    entries = [f"entry-{n}" for n in range(ENTRIES)]
    engines = [f"engine-{n}" for n in range(ENGINES)]
    plain = collections.Counter(
        server
        for entry in entries
        for server in sorted(engines, key=lambda s: subsets.weight(entry, s))[
            :24
        ]
    )
    assigned = subsets.assign(entries, engines, 24)
    bounded = collections.Counter(s for a in assigned.values() for s in a)
    mean = ENTRIES * 24 / ENGINES
    calls = _calls_by_engine(seed)
    return [
        results.new_row(
            "subsets",
            "entry processes on the busiest engine / mean",
            "ratio",
            "<= 1.25",
            max(bounded.values()) / mean,
            seed,
            max(plain.values()) / mean,
        ),
        results.new_row(
            "subsets",
            "entry processes on the least used engine / mean",
            "ratio",
            ">= 0.6",
            min(bounded[e] for e in engines) / mean,
            seed,
            min(plain[e] for e in engines) / mean,
        ),
        results.new_row(
            "subsets",
            "calls on the busiest engine / mean",
            "ratio",
            "<= 1.25",
            max(calls.values()) * ENGINES / sum(calls.values()),
            seed,
        ),
    ]


def _calls_by_engine(seed: int) -> collections.Counter[str]:
    """Returns the calls by engine when all entry processes have equal load.

    A process gets the load of an engine only with the answers to its own calls
    to that engine.
    """
    rng = random.Random(seed)
    routers = [_new_router(f"entry-{n}", "scored") for n in range(ENTRIES)]
    at_engine: collections.Counter[str] = collections.Counter()
    calls: collections.Counter[str] = collections.Counter()
    running = collections.deque()
    for number in range(20000):
        now = number * 0.001
        router = rng.choice(routers)
        call = routing_lib.Call(
            "r", "w", "urgent", "s", POOL, "m", "", frozenset(), 0, True
        )
        choice = router.choose(call, now)
        at_engine[choice.server.name] += 1
        calls[choice.server.name] += 1
        running.append((router, choice))
        if len(running) > 640:
            router, ended = running.popleft()
            at_engine[ended.server.name] -= 1
            load = at_engine[ended.server.name]
            router.observe(ended, routing_lib.Outcome.OK, load, now)
    return calls
