"""``savoryspar demo``."""

from cleo.commands import command

from savoryspar.cli import exit_codes


class DemoCommand(command.Command):
    """Run both example deployments in small."""

    name = "demo"
    description = "Start both example deployments and run work through them."
    help = "Example: savoryspar demo"

    def handle(self) -> int:
        """Runs the command."""
        # An entry process must not hold the demo in memory.
        from savoryspar.bench import demo

        is_good = demo.run_demo(self.line)
        return exit_codes.OK if is_good else exit_codes.FAILED
