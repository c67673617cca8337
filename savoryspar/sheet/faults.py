"""Errors that carry their location in the CSV file."""

from collections.abc import Mapping

from savoryspar.sheet import exceptions

Positions = Mapping[tuple[str, str, str], int]
"""CSV row numbers by field path, which is (table, name, field)."""


def new_error(
    check_id: str,
    positions: Positions,
    field_path: tuple[str, str, str],
    column: str,
    message: str,
    remedy: str,
) -> exceptions.SheetError:
    """Returns an error with the CSV row of a field.

    Args:
        check_id: Stable ID of the rule, for example ``sheet.E003``.
        positions: CSV row numbers by field path; may be empty.
        field_path: The (table, name, field) with the error.
        column: Name of the CSV column with the error.
        message: Description of the error.
        remedy: How to correct it.
    """
    row = positions.get(field_path, 0)
    return exceptions.SheetError(check_id, row, column, message, remedy)
