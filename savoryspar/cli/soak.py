"""``savoryspar soak``."""

import itertools
import pathlib
import tempfile

from cleo.commands import command
from cleo.helpers import option

from savoryspar import soak
from savoryspar.cli import exit_codes

SHOWN = 4
"""Violations that are printed of each rule."""


def _rule(line: str) -> str:
    """Returns the part of a line that does not name an attempt."""
    return line.partition(": ")[0]


class SoakCommand(command.Command):
    """Run entry VMs under injected faults and check the callers' answers."""

    name = "soak"
    description = "Run entry VMs under injected faults; check the answers."
    options = [
        option("seed", None, "Seed of faults.", flag=False, default="1"),
        option("for", None, "Seconds with faults.", flag=False, default="20"),
        option("vms", None, "Entry VMs.", flag=False, default="3"),
        option("callers", None, "Callers.", flag=False, default="6"),
        option("zones", None, "Availability zones.", flag=False, default="2"),
        option(
            "config-ms",
            None,
            "Time in which a configuration must be in force.",
            flag=False,
            default="2500",
        ),
        option("servers", None, "Servers, times 11.", flag=False, default="1"),
        option("checkout", None, "Code that the VMs run.", flag=False),
        option("faults", None, "Names of faults, by comma.", flag=False),
        option("logs", None, "Folder in which logs are kept.", flag=False),
    ]
    help = "Example: savoryspar soak --seed 7 --for 30 --logs soak-7"

    def handle(self) -> int:
        """Runs the command; the exit code is 1 if a rule was violated."""
        logs_folder = self.option("logs")
        with tempfile.TemporaryDirectory() as temporary:
            folder = pathlib.Path(logs_folder or temporary)
            folder.mkdir(parents=True, exist_ok=True)
            seed = int(self.option("seed"))
            faults = self.option("faults") or ""
            options = soak.Options(
                seed,
                float(self.option("for")),
                int(self.option("vms")),
                int(self.option("callers")),
                [name for name in faults.split(",") if name],
                int(self.option("zones")),
                int(self.option("config-ms")),
                self.option("checkout") or "",
                int(self.option("servers")),
            )
            try:
                report = soak.run_soak(options, folder)
            except ValueError as exc:
                self.line_error(str(exc))
                return exit_codes.USAGE
        for line in report.injected:
            self.line(line)
        for status, count in sorted(report.counts.items()):
            self.line(f"status {status}: {count} answers")
        self.line(f"versions of {report.judged} answers were judged")
        self.line(
            f"VMs started in {report.started_s:.1f} s;"
            f" the largest uses {report.peak_mb:.0f} MB"
        )
        self.line(f"the soak itself was held up for {report.lag_s:.2f} s")
        for rule, lines in itertools.groupby(
            sorted(report.violations, key=_rule), _rule
        ):
            found = [*lines]
            self.line_error(f"broken {len(found)} times: {rule}")
            for line in found[:SHOWN]:
                self.line_error(f"  {line}")
        self.line(f"seed {seed}: {len(report.violations)} rules broken")
        return exit_codes.FAILED if report.violations else exit_codes.OK
