"""Plans the actions that move a zone's engines towards the state in the sheet.

Every process of a zone derives the same plan from the same reports: a plan
depends only on its arguments, and ties are broken by a hash of names.
"""

from collections.abc import Iterable, Sequence
import hashlib
import math

from savoryspar import sheet
from savoryspar.placement import model
from savoryspar.placement import options as options_lib

Options = options_lib.Options
State = model.CopyState


def plan(
    current: sheet.Sheet,
    engines: Iterable[model.EngineState],
    zones: int,
    options: Options,
    now: float,
) -> tuple[model.Load | model.Unload, ...]:
    """Returns the actions to send now, at most one for each engine.

    Args:
        current: The sheet in force.
        engines: States of the engines of one zone that were reported.
        zones: Number of availability zones with engines, which share the
            weight store.
        options: The options.
        now: Monotonic time in seconds.
    """
    ordered = sorted(engines, key=lambda engine: engine.name)
    budget = load_budget(ordered, zones, options, now)
    actions: list[model.Load | model.Unload] = []
    for name in sorted({engine.pool for engine in ordered}):
        in_pool = [engine for engine in ordered if engine.pool == name]
        actions += _PoolPlan(current, name, in_pool, options, now).derive()
    loads = [a for a in actions if isinstance(a, model.Load)]
    ranks = {name: model_rank(current, name) for name in current.models}
    loads.sort(key=lambda load: ranks[load.model])
    unloads = [a for a in actions if isinstance(a, model.Unload)]
    return (*loads[:budget], *unloads)


def load_budget(
    engines: Sequence[model.EngineState],
    zones: int,
    options: Options,
    now: float,
) -> int:
    """Returns the number of loads that this zone may start now.

    Each zone has an equal share of the weight store's rate. Senders need not
    coordinate, as the engines' reports include the loads of all senders.
    """
    share = options.loads_per_window / max(1, zones)
    # A share of less than one load per window becomes one load in a longer
    # window.
    window_s = options_lib.LOAD_WINDOW_S * max(1.0, 1.0 / share)
    started = sum(
        age_s + now - engine.read_at < window_s
        for engine in engines
        for age_s in engine.load_ages_s
    )
    return max(0, max(1, int(share)) - started)


def model_rank(current: sheet.Sheet, name: str) -> int:
    """Returns the index of the most urgent rank that uses a model."""
    return min(
        (
            sheet.RANKS.index(current.works[pipeline.work].rank)
            for pipeline in current.pipelines.values()
            if any(stage.model == name for stage in pipeline.stages)
        ),
        default=len(sheet.RANKS),
    )


class _PoolPlan:
    """Planner for one pool in one zone."""

    __slots__ = (
        "_actions",
        "_current",
        "_engines",
        "_models",
        "_now",
        "_options",
        "_targets",
    )

    def __init__(
        self,
        current: sheet.Sheet,
        pool: str,
        engines: Sequence[model.EngineState],
        options: Options,
        now: float,
    ):
        self._current = current
        self._engines = engines
        self._options = options
        self._now = now
        self._actions: dict[str, model.Load | model.Unload] = {}
        self._models = sorted(
            (
                item.name
                for item in current.models.values()
                if item.pool == pool and item.active
            ),
            key=lambda name: (model_rank(current, name), name),
        )
        self._targets = {name: self._target(name) for name in self._models}

    def derive(self) -> list[model.Load | model.Unload]:
        """Returns the actions, those for the most urgent models first."""
        for name in self._models:
            for _ in range(self._targets[name] - self._count(name)):
                if not self._grow(name):
                    break
        for name in self._models:
            if self._count(name) > self._targets[name]:
                self._shrink(name, "surplus")
        for name in sorted(self._held_models() - set(self._models)):
            self._shrink(name, "inactive")
        return [*self._actions.values()]

    def _held_models(self) -> set[str]:
        return {name for engine in self._engines for name in engine.copies}

    def _copies(self, name: str) -> list[model.Copy]:
        return [
            engine.copies[name]
            for engine in self._engines
            if name in engine.copies
            and engine.copies[name].state is not State.FAILED
        ]

    def _count(self, name: str) -> int:
        """Returns the number of copies after the actions planned so far."""
        return len(self._copies(name)) + sum(
            1 if isinstance(action, model.Load) else -1
            for action in self._actions.values()
            if action.model == name
        )

    def _target(self, name: str) -> int:
        copies = self._copies(name)
        demand = sum(copy.demand for copy in copies)
        capacity = self._options.copy_capacity
        low = math.ceil(demand / (capacity * self._options.grow_share))
        high = math.ceil(demand / (capacity * self._options.shrink_share))
        # Hysteresis: the number of copies does not change between the bounds,
        # so that small changes of demand do not alternate loads and unloads.
        target = min(max(len(copies), low), max(high, low))
        minimum = max(1, self._current.models[name].min_copies)
        return min(max(target, minimum), len(self._engines))

    def _grow(self, name: str) -> bool:
        """Plans a load or an unload that makes room; returns whether it did."""
        candidates = [
            engine
            for engine in self._engines
            if engine.name not in self._actions and self._may_load(engine, name)
        ]
        candidates.sort(
            key=lambda engine: (
                len(engine.copies),
                _rendezvous_weight(engine.name, name),
            )
        )
        for engine in candidates:
            # A failed copy still occupies its slot and is reloaded there.
            if name in engine.copies or len(engine.copies) < engine.slots:
                reason = f"{self._count(name)}_of_{self._targets[name]}_copies"
                self._actions[engine.name] = model.Load(
                    engine.name, name, reason
                )
                return True
        return any(self._make_room(engine, name) for engine in candidates)

    def _may_load(self, engine: model.EngineState, name: str) -> bool:
        copy = engine.copies.get(name)
        if copy is None:
            return True
        is_failed = copy.state is State.FAILED
        return is_failed and self._age(engine, copy) >= self._options.retry_s

    def _make_room(self, engine: model.EngineState, name: str) -> bool:
        rank = model_rank(self._current, name)
        candidates = sorted(
            set(engine.copies) - {name},
            key=lambda other: (
                -model_rank(self._current, other),
                _rendezvous_weight(engine.name, other),
            ),
        )
        for other in candidates:
            is_evictable = (
                other not in self._targets
                or self._count(other) > self._targets[other]
                or model_rank(self._current, other) > rank
            )
            if is_evictable and self._can_unload(engine, other):
                self._actions[engine.name] = model.Unload(
                    engine.name, other, f"room_for_{name}"
                )
                return True
        return False

    def _shrink(self, name: str, reason: str) -> None:
        """Plans to unload at most one copy; later plans unload the others."""
        candidates = [
            engine
            for engine in self._engines
            if name in engine.copies
            and engine.name not in self._actions
            and self._can_unload(engine, name)
        ]
        if candidates and not self._is_unloading(name):
            engine = max(
                candidates, key=lambda e: _rendezvous_weight(e.name, name)
            )
            self._actions[engine.name] = model.Unload(engine.name, name, reason)

    def _is_unloading(self, name: str) -> bool:
        return any(
            isinstance(action, model.Unload) and action.model == name
            for action in self._actions.values()
        )

    def _can_unload(self, engine: model.EngineState, name: str) -> bool:
        copy = engine.copies[name]
        if copy.state is State.FAILED:
            return True
        if copy.state is State.LOADING:
            return False
        if self._age(engine, copy) < self._options.dwell_s:
            return False
        if name not in self._targets:
            return True
        others = sum(
            other.state is State.READY for other in self._copies(name)
        ) - sum(
            isinstance(action, model.Unload) and action.model == name
            for action in self._actions.values()
        )
        return others > 1

    def _age(self, engine: model.EngineState, copy: model.Copy) -> float:
        return copy.age_s + self._now - engine.read_at


def _rendezvous_weight(engine: str, name: str) -> bytes:
    return hashlib.sha256(f"{engine}/{name}".encode()).digest()
