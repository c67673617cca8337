"""``savoryspar sheet check``."""

import json
import pathlib

from cleo.commands import command
from cleo.helpers import argument, option

from savoryspar import sheet
from savoryspar.cli import exit_codes, faults


class SheetCheckCommand(command.Command):
    """Validate a sheet."""

    name = "sheet check"
    description = "Validate a sheet in CSV and print every fault."
    arguments = [argument("file", "The CSV file.")]
    options = [option("json", None, "Print JSON.")]
    help = "Example: savoryspar sheet check morning.csv"

    def handle(self) -> int:
        """Runs the command."""
        text = pathlib.Path(self.argument("file")).read_text("utf-8")
        try:
            parsed = sheet.parse_csv(text, revision=1)
        except ExceptionGroup as group:
            faults.print_faults(self, group, self.option("json"))
            return exit_codes.FAILED
        if self.option("json"):
            self.line(json.dumps({"rows": len(parsed.rows), "faults": 0}))
        else:
            self.line(f"{len(parsed.rows)} rows, no faults found.")
        return exit_codes.OK
