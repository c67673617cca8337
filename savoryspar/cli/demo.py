"""``savoryspar demo``."""

from cleo.commands import command

from savoryspar.cli import exit_codes


class DemoCommand(command.Command):
    """Run both example deployments on a small scale."""

    name = "demo"
    description = "Start both example deployments and send requests to them."
    help = "Example: savoryspar demo"

    def handle(self) -> int:
        """Runs the command."""
        # Imported here to keep the demo out of entry processes.
        from savoryspar.bench import demo

        passed = demo.run_demo(self.line)
        return exit_codes.OK if passed else exit_codes.FAILED
