"""``savoryspar status``."""

import json
from typing import Any

from cleo.commands import command
from cleo.helpers import argument, option

from savoryspar.cli import exit_codes, operator_client


class StatusCommand(command.Command):
    """Print the status of an entry process."""

    name = "status"
    description = "Print the status of an entry process."
    arguments = [argument("url", "URL of its operators' port.")]
    options = [option("json", None, "Print JSON.")]
    help = "Example: savoryspar status http://127.0.0.1:9100"

    def handle(self) -> int:
        """Runs the command."""
        try:
            status = operator_client.call(
                "GET", self.argument("url"), "/status"
            )
        except operator_client.OperatorError as exc:
            self.line_error(str(exc))
            return exit_codes.FAILED
        if self.option("json"):
            self.line(json.dumps(status))
        else:
            for line in _lines("", status):
                self.line(line)
        return exit_codes.OK


def _lines(prefix: str, value: Any) -> list[str]:
    if isinstance(value, dict):
        return [
            line
            for key, item in value.items()
            for line in _lines(f"{prefix}.{key}".lstrip("."), item)
        ]
    return [f"{prefix}: {value}"]
