"""``savoryspar decisions``."""

import json
from urllib import parse

from cleo.commands import command
from cleo.helpers import argument, option

from savoryspar import log
from savoryspar.cli import exit_codes, operator_client

FILTERS = {
    "request": "request_id",
    "part": "part",
    "stage": "stage",
    "workspace": "workspace",
    "rank": "rank",
}
"""Field of a decision that each option filters by."""


class DecisionsCommand(command.Command):
    """Print the most recent decisions of an entry process."""

    name = "decisions"
    description = "Print the most recent decisions of an entry process."
    arguments = [argument("url", "URL of its operators' port.")]
    options = [
        *(
            option(name, None, f"Print only this {name}.", flag=False)
            for name in FILTERS
        ),
        option("json", None, "Print one JSON object per decision."),
    ]
    help = (
        "Example: savoryspar decisions http://127.0.0.1:9100"
        " --workspace calle-libre"
    )

    def handle(self) -> int:
        """Runs the command."""
        query = parse.urlencode(
            {
                field: self.option(name)
                for name, field in FILTERS.items()
                if self.option(name)
            }
        )
        try:
            answer = operator_client.call(
                "GET", self.argument("url"), f"/decisions?{query}"
            )
        except operator_client.OperatorError as exc:
            self.line_error(str(exc))
            return exit_codes.FAILED
        for fields in answer["decisions"]:
            if self.option("json"):
                self.line(json.dumps(fields))
            else:
                decision = log.Decision(**fields)
                self.line(f"[{decision.part}] {decision.line()}")
        return exit_codes.OK
