"""Entry point of the program: patches the process and runs one command."""

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
    # eventlet must patch sockets before any other module creates one.
    warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated")
    # All addresses are IP addresses, so eventlet's DNS resolver is not needed;
    # loading it would take 25% of the start-up time.
    os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
    import eventlet

    eventlet.monkey_patch()
    from savoryspar.cli import application

    return application.run(argv)
