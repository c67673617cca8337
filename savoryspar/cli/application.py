"""The cleo application and its commands."""

from collections.abc import Mapping, Sequence
import functools
import importlib

from cleo import application
from cleo.commands import command
from cleo.io.inputs import argv_input
from cleo.loaders import factory_command_loader

import savoryspar

COMMANDS: Mapping[str, str] = {
    "bench": "bench.BenchCommand",
    "check": "check.CheckCommand",
    "decisions": "decisions.DecisionsCommand",
    "demo": "demo.DemoCommand",
    "drain": "drain.DrainCommand",
    "entry": "entry.EntryCommand",
    "explain": "explain.ExplainCommand",
    "serve": "serve.ServeCommand",
    "sheet check": "sheet_check.SheetCheckCommand",
    "sheet diff": "sheet_diff.SheetDiffCommand",
    "sheet export": "sheet_export.SheetExportCommand",
    "soak": "soak.SoakCommand",
    "standin": "standin.StandinCommand",
    "status": "status.StatusCommand",
    "version": "version.VersionCommand",
    "where": "where.WhereCommand",
}
"""``module.Class`` in this package that implements each command."""


def new_command(name: str) -> command.Command:
    """Imports a command's module and returns an instance of its class.

    Importing on demand keeps the demo, the benchmarks and the stand-ins out
    of the memory of entry processes.
    """
    module, _, cls = COMMANDS[name].partition(".")
    return getattr(importlib.import_module(f"{__package__}.{module}"), cls)()


def new_application() -> application.Application:
    """Returns the application, which loads each command on first use."""
    app = application.Application("savoryspar", savoryspar.__version__)
    app.set_command_loader(
        factory_command_loader.FactoryCommandLoader(
            {name: functools.partial(new_command, name) for name in COMMANDS}
        )
    )
    app.auto_exits(False)
    return app


def run(argv: Sequence[str]) -> int:
    """Runs one command and returns its exit code."""
    return new_application().run(argv_input.ArgvInput(list(argv)))
