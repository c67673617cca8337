"""Faults with the place in the CSV file where they stand."""

from collections.abc import Mapping

from savoryspar.sheet import exceptions

Positions = Mapping[tuple[str, str, str], int]
"""CSV row by (table, name, field)."""


def new_fault(
    check_id: str,
    positions: Positions,
    place: tuple[str, str, str],
    column: str,
    message: str,
    remedy: str,
) -> exceptions.SheetError:
    """Returns a fault of the (table, name, field) at a place."""
    row = positions.get(place, 0)
    return exceptions.SheetError(check_id, row, column, message, remedy)
