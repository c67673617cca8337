"""Scenario of placement orders from a sender stopped after its last check."""

from collections.abc import Callable
import time

from savoryspar import backends, placement
from savoryspar.bench import fleet as fleet_lib
from savoryspar.bench import results

SCENARIO = "placement-window"
GAP_ORDERS = 500
STOPS = 100
GAP_TARGET = "<= 3000"
"""Milliseconds after which peers replace a silent sender."""


class Sender:
    """A sender of placement orders with its own fencing numbers."""

    __slots__ = ("_client", "_engine", "_fencing")

    def __init__(self, engine: backends.Server):
        self._engine = engine
        self._client = placement.new_engine_client()
        self._fencing = placement.FencingClock()

    def next_number(self) -> int:
        """Returns a fencing number above the highest that the engine saw."""
        state = self._client.read(self._engine, time.monotonic())
        self._fencing.observe(state.fencing_number)
        return self._fencing.next_number(time.time())

    def unload(self, number: int, after_check: Callable[[], None]) -> bool:
        """Sends an unload order and returns whether the engine accepted it."""
        order = placement.Unload(self._engine.name, "jurado-7b", "bench")
        try:
            self._client.send(self._engine, order, number, after_check)
        except placement.EngineRequestError:
            return False
        return True


def window(seed: int) -> list[results.Row]:
    """Measures accepted stale orders, and the time from check to arrival."""
    with fleet_lib.Fleet() as fleet:
        process = fleet.start("engine", ["standin", "engine", "--name", "e"])
        engine = backends.Server("e", process.address, "r", "z", "jurado-lm")
        gaps_ms = _measure_gaps_ms(fleet, process, engine)
        accepted = {
            is_fenced: _count_accepted_stale_orders(
                fleet, process, engine, is_fenced
            )
            for is_fenced in (True, False)
        }
    return [
        results.new_row(
            SCENARIO,
            f"stale unloads taken of {STOPS}, fenced (baseline: ignoring)",
            "orders",
            "== 0",
            accepted[True],
            seed,
            baseline=accepted[False],
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


def _measure_gaps_ms(
    fleet: fleet_lib.Fleet, process: fleet_lib.Process, engine: backends.Server
) -> list[float]:
    sender = Sender(engine)
    checked_at: list[float] = []
    for _ in range(GAP_ORDERS):
        sender.unload(
            sender.next_number(), lambda: checked_at.append(time.time())
        )
    orders = fleet.post_json(process, "/orders/control", {})["book"]
    return sorted(
        (order["at"] - at) * 1000.0
        for order, at in zip(orders, checked_at, strict=True)
    )


def _count_accepted_stale_orders(
    fleet: fleet_lib.Fleet,
    process: fleet_lib.Process,
    engine: backends.Server,
    is_fenced: bool,
) -> int:
    """Returns how many unload orders of a replaced sender are accepted.

    The successor sends its order between the last check of the stopped sender
    and the arrival of the stale order.
    """
    fleet.post_json(process, "/orders/control", {"is_fenced": is_fenced})
    stopped, successor = Sender(engine), Sender(engine)

    def replace() -> None:
        successor.unload(max(number + 1, successor.next_number()), lambda: None)

    accepted = 0
    for _ in range(STOPS):
        number = stopped.next_number()
        accepted += stopped.unload(number, replace)
    return accepted
