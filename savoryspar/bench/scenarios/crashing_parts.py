"""Scenario of a part of prompts that crashes engines, over simulated fleets."""

from savoryspar.bench import blame_fleet, results

DURATION_S = 30.0
STEADY_FLEETS = (3, 9, 30, 75, 195)
FAULT_FLEET = 9
MAX_ENGINES = {"a third cut off": "<= 8"}
"""Engines that may be spent; each side of a fleet that is cut searches for
itself."""
FEWER_THAN_FIVE = "<= 4"
MAX_LATE = "<= 3"
MIN_SERVED = ">= 0.95"


def crashing_parts(seed: int) -> list[results.Row]:
    """Measures how many engines one bad part costs, and what is lost."""
    cases = [
        *((size, "steady") for size in STEADY_FLEETS),
        *((FAULT_FLEET, f) for f in blame_fleet.FAULTS if f != "steady"),
    ]
    rows = []
    for size, fault in cases:
        now, before = (
            blame_fleet.play(size, fault, has_parts, DURATION_S, seed)
            for has_parts in (True, False)
        )
        label = f"{size} VMs, {fault}"
        values = (
            (
                "engines ended",
                "engines",
                MAX_ENGINES.get(fault, FEWER_THAN_FIVE),
                lambda fleet: len(fleet.crashes),
            ),
            (
                "bad requests at engines 4 s after the fifth end",
                "requests",
                MAX_LATE,
                blame_fleet.BlameFleet.late_arrivals,
            ),
            (
                "sound requests served",
                "ratio",
                MIN_SERVED,
                lambda fleet: fleet.served / fleet.sound,
            ),
        )
        rows += [
            results.new_row(
                "crashing-parts",
                f"{measure}, {label}",
                unit,
                target,
                read(now),
                seed,
                read(before),
            )
            for measure, unit, target, read in values
        ]
    return rows
