"""``savoryspar version``."""

from cleo.commands import command

import savoryspar
from savoryspar.cli import exit_codes


class VersionCommand(command.Command):
    """Print the version."""

    name = "version"
    description = "Print the version."
    help = "Example: savoryspar version"

    def handle(self) -> int:
        """Runs the command."""
        self.line(savoryspar.__version__)
        return exit_codes.OK
