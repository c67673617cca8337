"""``savoryspar bench``."""

import pathlib

from cleo.commands import command
from cleo.helpers import argument, option

from savoryspar.bench import catalog, results
from savoryspar.cli import exit_codes

RESULTS_FILE = "bench-results.jsonl"


class BenchCommand(command.Command):
    """Measure the decisions."""

    name = "bench"
    description = "Run one scenario, or all, and print the figures."
    arguments = [argument("name", "Name of a scenario, or all.")]
    options = [option("seed", None, "Seed.", flag=False, default="1")]
    help = "Example: savoryspar bench all --seed 1"

    def handle(self) -> int:
        """Runs the command."""
        name = self.argument("name")
        names = [*catalog.SCENARIOS] if name == "all" else [name]
        if not set(names) <= set(catalog.SCENARIOS):
            known = ", ".join(catalog.SCENARIOS)
            self.line_error(f"unknown scenario {name!r}; use all or {known}")
            return exit_codes.USAGE
        rows = []
        for scenario in names:
            self.line(f"Running {scenario}.")
            rows += catalog.SCENARIOS[scenario](int(self.option("seed")))
        results.append_rows(pathlib.Path(RESULTS_FILE), rows)
        for line in results.table_lines(rows):
            self.line(line)
        is_held = all(row.held for row in rows)
        return exit_codes.OK if is_held else exit_codes.FAILED
