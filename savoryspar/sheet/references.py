"""Checks the references between the rows of a sheet, and their totals."""

from collections.abc import Mapping
from typing import Any

from savoryspar.sheet import exceptions, faults, model

Tables = Mapping[str, Mapping[str, Mapping[str, Any]]]
"""Converted field values by table, name and field."""


def reference_errors(
    tables: Tables,
    positions: faults.Positions,
) -> list[exceptions.SheetError]:
    """Returns the errors in references, rank floors and API keys."""
    errors = []
    for name in sorted(set(tables["rank"]) - set(model.RANKS)):
        errors.append(
            faults.new_error(
                "sheet.E008",
                positions,
                ("rank", name, "floor_percent"),
                "name",
                f"rank {name!r} does not exist",
                "use one of " + ", ".join(model.RANKS),
            )
        )
    total = sum(rank["floor_percent"] for rank in tables["rank"].values())
    if total > 100:
        errors.append(
            faults.new_error(
                "sheet.E009",
                positions,
                ("rank", max(tables["rank"]), "floor_percent"),
                "value",
                f"the floors of all ranks add up to {total:g}%",
                "lower them to 100% or less in total",
            )
        )
    errors.extend(
        _missing_target_errors(tables, positions, "model", "pool", "pool")
    )
    errors.extend(
        _missing_target_errors(tables, positions, "pipeline", "work", "work")
    )
    for name, fields in sorted(tables["pipeline"].items()):
        for stage in fields["stages"]:
            errors.extend(_stage_errors(tables, positions, name, stage))
    errors.extend(_key_errors(tables, positions))
    return errors


def _missing_target_errors(
    tables: Tables,
    positions: faults.Positions,
    table: str,
    field: str,
    target: str,
) -> list[exceptions.SheetError]:
    return [
        faults.new_error(
            "sheet.E010",
            positions,
            (table, name, field),
            "value",
            f"{table} {name!r} refers to the {target} {fields[field]!r},"
            " which does not exist",
            f"add the {target} or use another",
        )
        for name, fields in sorted(tables[table].items())
        if fields[field] not in tables[target]
    ]


def _stage_errors(
    tables: Tables,
    positions: faults.Positions,
    pipeline: str,
    stage: model.Stage,
) -> list[exceptions.SheetError]:
    field_path = ("pipeline", pipeline, "stages")
    pool = tables["pool"].get(stage.pool)
    if pool is None:
        return [
            faults.new_error(
                "sheet.E010",
                positions,
                field_path,
                "value",
                f"stage {stage.name!r} of pipeline {pipeline!r} refers to the"
                f" pool {stage.pool!r}, which does not exist",
                "add the pool or use another",
            )
        ]
    is_model_of_pool = (
        tables["model"].get(stage.model, {}).get("pool") == stage.pool
    )
    if (pool["kind"] == "engine") != bool(stage.model) or (
        stage.model and not is_model_of_pool
    ):
        return [
            faults.new_error(
                "sheet.E011",
                positions,
                field_path,
                "value",
                f"stage {stage.name!r} of pipeline {pipeline!r} has the model"
                f" {stage.model!r}, which does not fit pool {stage.pool!r}",
                "use a model of the pool for an engine pool, and none for"
                " other pools",
            )
        ]
    return []


def _key_errors(
    tables: Tables,
    positions: faults.Positions,
) -> list[exceptions.SheetError]:
    owners: dict[str, str] = {}
    errors = []
    for name, fields in sorted(tables["workspace"].items()):
        for digest in fields["key_digests"]:
            owner = owners.setdefault(digest, name)
            if owner != name:
                errors.append(
                    faults.new_error(
                        "sheet.E012",
                        positions,
                        ("workspace", name, "key_digests"),
                        "value",
                        f"workspaces {owner!r} and {name!r} have the same key"
                        " digest",
                        "use different API keys for each workspace",
                    )
                )
    return errors
