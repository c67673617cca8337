"""Checks what a sheet's rows say of each other."""

from collections.abc import Mapping
from typing import Any

from savoryspar.sheet import exceptions, faults, model

Tables = Mapping[str, Mapping[str, Mapping[str, Any]]]
"""Converted fields by table and name."""


def reference_faults(
    tables: Tables,
    positions: faults.Positions,
) -> list[exceptions.SheetError]:
    """Returns the faults of references, floors and shared keys."""
    found = []
    for name in sorted(set(tables["rank"]) - set(model.RANKS)):
        found.append(
            faults.new_fault(
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
        found.append(
            faults.new_fault(
                "sheet.E009",
                positions,
                ("rank", max(tables["rank"]), "floor_percent"),
                "value",
                f"the floors of all ranks add up to {total:g}%",
                "lower them to 100% or less together",
            )
        )
    found.extend(_missing(tables, positions, "model", "pool", "pool"))
    found.extend(_missing(tables, positions, "pipeline", "work", "work"))
    for name, fields in sorted(tables["pipeline"].items()):
        for stage in fields["stages"]:
            found.extend(_stage_faults(tables, positions, name, stage))
    found.extend(_key_faults(tables, positions))
    return found


def _missing(
    tables: Tables,
    positions: faults.Positions,
    table: str,
    field: str,
    target: str,
) -> list[exceptions.SheetError]:
    return [
        faults.new_fault(
            "sheet.E010",
            positions,
            (table, name, field),
            "value",
            f"{table} {name!r} names the {target} {fields[field]!r},"
            " which does not exist",
            f"add the {target} or name another",
        )
        for name, fields in sorted(tables[table].items())
        if fields[field] not in tables[target]
    ]


def _stage_faults(
    tables: Tables,
    positions: faults.Positions,
    pipeline: str,
    stage: model.Stage,
) -> list[exceptions.SheetError]:
    place = ("pipeline", pipeline, "stages")
    pool = tables["pool"].get(stage.pool)
    if pool is None:
        return [
            faults.new_fault(
                "sheet.E010",
                positions,
                place,
                "value",
                f"stage {stage.name!r} of pipeline {pipeline!r} names the"
                f" pool {stage.pool!r}, which does not exist",
                "add the pool or name another",
            )
        ]
    known = tables["model"].get(stage.model, {}).get("pool") == stage.pool
    if (pool["kind"] == "engine") != bool(stage.model) or (
        stage.model and not known
    ):
        return [
            faults.new_fault(
                "sheet.E011",
                positions,
                place,
                "value",
                f"stage {stage.name!r} of pipeline {pipeline!r} names the"
                f" model {stage.model!r} of pool {stage.pool!r}",
                "name a model of the pool for an engine pool, and none for"
                " other pools",
            )
        ]
    return []


def _key_faults(
    tables: Tables,
    positions: faults.Positions,
) -> list[exceptions.SheetError]:
    owners: dict[str, str] = {}
    found = []
    for name, fields in sorted(tables["workspace"].items()):
        for digest in fields["key_digests"]:
            owner = owners.setdefault(digest, name)
            if owner != name:
                found.append(
                    faults.new_fault(
                        "sheet.E012",
                        positions,
                        ("workspace", name, "key_digests"),
                        "value",
                        f"workspaces {owner!r} and {name!r} share a key digest",
                        "give each workspace keys of its own",
                    )
                )
    return found
