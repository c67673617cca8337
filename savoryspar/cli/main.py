"""Entry point: prepares the process and runs one command."""

from collections.abc import Sequence
import os
import warnings


def main(argv: Sequence[str]) -> int:
    """Runs the command line.

    Args:
        argv: Program name and arguments.

    Returns:
        The exit code.
    """
    # Sockets must be replaced before any other module creates one.
    warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated")
    # Addresses are IP numbers; the green resolver would cost 25% of start-up.
    os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
    import eventlet

    eventlet.monkey_patch()
    from savoryspar.cli import application

    return application.run(argv)
