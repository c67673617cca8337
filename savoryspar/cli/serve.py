"""``savoryspar serve``."""

from cleo.commands import command
from cleo.helpers import option

from savoryspar.cli import serving


class ServeCommand(command.Command):
    """Serve callers on the users' platform."""

    name = "serve"
    description = "Serve callers on an entry VM of the users' platform."
    options = [option("config", "c", "Settings file.", flag=False)]
    help = "Example: savoryspar serve --config entry.ini"

    def handle(self) -> int:
        """Runs the command until SIGTERM or SIGINT."""
        return serving.run(self.option("config") or "")
