"""The scenarios by name."""

from collections.abc import Callable, Mapping

from savoryspar.bench import results
from savoryspar.bench.scenarios import membership

Scenario = Callable[[int], list[results.Row]]
"""Runs a scenario with a seed and returns its rows."""

SCENARIOS: Mapping[str, Scenario] = {
    "config-spread": membership.configuration_spread,
    "stale-service": membership.stale_service,
    "control-traffic": membership.control_traffic,
}
