"""Printing of faults found in a settings file or a sheet."""

import json

from cleo.commands import command


def print_faults(
    cmd: command.Command, group: ExceptionGroup, as_json: bool = False
) -> None:
    """Prints one line for each error, with the stable ID of its check.

    Args:
        cmd: The command that prints.
        group: Errors with ``check_id``, ``message`` and ``remedy``.
        as_json: Whether to print JSON objects to standard output instead of
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
