"""Builds a sheet from rows and reports all errors in a fixed order."""

from collections.abc import Mapping
from typing import Any

from savoryspar.sheet import exceptions, faults, model, references, tables


def build_sheet(
    rows: model.Rows, revision: int, digest: str, positions: faults.Positions
) -> model.Sheet:
    """Builds a validated sheet.

    Args:
        rows: Fields by row ID, which is (table, name).
        revision: Revision of the sheet.
        digest: Content digest of the rows.
        positions: CSV row numbers for error messages; may be empty.

    Raises:
        ExceptionGroup: Contains one ``SheetError`` per error, in a fixed
            order.
    """
    errors: list[exceptions.SheetError] = []
    converted: dict[str, dict[str, dict[str, Any]]] = {
        table: {} for table in tables.TABLES
    }
    for (table, name), fields in sorted(rows.items()):
        if table not in tables.TABLES:
            errors.append(_unknown_table(table, name, fields, positions))
            continue
        converted[table][name], row_errors = convert_fields(
            table, name, fields, positions
        )
        errors.extend(row_errors)
    if not errors:
        errors.extend(references.reference_errors(converted, positions))
    if errors:
        raise ExceptionGroup("sheet", errors)
    return _construct(rows, revision, digest, converted)


def convert_fields(
    table: str,
    name: str,
    fields: Mapping[str, str],
    positions: faults.Positions,
) -> tuple[dict[str, Any], list[exceptions.SheetError]]:
    """Converts the fields of one row and returns the values and errors."""
    known = tables.TABLES[table]
    errors = [
        _unknown_field(table, name, field, positions)
        for field in sorted(set(fields) - set(known))
    ]
    values: dict[str, Any] = {}
    for field, spec in known.items():
        text = fields.get(field, spec.default)
        if text is None:
            errors.append(_missing_field(table, name, field, fields, positions))
            continue
        try:
            values[field] = spec.convert(text)
        except ValueError as exc:
            errors.append(
                faults.new_error(
                    "sheet.E007",
                    positions,
                    (table, name, field),
                    "value",
                    f"{table} {name!r} has {field} set to the invalid value"
                    f" {text!r}",
                    f"set it to {exc}",
                )
            )
    return values, errors


def _unknown_table(
    table: str,
    name: str,
    fields: Mapping[str, str],
    positions: faults.Positions,
) -> exceptions.SheetError:
    return faults.new_error(
        "sheet.E004",
        positions,
        (table, name, next(iter(fields), "-")),
        "table",
        f"table {table!r} does not exist",
        "use one of " + ", ".join(tables.TABLES),
    )


def _unknown_field(
    table: str, name: str, field: str, positions: faults.Positions
) -> exceptions.SheetError:
    return faults.new_error(
        "sheet.E005",
        positions,
        (table, name, field),
        "field",
        f"{table} {name!r} has no field {field!r}",
        "use one of " + ", ".join(tables.TABLES[table]),
    )


def _missing_field(
    table: str,
    name: str,
    field: str,
    fields: Mapping[str, str],
    positions: faults.Positions,
) -> exceptions.SheetError:
    return faults.new_error(
        "sheet.E006",
        positions,
        (table, name, next(iter(fields), "-")),
        "field",
        f"{table} {name!r} lacks the required field {field!r}",
        "add a row for it",
    )


def _construct(
    rows: model.Rows,
    revision: int,
    digest: str,
    converted: references.Tables,
) -> model.Sheet:
    floors = dict.fromkeys(model.RANKS, 0.0)
    floors.update(
        {name: f["floor_percent"] for name, f in converted["rank"].items()}
    )
    classes = {
        "workspace": model.Workspace,
        "pool": model.Pool,
        "model": model.Model,
        "work": model.WorkType,
        "pipeline": model.Pipeline,
    }
    built = {
        table: {
            name: cls(name=name, **values)
            for name, values in converted[table].items()
        }
        for table, cls in classes.items()
    }
    return model.Sheet(
        revision=revision,
        digest=digest,
        rows=rows,
        ranks={name: model.Rank(name, floor) for name, floor in floors.items()},
        workspaces=built["workspace"],
        pools=built["pool"],
        models=built["model"],
        works=built["work"],
        pipelines=built["pipeline"],
    )
