"""The scenarios by name."""

from collections.abc import Callable, Mapping

from savoryspar.bench import results
from savoryspar.bench.scenarios import relay, rolling, state

Scenario = Callable[[int], list[results.Row]]
"""Runs a scenario with a seed and returns its rows."""

SCENARIOS: Mapping[str, Scenario] = {
    "relay-cost": relay.relay_cost,
    "relay-gap": relay.relay_gap,
    "rolling": rolling.rolling_replacement,
    "state": state.state_memory,
}
