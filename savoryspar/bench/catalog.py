"""The scenarios by name."""

from collections.abc import Callable, Mapping

from savoryspar.bench import results

Scenario = Callable[[int], list[results.Row]]
"""Runs a scenario with a seed and returns its rows."""

SCENARIOS: Mapping[str, Scenario] = {}
