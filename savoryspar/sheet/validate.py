"""Builds a sheet from rows and reports every fault, always in one order."""

from collections.abc import Callable, Mapping
from typing import Any

from savoryspar.sheet import exceptions, model

Positions = Mapping[tuple[str, str, str], int]
"""CSV row by (table, name, field)."""

POOL_KINDS = ("engine", "encoder", "retriever", "reranker", "service")
SUPPORTS = (
    "priority",
    "cancel",
    "resume",
    "kv",
    "load",
    "cache-events",
    "orders",
    "fencing",
    "idempotency-key",
)
MAX_DEADLINE_MS = 600_000
MAX_STAGES = 12


class Field:
    """One field of a table: how it is read and its default."""

    __slots__ = ("convert", "default")

    def __init__(self, convert: Callable[[str], Any], default: str | None):
        self.convert = convert
        self.default = default


def _number(low: float, high: float) -> Callable[[str], float]:
    def convert(text: str) -> float:
        expected = f"a number from {low:g} to {high:g}"
        try:
            value = float(text)
        except ValueError:
            raise ValueError(expected) from None
        if not low <= value <= high:
            raise ValueError(expected)
        return value

    return convert


def _whole(low: int, high: int) -> Callable[[str], int]:
    def convert(text: str) -> int:
        expected = f"a whole number from {low} to {high}"
        if not text.isascii() or not text.isdigit():
            raise ValueError(expected)
        if not low <= int(text) <= high:
            raise ValueError(expected)
        return int(text)

    return convert


def _one_of(*words: str) -> Callable[[str], str]:
    def convert(text: str) -> str:
        if text not in words:
            raise ValueError("one of " + ", ".join(words))
        return text

    return convert


def _flag(text: str) -> bool:
    return _one_of("yes", "no")(text) == "yes"


def _digests(text: str) -> tuple[str, ...]:
    # One digest is the usual case; splitting would keep a copy of its text.
    digests = (text,) if _is_digest(text) else tuple(text.split())
    if not all(_is_digest(digest) for digest in digests):
        raise ValueError("SHA-256 digests of 64 hexadecimal digits")
    return digests


def _is_digest(text: str) -> bool:
    return len(text) == 64 and all(c in "0123456789abcdef" for c in text)


def _supports(text: str) -> frozenset[str]:
    words = frozenset(text.split())
    if not words <= set(SUPPORTS):
        raise ValueError("words out of " + ", ".join(SUPPORTS))
    return words


def _stages(text: str) -> tuple[model.Stage, ...]:
    stages = []
    for item in text.split():
        name, equals, target = item.partition("=")
        pool, _, model_name = target.partition("/")
        if not (name and equals and pool):
            raise ValueError("stages as name=pool or name=pool/model")
        stages.append(model.Stage(name, pool, model_name))
    if not 1 <= len(stages) <= MAX_STAGES:
        raise ValueError(f"1 to {MAX_STAGES} stages")
    if len({stage.name for stage in stages}) != len(stages):
        raise ValueError("stages with different names")
    return tuple(stages)


def _text(text: str) -> str:
    return text


TABLES: Mapping[str, Mapping[str, Field]] = {
    "rank": {"floor_percent": Field(_number(0, 100), "0")},
    "workspace": {
        "share": Field(_number(0.001, 1e6), "1"),
        "key_digests": Field(_digests, ""),
    },
    "pool": {
        "kind": Field(_one_of(*POOL_KINDS), None),
        "idempotent": Field(_flag, "yes"),
        "supports": Field(_supports, ""),
        "cost": Field(_number(0.001, 1e9), "1"),
    },
    "model": {
        "pool": Field(_text, None),
        "active": Field(_flag, "yes"),
        "min_copies": Field(_whole(1, 10_000), "1"),
    },
    "work": {
        "rank": Field(_one_of(*model.RANKS), None),
        "deadline_ms": Field(_whole(1, MAX_DEADLINE_MS), None),
    },
    "pipeline": {
        "work": Field(_text, None),
        "stages": Field(_stages, None),
    },
}
"""Fields of each table, in the order in which faults are reported."""


def build_sheet(
    rows: model.Rows, revision: int, digest: str, positions: Positions
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
    faults: list[exceptions.SheetError] = []
    tables: dict[str, dict[str, dict[str, Any]]] = {t: {} for t in TABLES}
    for (table, name), fields in sorted(rows.items()):
        if table not in TABLES:
            faults.append(
                _fault(
                    "sheet.E004",
                    positions,
                    (table, name, next(iter(fields), "-")),
                    "table",
                    f"table {table!r} does not exist",
                    "use one of " + ", ".join(TABLES),
                )
            )
            continue
        tables[table][name] = _convert_fields(
            table, name, fields, positions, faults
        )
    if not faults:
        faults.extend(_reference_faults(tables, positions))
    if faults:
        raise ExceptionGroup("sheet", faults)
    return _construct(rows, revision, digest, tables)


def _fault(
    check_id: str,
    positions: Positions,
    place: tuple[str, str, str],
    column: str,
    message: str,
    remedy: str,
) -> exceptions.SheetError:
    row = positions.get(place, 0)
    return exceptions.SheetError(check_id, row, column, message, remedy)


def _convert_fields(
    table: str,
    name: str,
    fields: Mapping[str, str],
    positions: Positions,
    faults: list[exceptions.SheetError],
) -> dict[str, Any]:
    known = TABLES[table]
    faults.extend(
        _fault(
            "sheet.E005",
            positions,
            (table, name, field),
            "field",
            f"{table} {name!r} has no field {field!r}",
            "use one of " + ", ".join(known),
        )
        for field in sorted(set(fields) - set(known))
    )
    values: dict[str, Any] = {}
    for field, spec in known.items():
        text = fields.get(field, spec.default)
        place = (table, name, field)
        if text is None:
            first = (table, name, next(iter(fields), "-"))
            faults.append(
                _fault(
                    "sheet.E006",
                    positions,
                    first,
                    "field",
                    f"{table} {name!r} lacks the field {field!r}",
                    "add a row for it",
                )
            )
            continue
        try:
            values[field] = spec.convert(text)
        except ValueError as exc:
            faults.append(
                _fault(
                    "sheet.E007",
                    positions,
                    place,
                    "value",
                    f"{table} {name!r} gives {field} the value {text!r}",
                    f"give it {exc}",
                )
            )
    return values


def _reference_faults(
    tables: Mapping[str, Mapping[str, Mapping[str, Any]]],
    positions: Positions,
) -> list[exceptions.SheetError]:
    faults = []
    for name in sorted(set(tables["rank"]) - set(model.RANKS)):
        faults.append(
            _fault(
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
        faults.append(
            _fault(
                "sheet.E009",
                positions,
                ("rank", max(tables["rank"]), "floor_percent"),
                "value",
                f"the floors of all ranks add up to {total:g}%",
                "lower them to 100% or less together",
            )
        )
    faults.extend(_missing(tables, positions, "model", "pool", "pool"))
    faults.extend(_missing(tables, positions, "pipeline", "work", "work"))
    for name, fields in sorted(tables["pipeline"].items()):
        for stage in fields["stages"]:
            faults.extend(_stage_faults(tables, positions, name, stage))
    faults.extend(_key_faults(tables, positions))
    return faults


def _missing(
    tables: Mapping[str, Mapping[str, Mapping[str, Any]]],
    positions: Positions,
    table: str,
    field: str,
    target: str,
) -> list[exceptions.SheetError]:
    return [
        _fault(
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
    tables: Mapping[str, Mapping[str, Mapping[str, Any]]],
    positions: Positions,
    pipeline: str,
    stage: model.Stage,
) -> list[exceptions.SheetError]:
    place = ("pipeline", pipeline, "stages")
    pool = tables["pool"].get(stage.pool)
    if pool is None:
        return [
            _fault(
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
            _fault(
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
    tables: Mapping[str, Mapping[str, Mapping[str, Any]]],
    positions: Positions,
) -> list[exceptions.SheetError]:
    owners: dict[str, str] = {}
    faults = []
    for name, fields in sorted(tables["workspace"].items()):
        for digest in fields["key_digests"]:
            owner = owners.setdefault(digest, name)
            if owner != name:
                faults.append(
                    _fault(
                        "sheet.E012",
                        positions,
                        ("workspace", name, "key_digests"),
                        "value",
                        f"workspaces {owner!r} and {name!r} share a key digest",
                        "give each workspace keys of its own",
                    )
                )
    return faults


def _construct(
    rows: model.Rows,
    revision: int,
    digest: str,
    tables: Mapping[str, Mapping[str, Mapping[str, Any]]],
) -> model.Sheet:
    floors = dict.fromkeys(model.RANKS, 0.0)
    floors.update(
        {name: f["floor_percent"] for name, f in tables["rank"].items()}
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
            name: cls(name=name, **fields)
            for name, fields in tables[table].items()
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
