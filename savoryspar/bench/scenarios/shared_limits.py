"""Scenario of a server's rate limit that all entry VMs share."""

import eventlet

from savoryspar.bench import limit_fleet, results

DURATION_S = 14.0
STEADY_FLEETS = ((3, 0.5), (9, 1.0), (9, 50.0), (30, 5.0), (75, 1.0))
FAULT_FLEET = (9, 5.0)
MIN_USE_STEADY = ">= 0.8"
MIN_USE_AFTER_FAULT = ">= 0.5"


def shared_limits(seed: int) -> list[results.Row]:
    """Measures how the limit of one server is kept and used."""
    cases = [
        *((size, limit, "steady") for size, limit in STEADY_FLEETS),
        *(
            (*FAULT_FLEET, fault)
            for fault in limit_fleet.FAULTS
            if fault != "steady"
        ),
    ]
    pool = eventlet.GreenPool()
    played = pool.imap(
        lambda case: limit_fleet.play(*case, DURATION_S, seed), cases
    )
    rows = []
    for (size, limit, fault), simulated in zip(cases, played, strict=True):
        label = f"{size} VMs, {limit:g} per second, {fault}"
        rows.append(
            results.new_row(
                "shared-limits",
                f"worst 4 s as a ratio of the allowed, {label}",
                "ratio",
                "<= 1",
                simulated.excess(limit),
                seed,
            )
        )
        rows.append(
            results.new_row(
                "shared-limits",
                f"limit used, {label}",
                "ratio",
                MIN_USE_STEADY if fault == "steady" else MIN_USE_AFTER_FAULT,
                simulated.use(limit),
                seed,
            )
        )
    return rows
