"""Tables of the faults of a soak."""

from collections.abc import Sequence
import random
import signal

INTERVAL_S = (0.2, 1.5)
"""Range of the time between the starts of two faults. Most faults last longer,
so they overlap."""
DURATION_S = (0.5, 3.0)
"""Range of the duration of a fault."""
LIMITS_PER_S = (0.0, 0.5, 1.0, 5.0, 20.0)
LIMIT_DURATION_FACTOR = 4.0
"""Limits last longer than faults, so that several faults meet one."""
WEIGHTS = {
    "kill_vm": 2,
    "kill_all_vms": 1,
    "pause_vm": 1,
    "stop_vm": 2,
    "restart_in_turn": 1,
    "disrupt_store": 1,
    "restore_store": 2,
    "reject_vm": 1,
    "deafen_watches": 2,
    "write_odd_entries": 2,
    "write_odd_settings": 1,
    "disrupt_link": 2,
    "end_answers": 2,
    "copy_answers": 1,
    "crash_server": 1,
    "drain_server": 1,
    "limit_server": 2,
    "publish_configuration": 2,
    "kill_servers": 2,
    "pause_servers": 1,
    "copy_closed_answers": 1,
    "starve_vms": 1,
}
"""Relative frequency by fault; each is a method of ``FaultInjector``."""
ALWAYS = "publish_configuration"
BY_NAME_ONLY = frozenset({"copy_closed_answers"})
"""Faults that only occur when they are named: nothing tells the copy of a body
that ends with its connection from this body."""
KIND_SHARE = 0.5
"""Share of the kinds of faults in one run, so that some runs leave VMs in touch
with the store and some leave connections whole."""
LINK_FAULTS = (
    {"delay_ms": 300.0, "jitter_ms": 200.0},
    {"reset_percent": 50.0},
    {"cut": "up"},
    {"cut": "down"},
    {"cut": "both"},
)
ANSWER_ENDS = (
    {"end_percent": 25.0},
    {"abort_percent": 25.0},
    {"end_percent": 5.0, "abort_percent": 5.0},
)
COPY_PERCENT = 25.0
STARVED_SHARE = 0.2
STARVED_CYCLE_S = (0.05, 0.05)
"""Share of VMs that are stopped and continued in turn, and the two times."""
KILLED_SHARES = (0.01, 0.2, 0.5, 1.0)
"""Shares of the servers of a service that are killed or paused at once; one at
least is."""
STOP_ADDITIONS: tuple[tuple[signal.Signals, ...], ...] = (
    (),
    (signal.SIGTERM,),
    (signal.SIGHUP,),
    (signal.SIGHUP, signal.SIGTERM),
)
"""Signals that a process gets in its planned stop."""
RESTORE_SPANS_S = ((0.0, 1.0), (0.0, 1.5), (0.0, 0.5))
"""Ranges of the time for which a store is away before it comes back from a
copy, then of that until servers write their entries again, and of that from
then until the operator writes the configuration again."""
ODD_ENTRIES = 3
"""Number of odd entries that are written at once."""
RESTART_INTERVAL_S = (0.3, 2.0)
"""Range of the time between the stops of two VMs; a stop takes longer."""


def choose_faults(rng: random.Random, names: Sequence[str]) -> dict[str, int]:
    """Returns the weights of the faults of one run.

    Args:
        rng: Decides which kinds occur if no names are given.
        names: Names of the faults; empty for a random part of all.

    Raises:
        ValueError: A fault does not exist.
    """
    unknown = set(names) - set(WEIGHTS)
    if unknown:
        raise ValueError(f"unknown faults {sorted(unknown)}; use {[*WEIGHTS]}")
    chosen = names or [
        name
        for name in WEIGHTS
        if (rng.random() < KIND_SHARE and name not in BY_NAME_ONLY)
        or name == ALWAYS
    ]
    return {name: WEIGHTS[name] for name in chosen}
