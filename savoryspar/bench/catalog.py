"""The scenarios by name."""

from collections.abc import Callable, Mapping

from savoryspar.bench import results
from savoryspar.bench.scenarios import (
    decisions,
    orders,
    placement,
    relay,
    routing,
    scheduling_decisions,
)

Scenario = Callable[[int], list[results.Row]]
"""Runs a scenario with a seed and returns its rows."""

SCENARIOS: Mapping[str, Scenario] = {
    "orders": orders.orders,
    "placement-window": placement.window,
    "order-owners": orders.owners,
    "relay-cost": relay.relay_cost,
    "relay-gap": relay.relay_gap,
    "sched-decisions": scheduling_decisions.run_decisions,
    "sched-zone": scheduling_decisions.run_zone,
    "prefix": routing.prefix,
    "regions": routing.regions,
    "retries": routing.retries,
    "crashing": routing.crashing,
    "leaving": routing.leaving,
    "decision-time": decisions.decision_time,
    "subsets": decisions.subset_balance,
}
