"""Prints every fault of an exception group."""

from cleo.commands import command


def print_faults(cmd: command.Command, group: ExceptionGroup) -> None:
    """Writes one line for each error, with its stable ID, to stderr."""
    for exc in group.exceptions:
        check_id = getattr(exc, "check_id", type(exc).__name__)
        cmd.line_error(f"{check_id}: {exc}")
