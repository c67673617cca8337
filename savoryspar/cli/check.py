"""``savoryspar check``."""

import os

from cleo.commands import command
from cleo.helpers import option

from savoryspar import conf
from savoryspar.cli import exit_codes, faults


class CheckCommand(command.Command):
    """Check the settings."""

    name = "check"
    description = "Check the settings and print every fault."
    options = [option("config", "c", "Settings file.", flag=False)]
    help = "Example: savoryspar check --config entry.ini"

    def handle(self) -> int:
        """Runs the command."""
        try:
            conf.load_settings(self.option("config") or "", os.environ)
        except ExceptionGroup as group:
            faults.print_faults(self, group)
            return exit_codes.FAILED
        self.line("No faults found.")
        return exit_codes.OK
