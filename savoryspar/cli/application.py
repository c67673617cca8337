"""The cleo application and its commands."""

from collections.abc import Sequence

from cleo import application
from cleo.io.inputs import argv_input

import savoryspar
from savoryspar.cli import (
    bench,
    check,
    decisions,
    demo,
    drain,
    entry,
    sheet_check,
    sheet_diff,
    sheet_export,
    standin,
    status,
    version,
)

COMMANDS = (
    bench.BenchCommand,
    check.CheckCommand,
    decisions.DecisionsCommand,
    demo.DemoCommand,
    drain.DrainCommand,
    entry.EntryCommand,
    sheet_check.SheetCheckCommand,
    sheet_diff.SheetDiffCommand,
    sheet_export.SheetExportCommand,
    standin.StandinCommand,
    status.StatusCommand,
    version.VersionCommand,
)


def new_application() -> application.Application:
    """Returns the application with all commands."""
    app = application.Application("savoryspar", savoryspar.__version__)
    for command in COMMANDS:
        app.add(command())
    app.auto_exits(False)
    return app


def run(argv: Sequence[str]) -> int:
    """Runs one command and returns its exit code."""
    return new_application().run(argv_input.ArgvInput(list(argv)))
