"""Scenarios of orders that must run at most once, with injected faults."""

import random
import time

import eventlet

from savoryspar import idempotency
from savoryspar.bench import (
    deployments,
    order_client,
    order_simulation,
    order_tally,
    owner_designs,
    results,
)
from savoryspar.bench import fleet as fleet_lib

SCENARIO = "orders"
TARGET_SENDS = 20_000
REAL_S = 18.0
WORKERS = 12
MAX_SENDS = 4
RESEND_S = 0.05
SERVICE_WORK_MS = 2
SIMULATED_WORKERS = 8
SIMULATED_SERVICES = 5
BASELINE_SENDS = 5000
KILL_EVERY, REPLACE_EVERY = 900, 700
START_S = 2.5
"""Time for a new entry process to start before its port is read."""


class RealRun:
    """Callers of a fleet of real processes with injected faults."""

    def __init__(self, fleet: fleet_lib.Fleet, seed: int):
        self.tally = order_tally.Tally()
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._entries = deployments.start(
            deployments.GESTO,
            fleet,
            backends_share=0.1,
            settings={"log": {"level": "error"}},
        )
        self._service = fleet.processes["inscripciones-0"]
        self._client = order_client.OrderClient(
            "key-calle-libre", "registration"
        )
        self._ends_at = 0.0
        self._numbers = iter(range(10**9))

    def run_load(self) -> dict[str, list[str]]:
        """Runs callers and faults; returns the sends that ran, by order."""
        self._fleet.control(self._service, {"work_ms": SERVICE_WORK_MS})
        self._ends_at = time.monotonic() + REAL_S
        pool = eventlet.GreenPool()
        for _ in range(WORKERS):
            pool.spawn_n(self._run_caller)
        pool.spawn_n(self._fail_service)
        pool.spawn_n(self._fail_entries)
        pool.waitall()
        runs: dict[str, list[str]] = {}
        records = self._fleet.get_json(self._service, "/book")["runs"]
        for run in records:
            order = str(run["input"]["number"])
            runs.setdefault(order, []).append(run["request_id"])
        return runs

    def _run_caller(self) -> None:
        while time.monotonic() < self._ends_at:
            number = next(self._numbers)
            ticket = self._client.ticket(self._rng.choice(self._entries))
            if ticket:
                self._send_order(str(number), number, ticket)

    def _send_order(self, order: str, number: int, ticket: str) -> None:
        self.tally.orders += 1
        # A resend after success must return the same result.
        remaining_successes = 1 + (self._rng.random() < 0.3)
        for _ in range(MAX_SENDS):
            reply = self._client.send(
                self._rng.choice(self._entries), {"number": number}, ticket
            )
            output = reply.document.get("output") or {}
            run_state = reply.run_state or "no answer"
            is_wrong = (
                bool(output) and output.get("input", {}).get("number") != number
            )
            send = reply.document.get("request_id", "")
            self.tally.record_answer(order, send, run_state, is_wrong)
            remaining_successes -= reply.status == 200
            if not remaining_successes:
                break
            eventlet.sleep(RESEND_S)
        self.tally.completed += run_state == "complete"

    def _fail_service(self) -> None:
        faults = ("drop_before", "drop_after", "fail_after", "fail_before")
        while time.monotonic() < self._ends_at:
            fault = self._rng.choice(faults)
            self._fleet.control(self._service, {fault: 1})
            eventlet.sleep(0.2)

    def _fail_entries(self) -> None:
        eventlet.sleep(2.0)
        self._entries[0].pause()
        eventlet.sleep(1.5)
        self._entries[0].resume()
        eventlet.sleep(1.0)
        self._replace(1, is_graceful=False)
        self._replace(2, is_graceful=True)

    def _replace(self, number: int, is_graceful: bool) -> None:
        region = deployments.GESTO.regions[number]
        name = f"new-{number}"
        successor = self._fleet.start_entry(name, region, f"{region}-a")
        # Reading the port blocks all green threads until it is printed.
        eventlet.sleep(START_S)
        self._fleet.publish_vms()
        self._fleet.wait_ready(name)
        predecessor, self._entries[number] = self._entries[number], successor
        (predecessor.terminate if is_graceful else predecessor.kill)()
        eventlet.sleep(1.0)


class SimulatedRun:
    """Callers of order services simulated in one process with faults."""

    def __init__(
        self,
        seed: int,
        sends: int,
        simulation_class: type[
            order_simulation.OrderSimulation
        ] = order_simulation.OrderSimulation,
    ):
        self.tally = order_tally.Tally()
        self._sends = sends
        self._rng = random.Random(seed)
        self._simulation = simulation_class(seed, SIMULATED_SERVICES)
        self._numbers = iter(range(10**9))

    def run_load(self) -> dict[str, list[str]]:
        """Runs callers and faults; returns the sends that ran, by order."""
        pool = eventlet.GreenPool()
        for _ in range(SIMULATED_WORKERS):
            pool.spawn_n(self._run_caller)
        pool.waitall()
        return self._simulation.runs

    def _run_caller(self) -> None:
        while self.tally.sends < self._sends:
            number = next(self._numbers)
            if number % KILL_EVERY == KILL_EVERY - 1:
                self._simulation.kill_random()
            if number % REPLACE_EVERY == REPLACE_EVERY - 1:
                self._simulation.replace_random()
            try:
                ticket = self._simulation.pick_service().issue("w", "p")
            except idempotency.LedgerFullError:
                eventlet.sleep(0)
                continue
            self._send_order(number, ticket)

    def _send_order(self, number: int, ticket: idempotency.Ticket) -> None:
        self.tally.orders += 1
        for attempt in range(MAX_SENDS):
            send = f"send-{number}-{attempt}"
            answer = self._simulation.send(ticket, send, number)
            is_wrong = answer.output is not None and answer.output["input"] != {
                "number": number
            }
            run_state = answer.run_state.value
            self.tally.record_answer(ticket.nonce, send, run_state, is_wrong)
            if run_state == "complete" and self._rng.random() < 0.7:
                break
        self.tally.completed += run_state == "complete"


def orders(seed: int) -> list[results.Row]:
    """Counts orders run twice, false ``not_run`` answers and wrong answers."""
    with fleet_lib.Fleet() as fleet:
        real = RealRun(fleet, seed)
        real_runs = real.run_load()
    simulated = SimulatedRun(seed, max(0, TARGET_SENDS - real.tally.sends))
    simulated_runs = simulated.run_load()
    size = f"{real.tally.sends} real + {simulated.tally.sends} in-process"
    pairs = ((real.tally, real_runs), (simulated.tally, simulated_runs))
    # The baseline gets fewer sends; it fails within a few hundred sends.
    local = SimulatedRun(seed, BASELINE_SENDS, order_simulation.LocalSimulation)
    local_runs = local.run_load()
    rows = [
        (
            "orders run twice",
            sum(t.count_run_twice(r) for t, r in pairs),
            local.tally.count_run_twice(local_runs),
        ),
        (
            "false not_run",
            sum(t.count_false_not_run(r) for t, r in pairs),
            local.tally.count_false_not_run(local_runs),
        ),
        (
            "answers to the wrong request",
            sum(t.wrong for t, _ in pairs),
            local.tally.wrong,
        ),
    ]
    return [
        results.new_row(
            SCENARIO,
            f"{name}, {size}",
            "orders",
            "== 0",
            value,
            seed,
            baseline=baseline,
        )
        for name, value, baseline in rows
    ] + [_sends_row(real.tally, simulated.tally, seed)]


def _sends_row(
    real: order_tally.Tally, simulated: order_tally.Tally, seed: int
) -> results.Row:
    share = 100.0 * real.completed / max(1, real.orders)
    return results.new_row(
        SCENARIO,
        f"sends with faults; {share:.1f}% of real orders complete",
        "sends",
        f">= {TARGET_SENDS}",
        real.sends + simulated.sends,
        seed,
    )


def owners(seed: int) -> list[results.Row]:
    """Compares three ways to choose the owner of an order.

    The owner follows from the live list, from zones or from tickets.
    """
    rows = []
    for event in owner_designs.EVENTS:
        shares = {
            design: owner_designs.refused_percent(design, event, seed)
            for design in owner_designs.DESIGNS
        }
        for alternative in ("live list", "zones"):
            rows.append(
                results.new_row(
                    "order-owners",
                    f"refused, {event}: tickets vs {alternative} (model)",
                    "%",
                    f"<= {shares[alternative]:.4g}",
                    shares["tickets"],
                    seed,
                    baseline=shares[alternative],
                )
            )
    return rows
