"""``savoryspar bench``."""

import pathlib

from cleo.commands import command
from cleo.helpers import argument, option

from savoryspar.cli import exit_codes

RESULTS_FILE = pathlib.Path("bench-results.jsonl")
HISTOGRAMS_FILE = pathlib.Path("bench-histograms.jsonl")
REPORT_FILE = pathlib.Path("bench-report.html")


class BenchCommand(command.Command):
    """Run benchmark scenarios."""

    name = "bench"
    description = "Run one benchmark scenario, or all, and print the results."
    arguments = [
        argument("name", "Name of a scenario, or all, slopes or report.")
    ]
    options = [option("seed", None, "Seed.", flag=False, default="1")]
    help = "Example: savoryspar bench all --seed 1"

    def handle(self) -> int:
        """Runs the command."""
        # Imported here to keep the benchmark libraries out of entry processes.
        from savoryspar.bench import catalog, slopes

        name = self.argument("name")
        if name == "report":
            return self._write_report()
        if name == "slopes":
            for line in slopes.measure_lines(int(self.option("seed"))):
                self.line(line)
            return exit_codes.OK
        names = [*catalog.SCENARIOS] if name == "all" else [name]
        if not set(names) <= set(catalog.SCENARIOS):
            known = ", ".join(catalog.SCENARIOS)
            self.line_error(
                f"unknown scenario {name!r}; use all, slopes, report or {known}"
            )
            return exit_codes.USAGE
        passed = self._run(names)
        if name == "all":
            self._write_report()
        return exit_codes.OK if passed else exit_codes.FAILED

    def _run(self, names: list[str]) -> bool:
        from savoryspar.bench import catalog, histograms, results

        rows, failed = [], []
        for scenario in names:
            self.line(f"Running {scenario}.")
            try:
                scenario_rows = catalog.SCENARIOS[scenario](
                    int(self.option("seed"))
                )
            except Exception as exc:
                # A failed scenario is reported and does not stop the others.
                self.line_error(f"scenario {scenario} failed: {exc!r}")
                failed.append(scenario)
                continue
            rows += scenario_rows
            results.append_rows(RESULTS_FILE, scenario_rows)
            histograms.append_kept(HISTOGRAMS_FILE, scenario)
        for line in results.table_lines(rows):
            self.line(line)
        return not failed and all(row.held for row in rows)

    def _write_report(self) -> int:
        from savoryspar.bench import report

        report.write_report(RESULTS_FILE, HISTOGRAMS_FILE, REPORT_FILE)
        self.line(f"Wrote {REPORT_FILE}.")
        return exit_codes.OK
