"""``savoryspar check``."""

import json
import os

from cleo.commands import command
from cleo.helpers import option

from savoryspar import checks, conf
from savoryspar.cli import exit_codes, faults


class CheckCommand(command.Command):
    """Check the settings."""

    name = "check"
    description = "Check the settings and print every fault."
    options = [
        option("config", "c", "Settings file.", flag=False),
        option("json", None, "Print one JSON object per fault."),
    ]
    help = "Example: savoryspar check --config entry.ini"

    def handle(self) -> int:
        """Runs the command."""
        try:
            cfg = conf.load_settings(self.option("config") or "", os.environ)
        except ExceptionGroup as group:
            faults.print_faults(self, group, self.option("json"))
            return exit_codes.FAILED
        messages = checks.run_checks(cfg)
        for message in messages:
            self.line(self._format(message))
        if any(m.level is checks.Level.ERROR for m in messages):
            return exit_codes.FAILED
        if not messages and not self.option("json"):
            self.line("No faults found.")
        return exit_codes.OK

    def _format(self, message: checks.CheckMessage) -> str:
        if not self.option("json"):
            return f"{message.level.value} {message}"
        return json.dumps(
            {
                "id": message.check_id,
                "level": message.level.value,
                "message": message.message,
                "hint": message.hint,
            }
        )
