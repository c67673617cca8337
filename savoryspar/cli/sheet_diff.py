"""``savoryspar sheet diff``."""

import json
import pathlib

from cleo.commands import command
from cleo.helpers import argument, option

from savoryspar import sheet
from savoryspar.cli import exit_codes


class SheetDiffCommand(command.Command):
    """Compare two sheets."""

    name = "sheet diff"
    description = "Print the fields that differ between two sheets in CSV."
    arguments = [
        argument("old", "The older CSV file."),
        argument("new", "The newer CSV file."),
    ]
    options = [option("json", None, "Print one JSON object per field.")]
    help = "Example: savoryspar sheet diff yesterday.csv today.csv"

    def handle(self) -> int:
        """Runs the command."""
        old, new = (
            sheet.read_rows(
                pathlib.Path(self.argument(name)).read_text("utf-8")
            )
            for name in ("old", "new")
        )
        for change in sheet.diff_rows(old, new):
            self.line(
                _to_json(change) if self.option("json") else _to_text(change)
            )
        return exit_codes.OK


def _to_json(change: sheet.Change) -> str:
    return json.dumps(
        {
            "table": change.table,
            "name": change.name,
            "field": change.field,
            "old": change.old,
            "new": change.new,
        }
    )


def _to_text(change: sheet.Change) -> str:
    return (
        f"{change.table} {change.name} {change.field}:"
        f" {change.old!r} -> {change.new!r}"
    )
