"""Parses a sheet from CSV exported by a spreadsheet program.

The columns are ``table,name,field,value``. A byte order mark, semicolons in
place of commas and blank lines are accepted.
"""

import csv
import io

from savoryspar.sheet import exceptions, keys, model, validate

COLUMNS = ("table", "name", "field", "value")


class Cell:
    """The value of a field and its row number in the CSV file."""

    __slots__ = ("row", "value")

    def __init__(self, row: int, value: str):
        self.row = row
        self.value = value


Cells = dict[tuple[str, str], dict[str, Cell]]


def parse_csv(text: str, revision: int) -> model.Sheet:
    """Parses and validates a sheet.

    Args:
        text: The CSV file.
        revision: Revision of the new sheet.

    Raises:
        ExceptionGroup: Contains one ``SheetError`` per error found.
    """
    cells = _read_cells(text)
    rows = _without_positions(cells)
    positions = {
        (*row_id, field): cell.row
        for row_id, fields in cells.items()
        for field, cell in fields.items()
    }
    return validate.build_sheet(
        rows, revision, keys.content_digest(rows), positions
    )


def read_rows(text: str) -> dict[tuple[str, str], dict[str, str]]:
    """Parses the rows of a CSV file without validating their fields."""
    return _without_positions(_read_cells(text))


def _without_positions(cells: Cells) -> dict[tuple[str, str], dict[str, str]]:
    return {
        row_id: {field: cell.value for field, cell in fields.items()}
        for row_id, fields in cells.items()
    }


def _read_cells(text: str) -> Cells:
    text = text.removeprefix("\ufeff")
    first = text.partition("\n")[0]
    delimiter = ";" if ";" in first else ","
    reader = csv.reader(io.StringIO(text), delimiter=delimiter)
    errors: list[exceptions.SheetError] = []
    cells: Cells = {}
    try:
        header = [name.strip().lower() for name in next(reader, [])]
    except csv.Error as exc:
        header = [f"unreadable: {exc}"]
    if tuple(header) != COLUMNS:
        errors.append(
            exceptions.SheetError(
                "sheet.E001",
                1,
                "-",
                f"the header has the columns {header}",
                "use the columns " + ", ".join(COLUMNS),
            )
        )
        raise ExceptionGroup("sheet", errors)
    try:
        for values in reader:
            stripped = [value.strip() for value in values]
            if any(stripped):
                _add_row(cells, stripped, reader.line_num, errors)
    except csv.Error as exc:
        errors.append(
            exceptions.SheetError(
                "sheet.E002",
                reader.line_num,
                "-",
                f"the row cannot be read: {exc}",
                "shorten its fields, and check its quotes",
            )
        )
    if errors:
        raise ExceptionGroup("sheet", errors)
    return cells


def _add_row(
    cells: Cells,
    values: list[str],
    row: int,
    errors: list[exceptions.SheetError],
) -> None:
    if len(values) != len(COLUMNS) or not all(values[:3]):
        errors.append(
            exceptions.SheetError(
                "sheet.E002",
                row,
                "-",
                f"the row {values} lacks a table, name or field, or does not"
                " have four columns",
                "fill in table, name, field and value",
            )
        )
        return
    table, name, field, value = values
    fields = cells.setdefault((table, name), {})
    if field in fields:
        errors.append(
            exceptions.SheetError(
                "sheet.E003",
                row,
                "field",
                f"{table} {name!r} has the field {field!r} twice, first in row"
                f" {fields[field].row}",
                "delete one of the two rows",
            )
        )
        return
    fields[field] = Cell(row, value)
