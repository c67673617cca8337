"""Order services in one process, over a network and a service with faults.

The order services are those of the entry processes; only the links, the clocks
and the plain service are stand-ins. A seed decides every fault.
"""

import collections
import random
from typing import Any

import eventlet

from savoryspar import errors, idempotency

KEYS = (("bench", b"b" * 32),)
TTL_S = 120.0
STEP_S = 0.01
"""Time that passes with each message."""
LOSS, DOUBLE, DELAY = 0.04, 0.05, 0.03
REFUSE, DROP, LOSE = 0.06, 0.04, 0.03
TIMEOUT_S = 30.0
MAX_DELAYED = 200


class LostError(errors.SavorysparError):
    """A request or its reply was lost."""

    def __init__(self, has_sent: bool):
        super().__init__("no reply came", "ask again")
        self.has_sent = has_sent


class Links:
    """The links of one service."""

    __slots__ = ("_handlers", "_name", "_world")

    def __init__(self, world: "OrderWorld", name: str):
        self._world = world
        self._name = name
        self._handlers: dict[str, Any] = {}

    def handle(self, kind: str, handler: Any) -> None:
        """Serves requests and broadcasts of a kind."""
        self._handlers[kind] = handler

    def serve(self, sender: str, kind: str, body: Any) -> Any:
        """Runs the handler of a message."""
        return self._handlers[kind](sender, body)

    def request(
        self, incarnation: str, kind: str, body: Any, timeout_s: float
    ) -> Any:
        """Sends a request through the network."""
        del timeout_s
        return self._world.carry(self._name, incarnation, kind, body)

    def broadcast(self, kind: str, body: Any) -> None:
        """Tells all services; each may miss it."""
        self._world.spread(self._name, kind, body)

    def is_live(self, incarnation: str, now: float) -> bool:
        """Tells whether the order service runs."""
        del now
        return incarnation in self._world.services

    def peers(self, now: float) -> list[str]:
        """Returns the other services that are not leaving."""
        del now
        return [
            name
            for name in self._world.services
            if name != self._name and name not in self._world.leaving
        ]


class OrderWorld:
    """Order services, the network between them and the service with its book.

    Attributes:
        services: Running order services by incarnation.
        leaving: Incarnations that are leaving.
        runs: Sends that ran, by nonce of the ticket.
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
        """Starts a process."""
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

    def kill_one(self) -> None:
        """Kills a process and starts another one."""
        del self.services[self._rng.choice([*self.services])]
        self.start_service()

    def replace_one(self) -> None:
        """Replaces a process gracefully."""
        name = self._rng.choice([*self.services])
        self.start_service()
        self.leaving.add(name)
        self.services[name].shut_down(1.0)
        del self.services[name]

    def any_service(self) -> idempotency.OrderService:
        """Returns a service that a balancer would choose."""
        names = [name for name in self.services if name not in self.leaving]
        return self.services[self._rng.choice(names)]

    def send(
        self, ticket: idempotency.Ticket, send_id: str, number: int
    ) -> Any:
        """Sends an order to any service and returns the answer."""
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
        return self.any_service().run(order)

    def carry(self, sender: str, target: str, kind: str, body: Any) -> Any:
        """Carries a request and its reply, or loses, doubles, delays them."""
        self._now += STEP_S
        self._deliver_delayed()
        if target not in self.services:
            raise LostError(has_sent=False)
        chance = self._rng.random()
        if chance < LOSS:
            raise LostError(has_sent=True)
        if chance < LOSS + DELAY:
            self._delayed.append((sender, target, kind, body))
            raise LostError(has_sent=True)
        if chance < LOSS + DELAY + DOUBLE:
            self._delayed.append((sender, target, kind, body))
        reply = self._links[target].serve(sender, kind, body)
        if self._rng.random() < LOSS:
            raise LostError(has_sent=True)
        return reply

    def spread(self, sender: str, kind: str, body: Any) -> None:
        """Carries a broadcast to every service, which may miss it."""
        for name in [*self.services]:
            if name != sender and self._rng.random() >= LOSS:
                self._links[name].serve(sender, kind, body)

    def _deliver_delayed(self) -> None:
        is_due = len(self._delayed) > MAX_DELAYED or self._rng.random() < 0.1
        if self._delayed and is_due:
            sender, target, kind, body = self._delayed.popleft()
            if target in self.services:
                eventlet.spawn_n(self._links[target].serve, sender, kind, body)

    def _read_clocks(self) -> idempotency.ClockReading:
        return idempotency.ClockReading(self._now, self._now + 1e6)

    def _execute(
        self, order: idempotency.Order, ticket: idempotency.Ticket, guard: Any
    ) -> idempotency.Answer:
        chance = self._rng.random()
        eventlet.sleep(0)
        if chance < REFUSE:
            return idempotency.Answer(
                idempotency.RunState.NOT_RUN,
                kind="overloaded",
                status=503,
                retry_after_s=1.0,
            )
        guard()
        if chance < REFUSE + LOSE:
            return idempotency.unknown("the call was lost", ticket.text)
        self.runs.setdefault(ticket.nonce, []).append(order.send_id)
        eventlet.sleep(0)
        if chance < REFUSE + LOSE + DROP:
            return idempotency.unknown("the answer was lost", ticket.text)
        return idempotency.Answer(
            idempotency.RunState.COMPLETE,
            output={"input": order.body},
            is_final=True,
        )


class LocalWorld(OrderWorld):
    """The simpler rival: each process remembers only the orders that it ran.

    There is no owner: whoever gets a send without remembering the order runs
    it.
    """

    def __init__(self, seed: int, count: int):
        super().__init__(seed, count)
        self._known: dict[tuple[str, str], idempotency.Answer] = {}

    def send(
        self, ticket: idempotency.Ticket, send_id: str, number: int
    ) -> idempotency.Answer:
        """Runs the order in any process unless it remembers it."""
        name = self._rng.choice([*self.services])
        key = (name, ticket.nonce)
        if key not in self._known:
            order = idempotency.Order(
                send_id, ticket.text, "w", "p", "urgent", {"number": number},
                "", TIMEOUT_S,
            )  # fmt: skip
            found = self._execute(order, ticket, lambda: None)
            if found.run_state is idempotency.RunState.NOT_RUN:
                return found
            self._known[key] = found
        return self._known[key]
