"""``savoryspar sheet export``."""

import json
import pathlib

from cleo.commands import command
from cleo.helpers import argument, option

from savoryspar import sheet
from savoryspar.cli import exit_codes, faults


class SheetExportCommand(command.Command):
    """Render a sheet as keys of the configuration service."""

    name = "sheet export"
    description = "Print the keys to publish for a sheet, as one JSON object."
    arguments = [argument("file", "The CSV file.")]
    options = [
        option("revision", None, "Revision to publish.", flag=False),
        option("previous", None, "CSV file of the last revision.", flag=False),
    ]
    help = (
        "Example: savoryspar sheet export today.csv --revision 7"
        " --previous yesterday.csv"
    )

    def handle(self) -> int:
        """Runs the command."""
        revision = int(self.option("revision"))
        text = pathlib.Path(self.argument("file")).read_text("utf-8")
        try:
            parsed = sheet.parse_csv(text, revision)
        except ExceptionGroup as group:
            faults.print_faults(self, group)
            return exit_codes.FAILED
        previous = self.option("previous")
        old = (
            sheet.read_rows(pathlib.Path(previous).read_text("utf-8"))
            if previous
            else {}
        )
        rendered = sheet.render_keys(
            parsed.rows, revision, revision - 1 if previous else 0, old
        )
        self.line(json.dumps(rendered))
        return exit_codes.OK
