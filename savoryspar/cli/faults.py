"""Prints every fault of an exception group."""

import json

from cleo.commands import command


def print_faults(
    cmd: command.Command, group: ExceptionGroup, as_json: bool = False
) -> None:
    """Writes one line for each error, with its stable ID.

    Args:
        cmd: The command that writes.
        group: Of errors with ``check_id``, ``message`` and ``remedy``.
        as_json: Whether to write JSON objects to standard output instead of
            text to standard error.
    """
    for exc in group.exceptions:
        if as_json:
            cmd.line(
                json.dumps(
                    {
                        "id": exc.check_id,
                        "level": "error",
                        "message": exc.message,
                        "hint": exc.remedy,
                    }
                )
            )
        else:
            cmd.line_error(f"{exc.check_id}: {exc}")
