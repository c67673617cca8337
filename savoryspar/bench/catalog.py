"""The scenarios by name."""

from collections.abc import Callable, Mapping

from savoryspar.bench import results
from savoryspar.bench.scenarios import (
    crashing_parts,
    decisions,
    membership,
    orders,
    placement,
    relay,
    rolling,
    routing,
    scheduling,
    scheduling_decisions,
    shared_limits,
    state,
    zones,
)

Scenario = Callable[[int], list[results.Row]]
"""Runs a scenario with a seed and returns its result rows."""

SCENARIOS: Mapping[str, Scenario] = {
    "orders": orders.orders,
    "placement-window": placement.window,
    "order-owners": orders.owners,
    "relay-cost": relay.relay_cost,
    "relay-gap": relay.relay_gap,
    "rolling": rolling.rolling_replacement,
    "sched-bulk-flood": scheduling.bulk_flood,
    "sched-urgent-flood": scheduling.urgent_flood,
    "sched-small": scheduling.small_and_large,
    "sched-entries": scheduling.zone_fairness,
    "sched-decisions": scheduling_decisions.run_decisions,
    "sched-zone": scheduling_decisions.run_zone,
    "prefix": routing.prefix,
    "regions": routing.regions,
    "retries": routing.retries,
    "crashing": routing.crashing,
    "crashing-parts": crashing_parts.crashing_parts,
    "leaving": routing.leaving,
    "ejection": routing.ejection,
    "limits": routing.limits,
    "shared-limits": shared_limits.shared_limits,
    "decision-time": decisions.decision_time,
    "subsets": decisions.subset_balance,
    "config-spread": membership.configuration_spread,
    "stale-service": membership.stale_service,
    "control-traffic": membership.control_traffic,
    "silent-zone": zones.silent_zone,
    "state": state.state_memory,
}
