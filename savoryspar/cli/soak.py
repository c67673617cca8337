"""``savoryspar soak``."""

import pathlib
import tempfile

from cleo.commands import command
from cleo.helpers import option

from savoryspar import soak
from savoryspar.cli import exit_codes


class SoakCommand(command.Command):
    """Run entry VMs under injected faults and check the callers' answers."""

    name = "soak"
    description = "Run entry VMs under injected faults; check the answers."
    options = [
        option("seed", None, "Seed of faults.", flag=False, default="1"),
        option("for", None, "Seconds with faults.", flag=False, default="20"),
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
            report = soak.run_soak(seed, float(self.option("for")), folder)
        for line in report.injected:
            self.line(line)
        for status, count in sorted(report.counts.items()):
            self.line(f"status {status}: {count} answers")
        for line in report.violations:
            self.line_error(f"broken: {line}")
        self.line(f"seed {seed}: {len(report.violations)} rules broken")
        return exit_codes.FAILED if report.violations else exit_codes.OK
