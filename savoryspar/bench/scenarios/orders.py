"""Orders that must run at most once, under faults."""

import random
import time

import eventlet

from savoryspar import idempotency
from savoryspar.bench import (
    deployments,
    order_client,
    order_tally,
    order_world,
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
MODEL_WORKERS = 8
MODEL_SERVICES = 5
BASELINE_SENDS = 5000
KILL_EVERY, REPLACE_EVERY = 900, 700
START_S = 2.5
"""Time that a new entry process gets before its port is read."""


class RealRun:
    """Callers of a fleet of real processes under faults."""

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

    def play(self) -> dict[str, list[str]]:
        """Runs callers and faults; returns the sends that ran by order."""
        self._fleet.control(self._service, {"work_ms": SERVICE_WORK_MS})
        self._ends_at = time.monotonic() + REAL_S
        pool = eventlet.GreenPool()
        for _ in range(WORKERS):
            pool.spawn_n(self._call)
        pool.spawn_n(self._fail_service)
        pool.spawn_n(self._fail_entries)
        pool.waitall()
        runs: dict[str, list[str]] = {}
        book = self._fleet.get_json(self._service, "/book")["runs"]
        for run in book:
            order = str(run["input"]["number"])
            runs.setdefault(order, []).append(run["request_id"])
        return runs

    def _call(self) -> None:
        while time.monotonic() < self._ends_at:
            number = next(self._numbers)
            ticket = self._client.ticket(self._rng.choice(self._entries))
            if ticket:
                self._order(str(number), number, ticket)

    def _order(self, order: str, number: int, ticket: str) -> None:
        self.tally.orders += 1
        # A resend after success must give the same result.
        wanted = 1 + (self._rng.random() < 0.3)
        for _ in range(MAX_SENDS):
            reply = self._client.send(
                self._rng.choice(self._entries), {"number": number}, ticket
            )
            output = reply.document.get("output") or {}
            told = reply.run_state or "no answer"
            is_wrong = (
                bool(output) and output.get("input", {}).get("number") != number
            )
            send = reply.document.get("request_id", "")
            self.tally.note(order, send, told, is_wrong)
            wanted -= reply.status == 200
            if not wanted:
                break
            eventlet.sleep(RESEND_S)
        self.tally.completed += told == "complete"

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
        new = self._fleet.start_entry(name, region, f"{region}-a")
        # Reading the port blocks this whole process until it is there.
        eventlet.sleep(START_S)
        self._fleet.publish_vms()
        self._fleet.wait_ready(name)
        old, self._entries[number] = self._entries[number], new
        (old.terminate if is_graceful else old.kill)()
        eventlet.sleep(1.0)


class ModelRun:
    """Callers of services in one process over a network with faults."""

    def __init__(
        self,
        seed: int,
        sends: int,
        new_world: type[order_world.OrderWorld] = order_world.OrderWorld,
    ):
        self.tally = order_tally.Tally()
        self._sends = sends
        self._rng = random.Random(seed)
        self._world = new_world(seed, MODEL_SERVICES)
        self._numbers = iter(range(10**9))

    def play(self) -> dict[str, list[str]]:
        """Runs callers and faults; returns the sends that ran by order."""
        pool = eventlet.GreenPool()
        for _ in range(MODEL_WORKERS):
            pool.spawn_n(self._call)
        pool.waitall()
        return self._world.runs

    def _call(self) -> None:
        while self.tally.sends < self._sends:
            number = next(self._numbers)
            if number % KILL_EVERY == KILL_EVERY - 1:
                self._world.kill_one()
            if number % REPLACE_EVERY == REPLACE_EVERY - 1:
                self._world.replace_one()
            try:
                ticket = self._world.any_service().issue("w", "p")
            except idempotency.LedgerFullError:
                eventlet.sleep(0)
                continue
            self._order(number, ticket)

    def _order(self, number: int, ticket: idempotency.Ticket) -> None:
        self.tally.orders += 1
        for attempt in range(MAX_SENDS):
            send = f"send-{number}-{attempt}"
            found = self._world.send(ticket, send, number)
            is_wrong = found.output is not None and found.output["input"] != {
                "number": number
            }
            told = found.run_state.value
            self.tally.note(ticket.nonce, send, told, is_wrong)
            if told == "complete" and self._rng.random() < 0.7:
                break
        self.tally.completed += told == "complete"


def orders(seed: int) -> list[results.Row]:
    """Measures orders run twice, false ``not_run`` and wrong answers."""
    with fleet_lib.Fleet() as fleet:
        real = RealRun(fleet, seed)
        real_runs = real.play()
    model = ModelRun(seed, max(0, TARGET_SENDS - real.tally.sends))
    model_runs = model.play()
    size = f"{real.tally.sends} real + {model.tally.sends} in-process"
    pairs = ((real.tally, real_runs), (model.tally, model_runs))
    # The rival gets fewer sends; it fails within the first hundreds.
    rival = ModelRun(seed, BASELINE_SENDS, order_world.LocalWorld)
    rival_runs = rival.play()
    rows = [
        (
            "orders run twice",
            sum(t.run_twice(r) for t, r in pairs),
            rival.tally.run_twice(rival_runs),
        ),
        (
            "false not_run",
            sum(t.false_not_run(r) for t, r in pairs),
            rival.tally.false_not_run(rival_runs),
        ),
        (
            "answers to the wrong request",
            sum(t.wrong for t, _ in pairs),
            rival.tally.wrong,
        ),
    ]
    return [
        results.new_row(
            SCENARIO,
            f"{name}, {size}",
            "orders",
            "== 0",
            figure,
            seed,
            baseline=baseline,
        )
        for name, figure, baseline in rows
    ] + [_sends_row(real.tally, model.tally, seed)]


def _sends_row(
    real: order_tally.Tally, model: order_tally.Tally, seed: int
) -> results.Row:
    share = 100.0 * real.completed / max(1, real.orders)
    return results.new_row(
        SCENARIO,
        f"sends with faults; {share:.1f}% of real orders complete",
        "sends",
        f">= {TARGET_SENDS}",
        real.sends + model.sends,
        seed,
    )


def owners(seed: int) -> list[results.Row]:
    """Compares who may run an order: live list, zones, or tickets."""
    rows = []
    for event in owner_designs.EVENTS:
        shares = {
            design: owner_designs.refused_share(design, event, seed)
            for design in owner_designs.DESIGNS
        }
        for rival in ("live list", "zones"):
            rows.append(
                results.new_row(
                    "order-owners",
                    f"refused, {event}: tickets vs {rival} (model)",
                    "%",
                    f"<= {shares[rival]:.4g}",
                    shares["tickets"],
                    seed,
                    baseline=shares[rival],
                )
            )
    return rows
