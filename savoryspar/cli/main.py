"""Entry point of the program: patches the process and runs one command."""

from collections.abc import Sequence
import gc
import os
import warnings


def main(argv: Sequence[str]) -> int:
    """Runs the command line.

    Args:
        argv: Program name and arguments.

    Returns:
        The exit code.
    """
    # Collections while modules are imported find next to nothing to free.
    gc.disable()
    # eventlet must patch sockets before any other module creates one.
    warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated")
    # All addresses are IP addresses, so eventlet's DNS resolver is not needed;
    # loading it would take 25% of the start-up time.
    os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
    import eventlet

    from savoryspar import eventloop

    eventloop.install()
    eventlet.monkey_patch()
    if [*argv[1:]] == ["serve"]:
        from savoryspar.cli import serving

        return serving.run()
    from savoryspar.cli import application

    gc.enable()
    return application.run(argv)
