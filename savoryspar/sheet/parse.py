"""Reads a sheet from CSV as a spreadsheet exports it.

The columns are ``table,name,field,value``. A byte order mark, semicolons in
place of commas and blank lines are accepted.
"""

import csv
import io

from savoryspar.sheet import exceptions, keys, model, validate

COLUMNS = ("table", "name", "field", "value")


class Cell:
    """Where a field stands in the CSV file and what it holds."""

    __slots__ = ("row", "value")

    def __init__(self, row: int, value: str):
        self.row = row
        self.value = value


Cells = dict[tuple[str, str], dict[str, Cell]]


def parse_csv(text: str, revision: int) -> model.Sheet:
    """Parses and validates a sheet.

    Args:
        text: The CSV file.
        revision: Revision to give it.

    Raises:
        ExceptionGroup: Of one ``SheetError`` for each fault found.
    """
    cells = _read_cells(text)
    rows = _rows(cells)
    positions = {
        (*item, field): cell.row
        for item, fields in cells.items()
        for field, cell in fields.items()
    }
    return validate.build_sheet(
        rows, revision, keys.content_digest(rows), positions
    )


def read_rows(text: str) -> dict[tuple[str, str], dict[str, str]]:
    """Reads the rows of a CSV file without validating their fields."""
    return _rows(_read_cells(text))


def _rows(cells: Cells) -> dict[tuple[str, str], dict[str, str]]:
    return {
        item: {field: cell.value for field, cell in fields.items()}
        for item, fields in cells.items()
    }


def _read_cells(text: str) -> Cells:
    text = text.removeprefix("\ufeff")
    first = text.partition("\n")[0]
    delimiter = ";" if ";" in first else ","
    reader = csv.reader(io.StringIO(text), delimiter=delimiter)
    faults: list[exceptions.SheetError] = []
    cells: Cells = {}
    header = [name.strip().lower() for name in next(reader, [])]
    if tuple(header) != COLUMNS:
        faults.append(
            exceptions.SheetError(
                "sheet.E001",
                1,
                "-",
                f"the header is {header}",
                "use the columns " + ", ".join(COLUMNS),
            )
        )
        raise ExceptionGroup("sheet", faults)
    for values in reader:
        stripped = [value.strip() for value in values]
        if any(stripped):
            _add_row(cells, stripped, reader.line_num, faults)
    if faults:
        raise ExceptionGroup("sheet", faults)
    return cells


def _add_row(
    cells: Cells,
    values: list[str],
    row: int,
    faults: list[exceptions.SheetError],
) -> None:
    if len(values) != len(COLUMNS) or not all(values[:3]):
        faults.append(
            exceptions.SheetError(
                "sheet.E002",
                row,
                "-",
                f"the row {values} does not fill the four columns",
                "give table, name, field and value",
            )
        )
        return
    table, name, field, value = values
    fields = cells.setdefault((table, name), {})
    if field in fields:
        faults.append(
            exceptions.SheetError(
                "sheet.E003",
                row,
                "field",
                f"{table} {name!r} gives {field!r} twice, first in row"
                f" {fields[field].row}",
                "keep one of the two rows",
            )
        )
        return
    fields[field] = Cell(row, value)
