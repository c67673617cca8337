"""Property test of order services over a network that fails in every way."""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from savoryspar.idempotency import answer as answer_lib
from savoryspar.idempotency import handover
from savoryspar.idempotency import service as service_lib
from tests.idempotency import world as world_lib

MAX_TICKETS = 3
NETWORK = ["deliver", "deliver", "deliver", "double", "lose", "refuse"]
STARTS = ["send", "send", "refuse"]
SERVES = ["answer", "drop", "lose"]
MAX_DEATHS = 3
DISTURBANCES = [
    "kill",
    "leave",
    "leave through",
    "pause",
    "resume",
    "resume",
    "wall back",
    "wall ahead",
    1.0,
    30.0,
    61.0,
]
PICK = st.integers(0, 30)
RunState = answer_lib.RunState
handover.RETRY_S = 0
service_lib.SHUTDOWN_POLL_S = 0


class OrderServices(stateful.RuleBasedStateMachine):
    """No ticket runs twice, no ``not_run`` ran, results reach their ticket."""

    def __init__(self):
        super().__init__()
        self.world = world_lib.World(3)
        self.tickets = []
        self.deaths = 0

    @stateful.initialize()
    def issue_first(self):
        for number in range(2):
            self.issue(number)

    def pick(self, items, number):
        items = list(items)
        return items[number % len(items)] if items else None

    def acting(self, number):
        nodes = [n for n in self.world.nodes.values() if n.can_act]
        return self.pick(nodes, number)

    @stateful.precondition(lambda self: len(self.tickets) < MAX_TICKETS)
    @stateful.rule(number=PICK)
    def issue(self, number):
        node = self.acting(number)
        if node is not None and not node.service.ledger.is_closed:
            self.tickets.append(node.service.issue("w", "p"))

    @stateful.precondition(lambda self: self.tickets)
    @stateful.rule(number=PICK, which=PICK, value=st.sampled_from("aaab"))
    def send(self, number, which, value):
        node = self.acting(number)
        if node is not None:
            self.world.send(node, self.pick(self.tickets, which), value)

    @stateful.precondition(lambda self: self.tickets)
    @stateful.rule(
        number=PICK,
        which=PICK,
        start=st.sampled_from(STARTS),
        serve=st.sampled_from(SERVES),
        way=st.sampled_from(["deliver", "double"]),
    )
    def send_through(self, number, which, start, serve, way):
        """Sends an order and plays everything that waits to its end."""
        self.send(number, which, "a")
        self.play(start, serve, way)

    @stateful.rule(start=st.sampled_from(STARTS), serve=st.sampled_from(SERVES))
    def play(self, start, serve, way="deliver"):
        for _ in range(8):
            for number in range(len(self.world.messages)):
                if number < len(self.world.messages):
                    self.network(number, way)
            self.start(0, start)
            self.serve(0, serve)
            while any(
                self.world.nodes[item[1]].can_act for item in self.world.replies
            ):
                self.world.deliver_reply(
                    next(
                        item
                        for item in self.world.replies
                        if self.world.nodes[item[1]].can_act
                    )
                )

    @stateful.precondition(lambda self: self.tickets)
    @stateful.rule(number=PICK, which=PICK)
    def ask(self, number, which):
        node = self.acting(number)
        if node is not None:
            self.world.ask(node, self.pick(self.tickets, which))

    @stateful.precondition(lambda self: self.world.messages)
    @stateful.rule(number=PICK, way=st.sampled_from(NETWORK))
    def network(self, number, way):
        message = self.pick(self.world.messages, number)
        if way in ("deliver", "double"):
            if not self.world.nodes[message.target].is_paused:
                self.world.deliver(message, keep=way == "double")
            return
        if way == "refuse":
            self.world.messages.remove(message)
        reply, message.reply = message.reply, None
        # A lost request may still arrive: it stays among the messages.
        self.world.fail(reply, has_sent=way == "lose")

    @stateful.precondition(lambda self: self.world.replies)
    @stateful.rule(number=PICK, is_lost=st.sampled_from([False, False, True]))
    def reply(self, number, is_lost):
        item = self.pick(self.world.replies, number)
        if is_lost:
            self.world.replies.remove(item)
            self.world.fail(item[2], has_sent=True)
        elif self.world.nodes[item[1]].can_act:
            self.world.deliver_reply(item)

    @stateful.precondition(lambda self: self.world.runs)
    @stateful.rule(number=PICK, way=st.sampled_from(STARTS))
    def start(self, number, way):
        run = self.pick(
            [r for r in self.world.runs if not r.gate.ready()], number
        )
        if run is not None and run.node.can_act:
            run.gate.send(way)
            self.world.settle()

    @stateful.precondition(lambda self: self.world.runs)
    @stateful.rule(number=PICK, way=st.sampled_from(SERVES))
    def serve(self, number, way):
        run = self.pick(
            [r for r in self.world.runs if r.is_sent and not r.is_served],
            number,
        )
        if run is not None:
            self.world.serve(run, way)

    @stateful.rule(number=PICK, way=st.sampled_from(DISTURBANCES))
    def disturb(self, number, way):
        """One rule for all, so that most steps still move orders on."""
        node = self.acting(number)
        if way == "resume":
            for paused in self.world.nodes.values():
                paused.is_paused = False
        elif isinstance(way, float):
            self.world.now += way
        elif node is None:
            return
        elif way == "pause":
            node.is_paused = True
        elif way in ("wall back", "wall ahead"):
            node.wall_offset += 20.0 if way == "wall ahead" else -100.0
        elif not node.is_leaving and self.may_lose_one():
            self.lose(node, way)
        self.world.settle()

    def lose(self, node, way):
        if way == "kill":
            node.is_alive = False
            return
        self.world.leave(node)
        if way == "leave through":
            self.play("send", "answer")

    def may_lose_one(self):
        """Replaces one process, a bounded number of times."""
        self.deaths += 1
        if self.deaths <= MAX_DEATHS:
            self.world.add_node()
        return self.deaths <= MAX_DEATHS

    def teardown(self):
        # Ends the loops of leaving services, which would slow the next example.
        self.world.now += 1e9
        self.world.settle()

    @stateful.invariant()
    def no_ticket_runs_twice(self):
        runs = collections.Counter(nonce for nonce, _, _ in self.world.book)
        assert max(runs.values(), default=0) <= 1, runs

    @stateful.invariant()
    def nothing_told_not_run_ran(self):
        nonces = {nonce for nonce, _, _ in self.world.book}
        sends = {send for _, send, _ in self.world.book}
        told = [(t, a) for _, t, a in self.world.answers] + self.world.states
        for order, _, answer in self.world.answers:
            if answer.run_state is RunState.NOT_RUN:
                assert order.send_id not in sends, answer.message
        for ticket, answer in told:
            if answer.run_state is RunState.NOT_RUN and answer.is_final:
                assert ticket.nonce not in nonces, answer.message

    @stateful.invariant()
    def no_answered_send_starts_after_not_run_was_told(self):
        assert not self.world.late_runs

    @stateful.invariant()
    def results_reach_their_ticket(self):
        runs = {nonce: value for nonce, _, value in self.world.book}
        for order, ticket, answer in self.world.answers:
            if answer.run_state is RunState.COMPLETE:
                assert runs[ticket.nonce] == order.body["value"]
            if answer.output is not None:
                assert answer.output["nonce"] == ticket.nonce

    @stateful.invariant()
    def nothing_starts_after_its_expiry(self):
        for run in self.world.runs:
            assert not run.is_sent or run.sent_at < run.ticket.expires_at

    @stateful.invariant()
    def one_process_may_run_a_ticket(self):
        for name in self.world.nodes:
            ledgers = [
                node.service.successors.ledger_of(name)
                for node in self.world.nodes.values()
                if node.is_alive
            ]
            open_ones = [
                x for x in ledgers if x is not None and not x.is_closed
            ]
            assert len(open_ones) <= 1, name


ServicesTest = OrderServices.TestCase
ServicesTest.settings = hypothesis.settings(
    max_examples=300,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
