"""``savoryspar drain``."""

import json

from cleo.commands import command
from cleo.helpers import argument, option

from savoryspar.cli import exit_codes, operator_client


class DrainCommand(command.Command):
    """Drain an entry process."""

    name = "drain"
    description = "Make an entry process finish its requests and exit."
    arguments = [argument("url", "URL of its operators' port.")]
    options = [option("json", None, "Print JSON.")]
    help = "Example: savoryspar drain http://127.0.0.1:9100"

    def handle(self) -> int:
        """Runs the command."""
        try:
            answer = operator_client.call(
                "POST", self.argument("url"), "/drain"
            )
        except operator_client.OperatorError as exc:
            self.line_error(str(exc))
            return exit_codes.FAILED
        self.line(json.dumps(answer) if self.option("json") else "Draining.")
        return exit_codes.OK
