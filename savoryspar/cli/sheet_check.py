"""``savoryspar sheet check``."""

import pathlib

from cleo.commands import command
from cleo.helpers import argument

from savoryspar import sheet
from savoryspar.cli import exit_codes, faults


class SheetCheckCommand(command.Command):
    """Validate a sheet."""

    name = "sheet check"
    description = "Validate a sheet in CSV and print every fault."
    arguments = [argument("file", "The CSV file.")]
    help = "Example: savoryspar sheet check morning.csv"

    def handle(self) -> int:
        """Runs the command."""
        text = pathlib.Path(self.argument("file")).read_text("utf-8")
        try:
            parsed = sheet.parse_csv(text, revision=1)
        except ExceptionGroup as group:
            faults.print_faults(self, group)
            return exit_codes.FAILED
        self.line(f"{len(parsed.rows)} rows, no faults found.")
        return exit_codes.OK
