"""Tables and fields of a sheet, with the converters of their values.

Each converter raises ``ValueError`` with a description of the accepted values,
which follows "set it to" in the remedy.
"""

from collections.abc import Callable, Mapping
from typing import Any

from savoryspar.sheet import model

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
    """One field of a table: its converter and default; None if required."""

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


def _integer(low: int, high: int) -> Callable[[str], int]:
    def convert(text: str) -> int:
        expected = f"an integer from {low} to {high}"
        if not text.isascii() or not text.isdigit():
            raise ValueError(expected)
        if not low <= int(text) <= high:
            raise ValueError(expected)
        return int(text)

    return convert


def _one_of(*choices: str) -> Callable[[str], str]:
    def convert(text: str) -> str:
        if text not in choices:
            raise ValueError("one of " + ", ".join(choices))
        return text

    return convert


def _yes_or_no(text: str) -> bool:
    return _one_of("yes", "no")(text) == "yes"


def _digests(text: str) -> tuple[str, ...]:
    # Most values hold one digest; splitting them would copy the string.
    digests = (text,) if _is_digest(text) else tuple(text.split())
    if not all(_is_digest(digest) for digest in digests):
        raise ValueError("SHA-256 digests of 64 hexadecimal digits")
    return digests


def _is_digest(text: str) -> bool:
    return len(text) == 64 and all(c in "0123456789abcdef" for c in text)


def _supports(text: str) -> frozenset[str]:
    features = frozenset(text.split())
    if not features <= set(SUPPORTS):
        raise ValueError("a subset of " + ", ".join(SUPPORTS))
    return features


def _stages(text: str) -> tuple[model.Stage, ...]:
    stages = []
    for item in text.split():
        name, equals, target = item.partition("=")
        pool, _, model_name = target.partition("/")
        if not (name and equals and pool):
            raise ValueError("stages written as name=pool or name=pool/model")
        stages.append(model.Stage(name, pool, model_name))
    if not 1 <= len(stages) <= MAX_STAGES:
        raise ValueError(f"1 to {MAX_STAGES} stages")
    if len({stage.name for stage in stages}) != len(stages):
        raise ValueError("stages with unique names")
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
        "idempotent": Field(_yes_or_no, "yes"),
        "supports": Field(_supports, ""),
        "cost": Field(_number(0.001, 1e9), "1"),
    },
    "model": {
        "pool": Field(_text, None),
        "active": Field(_yes_or_no, "yes"),
        "min_copies": Field(_integer(1, 10_000), "1"),
    },
    "work": {
        "rank": Field(_one_of(*model.RANKS), None),
        "deadline_ms": Field(_integer(1, MAX_DEADLINE_MS), None),
    },
    "pipeline": {
        "work": Field(_text, None),
        "stages": Field(_stages, None),
    },
}
"""Fields of each table, in the order in which errors are reported."""
