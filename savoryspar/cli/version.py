"""``savoryspar version``."""

import json

from cleo.commands import command
from cleo.helpers import option

import savoryspar
from savoryspar.cli import exit_codes


class VersionCommand(command.Command):
    """Print the version."""

    name = "version"
    description = "Print the version."
    options = [option("json", None, "Print JSON.")]
    help = "Example: savoryspar version"

    def handle(self) -> int:
        """Runs the command."""
        version = savoryspar.__version__
        if self.option("json"):
            version = json.dumps({"version": version})
        self.line(version)
        return exit_codes.OK
