"""Orders of a sender that is stopped after its last check."""

from collections.abc import Callable
import time

from savoryspar import backends, placement
from savoryspar.bench import fleet as fleet_lib
from savoryspar.bench import results

SCENARIO = "placement-window"
GAP_ORDERS = 500
STOPS = 100
GAP_TARGET = "<= 3000"
"""Milliseconds after which peers replace a sender that is silent."""


class Sender:
    """A sender of orders with numbers of its own."""

    __slots__ = ("_client", "_engine", "_fencing")

    def __init__(self, engine: backends.Server):
        self._engine = engine
        self._client = placement.new_engine_client()
        self._fencing = placement.FencingClock()

    def next_number(self) -> int:
        """Reads the engine and returns a number above what it has seen."""
        state = self._client.read(self._engine, time.monotonic())
        self._fencing.observe(state.fencing_number)
        return self._fencing.next_number(time.time())

    def unload(self, number: int, after_check: Callable[[], None]) -> bool:
        """Orders an unload; returns whether the engine took it."""
        order = placement.Unload(self._engine.name, "jurado-7b", "bench")
        try:
            self._client.send(self._engine, order, number, after_check)
        except placement.EngineRequestError:
            return False
        return True


def window(seed: int) -> list[results.Row]:
    """Measures stale orders that engines take, and the gap they need."""
    with fleet_lib.Fleet() as fleet:
        process = fleet.start("engine", ["standin", "engine", "--name", "e"])
        engine = backends.Server("e", process.address, "r", "z", "jurado-lm")
        gaps_ms = _gaps_ms(fleet, process, engine)
        taken = {
            is_fenced: _taken_after_a_stop(fleet, process, engine, is_fenced)
            for is_fenced in (True, False)
        }
    return [
        results.new_row(
            SCENARIO,
            f"stale unloads taken of {STOPS}, fenced (baseline: ignoring)",
            "orders",
            "== 0",
            taken[True],
            seed,
            baseline=taken[False],
        ),
        results.new_row(
            SCENARIO,
            f"check to arrival, p99 of {GAP_ORDERS} orders",
            "ms",
            GAP_TARGET,
            gaps_ms[int(0.99 * len(gaps_ms))],
            seed,
        ),
    ]


def _gaps_ms(
    fleet: fleet_lib.Fleet, process: fleet_lib.Process, engine: backends.Server
) -> list[float]:
    sender = Sender(engine)
    checked: list[float] = []
    for _ in range(GAP_ORDERS):
        sender.unload(sender.next_number(), lambda: checked.append(time.time()))
    book = fleet.post_json(process, "/orders/control", {})["book"]
    return sorted(
        (order["at"] - at) * 1000.0
        for order, at in zip(book, checked, strict=True)
    )


def _taken_after_a_stop(
    fleet: fleet_lib.Fleet,
    process: fleet_lib.Process,
    engine: backends.Server,
    is_fenced: bool,
) -> int:
    """Stops a sender after its check while another one replaces it."""
    fleet.post_json(process, "/orders/control", {"is_fenced": is_fenced})
    stopped, successor = Sender(engine), Sender(engine)

    def replace() -> None:
        successor.unload(max(number + 1, successor.next_number()), lambda: None)

    taken = 0
    for _ in range(STOPS):
        number = stopped.next_number()
        taken += stopped.unload(number, replace)
    return taken
