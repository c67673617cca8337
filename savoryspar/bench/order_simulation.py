"""Simulation of order services in one process, with injected faults.

The order services are those of the entry processes; only the links, the clocks
and the backend that runs the orders are simulated. A seed determines all
faults.
"""

import collections
import random
from typing import Any

import eventlet

from savoryspar import errors, idempotency

KEYS = (("bench", b"b" * 32),)
TTL_S = 120.0
STEP_S = 0.01
"""Simulated time that passes with each message."""
LOSS_SHARE, DUPLICATE_SHARE, DELAY_SHARE = 0.04, 0.05, 0.03
REJECTED_SHARE, LOST_ANSWER_SHARE, LOST_CALL_SHARE = 0.06, 0.04, 0.03
TIMEOUT_S = 30.0
MAX_DELAYED = 200


class LostError(errors.SavorysparError):
    """A request between services, or its reply, was lost."""

    def __init__(self, has_sent: bool):
        super().__init__("no reply to the request", "send the request again")
        self.has_sent = has_sent


class Links:
    """Simulated links of one service to its peers."""

    __slots__ = ("_handlers", "_name", "_simulation")

    def __init__(self, simulation: "OrderSimulation", name: str):
        self._simulation = simulation
        self._name = name
        self._handlers: dict[str, Any] = {}

    def handle(self, kind: str, handler: Any) -> None:
        """Registers the handler for requests and broadcasts of a kind."""
        self._handlers[kind] = handler

    def handle_message(self, sender: str, kind: str, body: Any) -> Any:
        """Runs the handler registered for a message."""
        return self._handlers[kind](sender, body)

    def request(
        self, incarnation: str, kind: str, body: Any, timeout_s: float
    ) -> Any:
        """Sends a request over the simulated network and returns the reply."""
        del timeout_s
        return self._simulation.deliver_request(
            self._name, incarnation, kind, body
        )

    def broadcast(self, kind: str, body: Any) -> None:
        """Sends a message to all other services; each may miss it."""
        self._simulation.deliver_broadcast(self._name, kind, body)

    def is_live(self, incarnation: str, now: float) -> bool:
        """Returns whether the order service is running."""
        del now
        return incarnation in self._simulation.services

    def peers(self, now: float) -> list[str]:
        """Returns the other services that are not leaving."""
        del now
        return [
            name
            for name in self._simulation.services
            if name != self._name and name not in self._simulation.leaving
        ]


class OrderSimulation:
    """Order services, their network and a backend that records runs.

    Attributes:
        services: Running order services by incarnation.
        leaving: Incarnations that are leaving.
        runs: IDs of the sends that ran, by nonce of the ticket.
    """

    def __init__(self, seed: int, count: int):
        self._rng = random.Random(seed)
        self._now = 0.0
        self._started = 0
        self._delayed: collections.deque[tuple] = collections.deque()
        self._links: dict[str, Links] = {}
        self.services: dict[str, idempotency.OrderService] = {}
        self.leaving: set[str] = set()
        self.runs: dict[str, list[str]] = {}
        for _ in range(count):
            self.start_service()

    def start_service(self) -> None:
        """Starts an order service."""
        self._started += 1
        name = f"inc-{self._started}"
        self._links[name] = Links(self, name)
        self.services[name] = idempotency.new_order_service(
            name,
            idempotency.new_ticket_signer(KEYS, TTL_S),
            idempotency.new_ledger(5000, 100.0, 100_000),
            self._links[name],
            self._execute,
            self._read_clocks,
        )

    def kill_random(self) -> None:
        """Kills a random service and starts another one."""
        del self.services[self._rng.choice([*self.services])]
        self.start_service()

    def replace_random(self) -> None:
        """Replaces a random service with a graceful shutdown."""
        name = self._rng.choice([*self.services])
        self.start_service()
        self.leaving.add(name)
        self.services[name].shut_down(1.0)
        del self.services[name]

    def pick_service(self) -> idempotency.OrderService:
        """Returns a random service that is not leaving, as a balancer would."""
        names = [name for name in self.services if name not in self.leaving]
        return self.services[self._rng.choice(names)]

    def send(
        self, ticket: idempotency.Ticket, send_id: str, number: int
    ) -> Any:
        """Sends an order to a random service and returns the answer."""
        order = idempotency.Order(
            send_id,
            ticket.text,
            ticket.workspace,
            ticket.pipeline,
            "urgent",
            {"number": number},
            "",
            TIMEOUT_S,
        )
        self._now += STEP_S
        return self.pick_service().run(order)

    def deliver_request(
        self, sender: str, target: str, kind: str, body: Any
    ) -> Any:
        """Delivers a request and returns its reply.

        Some requests are lost, duplicated or delayed, some replies are lost.

        Raises:
            LostError: No reply arrived.
        """
        self._now += STEP_S
        self._deliver_delayed()
        if target not in self.services:
            raise LostError(has_sent=False)
        chance = self._rng.random()
        if chance < LOSS_SHARE:
            raise LostError(has_sent=True)
        if chance < LOSS_SHARE + DELAY_SHARE:
            self._delayed.append((sender, target, kind, body))
            raise LostError(has_sent=True)
        if chance < LOSS_SHARE + DELAY_SHARE + DUPLICATE_SHARE:
            self._delayed.append((sender, target, kind, body))
        reply = self._links[target].handle_message(sender, kind, body)
        if self._rng.random() < LOSS_SHARE:
            raise LostError(has_sent=True)
        return reply

    def deliver_broadcast(self, sender: str, kind: str, body: Any) -> None:
        """Delivers a broadcast to the other services; some miss it."""
        for name in [*self.services]:
            if name != sender and self._rng.random() >= LOSS_SHARE:
                self._links[name].handle_message(sender, kind, body)

    def _deliver_delayed(self) -> None:
        is_due = len(self._delayed) > MAX_DELAYED or self._rng.random() < 0.1
        if self._delayed and is_due:
            sender, target, kind, body = self._delayed.popleft()
            if target in self.services:
                eventlet.spawn_n(
                    self._links[target].handle_message, sender, kind, body
                )

    def _read_clocks(self) -> idempotency.ClockReading:
        return idempotency.ClockReading(self._now, self._now + 1e6)

    def _execute(
        self, order: idempotency.Order, ticket: idempotency.Ticket, guard: Any
    ) -> idempotency.Answer:
        chance = self._rng.random()
        eventlet.sleep(0)
        if chance < REJECTED_SHARE:
            return idempotency.Answer(
                idempotency.RunState.NOT_RUN,
                kind="overloaded",
                status=503,
                retry_after_s=1.0,
            )
        guard()
        if chance < REJECTED_SHARE + LOST_CALL_SHARE:
            return idempotency.unknown("the call was lost", ticket.text)
        self.runs.setdefault(ticket.nonce, []).append(order.send_id)
        eventlet.sleep(0)
        if chance < REJECTED_SHARE + LOST_CALL_SHARE + LOST_ANSWER_SHARE:
            return idempotency.unknown("the answer was lost", ticket.text)
        return idempotency.Answer(
            idempotency.RunState.COMPLETE,
            output={"input": order.body},
            is_final=True,
        )


class LocalSimulation(OrderSimulation):
    """The baseline: each process remembers only the orders that it ran.

    Orders have no owner: a process runs every order that it has not run yet,
    even if another process ran it.
    """

    def __init__(self, seed: int, count: int):
        super().__init__(seed, count)
        self._answers: dict[tuple[str, str], idempotency.Answer] = {}

    def send(
        self, ticket: idempotency.Ticket, send_id: str, number: int
    ) -> idempotency.Answer:
        """Runs the order in a random process unless that process ran it."""
        name = self._rng.choice([*self.services])
        key = (name, ticket.nonce)
        if key not in self._answers:
            order = idempotency.Order(
                send_id, ticket.text, "w", "p", "urgent", {"number": number},
                "", TIMEOUT_S,
            )  # fmt: skip
            answer = self._execute(order, ticket, lambda: None)
            if answer.run_state is idempotency.RunState.NOT_RUN:
                return answer
            self._answers[key] = answer
        return self._answers[key]
