"""Builds a sheet from rows and reports every fault, always in one order."""

from collections.abc import Mapping
from typing import Any

from savoryspar.sheet import exceptions, faults, model, references, tables


def build_sheet(
    rows: model.Rows, revision: int, digest: str, positions: faults.Positions
) -> model.Sheet:
    """Builds a validated sheet.

    Args:
        rows: Fields by (table, name).
        revision: Revision of the sheet.
        digest: Content digest of the rows.
        positions: CSV rows for error messages; may be empty.

    Raises:
        ExceptionGroup: Of one ``SheetError`` for each fault, in sorted order.
    """
    found: list[exceptions.SheetError] = []
    converted: dict[str, dict[str, dict[str, Any]]] = {
        table: {} for table in tables.TABLES
    }
    for (table, name), fields in sorted(rows.items()):
        if table not in tables.TABLES:
            found.append(_unknown_table(table, name, fields, positions))
            continue
        converted[table][name], row_faults = convert_fields(
            table, name, fields, positions
        )
        found.extend(row_faults)
    if not found:
        found.extend(references.reference_faults(converted, positions))
    if found:
        raise ExceptionGroup("sheet", found)
    return _construct(rows, revision, digest, converted)


def convert_fields(
    table: str,
    name: str,
    fields: Mapping[str, str],
    positions: faults.Positions,
) -> tuple[dict[str, Any], list[exceptions.SheetError]]:
    """Converts the fields of one row; returns the values and the faults."""
    known = tables.TABLES[table]
    found = [
        _unknown_field(table, name, field, positions)
        for field in sorted(set(fields) - set(known))
    ]
    values: dict[str, Any] = {}
    for field, spec in known.items():
        text = fields.get(field, spec.default)
        if text is None:
            found.append(_missing_field(table, name, field, fields, positions))
            continue
        try:
            values[field] = spec.convert(text)
        except ValueError as exc:
            found.append(
                faults.new_fault(
                    "sheet.E007",
                    positions,
                    (table, name, field),
                    "value",
                    f"{table} {name!r} gives {field} the value {text!r}",
                    f"give it {exc}",
                )
            )
    return values, found


def _unknown_table(
    table: str,
    name: str,
    fields: Mapping[str, str],
    positions: faults.Positions,
) -> exceptions.SheetError:
    return faults.new_fault(
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
    return faults.new_fault(
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
    return faults.new_fault(
        "sheet.E006",
        positions,
        (table, name, next(iter(fields), "-")),
        "field",
        f"{table} {name!r} lacks the field {field!r}",
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
        "work": model.Work,
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
