"""States reported by engines, and actions sent to them."""

import enum
import functools
from typing import Any

from savoryspar import decoding

MAX_NUMBER = 1e15
"""Limit for ages in seconds and for demands."""


class CopyState(enum.Enum):
    """State of a model on an engine."""

    LOADING = "loading"
    READY = "ready"
    FAILED = "failed"


class Copy:
    """A copy of a model on an engine.

    Attributes:
        model: Name of the model.
        state: State of the copy.
        age_s: Seconds since it entered this state, at the time of the report.
        demand: Number of requests running on it and waiting for it.
    """

    __slots__ = ("age_s", "demand", "model", "state")

    def __init__(
        self, model: str, state: CopyState, age_s: float, demand: float
    ):
        self.model = model
        self.state = state
        self.age_s = age_s
        self.demand = demand


class EngineState:
    """State reported by an engine.

    Attributes:
        name: Name of the engine.
        pool: Pool that it belongs to.
        slots: Number of models that it can hold.
        copies: Its copies by model name.
        load_ages_s: Seconds since the start of each of the latest loads.
        fencing_number: Highest fencing number that it has seen, or 0 if it
            ignores them.
        read_at: Monotonic time of the report in seconds.
    """

    __slots__ = (
        "copies",
        "fencing_number",
        "load_ages_s",
        "name",
        "pool",
        "read_at",
        "slots",
    )

    def __init__(
        self,
        name: str,
        pool: str,
        slots: int,
        copies: dict[str, Copy],
        load_ages_s: tuple[float, ...],
        fencing_number: int,
        read_at: float,
    ):
        self.name = name
        self.pool = pool
        self.slots = slots
        self.copies = copies
        self.load_ages_s = load_ages_s
        self.fencing_number = fencing_number
        self.read_at = read_at


def decode_state(
    name: str, pool: str, document: dict[str, Any], now: float
) -> EngineState:
    """Decodes a state; raises ``DecodingError`` if it is malformed."""
    with decoding.reading("a state"):
        copies = {
            item["name"]: Copy(
                decoding.text(item["name"]),
                CopyState(item["state"]),
                _finite(item["age_s"]),
                _finite(item.get("demand", 0.0)),
            )
            for item in document["models"]
        }
        return EngineState(
            name,
            pool,
            decoding.integer(document["slots"], 0),
            copies,
            tuple(map(_finite, document.get("load_ages_s", ()))),
            decoding.integer(document.get("fencing_number", 0), 0),
            now,
        )


def _finite(value: Any) -> float:
    return decoding.number(value, -MAX_NUMBER, MAX_NUMBER)


class _Action:
    """Base class of the actions sent to an engine.

    Attributes:
        engine: Name of the engine.
        model: Name of the model, empty for a change of role.
        reason: Reason, for the decision log.
    """

    __slots__ = ("engine", "model", "reason")

    def __init__(self, engine: str, model: str, reason: str):
        self.engine = engine
        self.model = model
        self.reason = reason


class Load(_Action):
    """Loads a model."""

    __slots__ = ()


class Unload(_Action):
    """Unloads a model."""

    __slots__ = ()


class ChangeRole(_Action):
    """Changes the role of an engine.

    Attributes:
        role: The new role.
    """

    __slots__ = ("role",)

    def __init__(self, engine: str, role: str, reason: str):
        super().__init__(engine, "", reason)
        self.role = role


@functools.singledispatch
def action_body(action: object) -> dict[str, Any]:
    """Returns the JSON body of an action, without its fencing number."""
    raise TypeError(f"{action!r} is not an action")


@action_body.register
def _(action: Load) -> dict[str, Any]:
    return {"order": "load", "model": action.model}


@action_body.register
def _(action: Unload) -> dict[str, Any]:
    return {"order": "unload", "model": action.model}


@action_body.register
def _(action: ChangeRole) -> dict[str, Any]:
    return {"order": "role", "role": action.role}


@functools.singledispatch
def needs_confirmed_view(action: object) -> bool:
    """Returns whether the action is harmful if sent by a replaced sender."""
    del action
    return True


@needs_confirmed_view.register
def _(action: Load) -> bool:
    del action
    return False
