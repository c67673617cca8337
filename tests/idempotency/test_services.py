"""Property test of order services over an unreliable network."""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from savoryspar.idempotency import answer as answer_lib
from savoryspar.idempotency import handover
from savoryspar.idempotency import service as service_lib
from tests.idempotency import cluster as cluster_lib

MAX_TICKETS = 3
MESSAGE_OUTCOMES = ["deliver", "deliver", "deliver", "double", "lose", "refuse"]
START_OUTCOMES = ["send", "send", "refuse"]
SERVER_OUTCOMES = ["answer", "drop", "lose"]
MAX_NODE_LOSSES = 3
FAULTS = [
    "kill",
    "shut down",
    "shut down and finish",
    "pause",
    "resume",
    "resume",
    "wall back",
    "wall ahead",
    1.0,
    30.0,
    61.0,
]
INDEX = st.integers(0, 30)
RunState = answer_lib.RunState
handover.RETRY_S = 0
service_lib.SHUTDOWN_POLL_S = 0


class OrderServices(stateful.RuleBasedStateMachine):
    """Checks the guarantees of orders over random faults and schedules.

    No ticket runs twice, no order reported as ``not_run`` has run, and each
    result is returned for its ticket.
    """

    def __init__(self):
        super().__init__()
        self.cluster = cluster_lib.FakeCluster(3)
        self.tickets = []
        self.node_losses = 0

    @stateful.initialize()
    def issue_first(self):
        for number in range(2):
            self.issue(number)

    def pick_item(self, items, number):
        items = list(items)
        return items[number % len(items)] if items else None

    def pick_node(self, number):
        nodes = [n for n in self.cluster.nodes.values() if n.can_act]
        return self.pick_item(nodes, number)

    @stateful.precondition(lambda self: len(self.tickets) < MAX_TICKETS)
    @stateful.rule(number=INDEX)
    def issue(self, number):
        node = self.pick_node(number)
        if node is not None and not node.service.ledger.is_closed:
            self.tickets.append(node.service.issue("w", "p"))

    @stateful.precondition(lambda self: self.tickets)
    @stateful.rule(number=INDEX, which=INDEX, value=st.sampled_from("aaab"))
    def send(self, number, which, value):
        node = self.pick_node(number)
        if node is not None:
            self.cluster.send(node, self.pick_item(self.tickets, which), value)

    @stateful.precondition(lambda self: self.tickets)
    @stateful.rule(
        number=INDEX,
        which=INDEX,
        start=st.sampled_from(START_OUTCOMES),
        serve=st.sampled_from(SERVER_OUTCOMES),
        outcome=st.sampled_from(["deliver", "double"]),
    )
    def send_through(self, number, which, start, serve, outcome):
        """Sends an order and processes everything that is pending."""
        self.send(number, which, "a")
        self.process_pending(start, serve, outcome)

    @stateful.rule(
        start=st.sampled_from(START_OUTCOMES),
        serve=st.sampled_from(SERVER_OUTCOMES),
    )
    def process_pending(self, start, serve, outcome="deliver"):
        for _ in range(8):
            for number in range(len(self.cluster.messages)):
                if number < len(self.cluster.messages):
                    self.move_message(number, outcome)
            self.start(0, start)
            self.serve(0, serve)
            while any(
                self.cluster.nodes[item[1]].can_act
                for item in self.cluster.replies
            ):
                self.cluster.deliver_reply(
                    next(
                        item
                        for item in self.cluster.replies
                        if self.cluster.nodes[item[1]].can_act
                    )
                )

    @stateful.precondition(lambda self: self.tickets)
    @stateful.rule(number=INDEX, which=INDEX)
    def check_state(self, number, which):
        node = self.pick_node(number)
        if node is not None:
            self.cluster.query_state(node, self.pick_item(self.tickets, which))

    @stateful.precondition(lambda self: self.cluster.messages)
    @stateful.rule(number=INDEX, outcome=st.sampled_from(MESSAGE_OUTCOMES))
    def move_message(self, number, outcome):
        message = self.pick_item(self.cluster.messages, number)
        if outcome in ("deliver", "double"):
            if not self.cluster.nodes[message.target].is_paused:
                self.cluster.deliver(message, keep=outcome == "double")
            return
        if outcome == "refuse":
            self.cluster.messages.remove(message)
        reply, message.reply = message.reply, None
        # A lost request may still arrive: it stays among the messages.
        self.cluster.fail(reply, has_sent=outcome == "lose")

    @stateful.precondition(lambda self: self.cluster.replies)
    @stateful.rule(number=INDEX, is_lost=st.sampled_from([False, False, True]))
    def resolve_reply(self, number, is_lost):
        item = self.pick_item(self.cluster.replies, number)
        if is_lost:
            self.cluster.replies.remove(item)
            self.cluster.fail(item[2], has_sent=True)
        elif self.cluster.nodes[item[1]].can_act:
            self.cluster.deliver_reply(item)

    @stateful.precondition(lambda self: self.cluster.runs)
    @stateful.rule(number=INDEX, outcome=st.sampled_from(START_OUTCOMES))
    def start(self, number, outcome):
        run = self.pick_item(
            [r for r in self.cluster.runs if not r.gate.ready()], number
        )
        if run is not None and run.node.can_act:
            run.gate.send(outcome)
            self.cluster.settle()

    @stateful.precondition(lambda self: self.cluster.runs)
    @stateful.rule(number=INDEX, outcome=st.sampled_from(SERVER_OUTCOMES))
    def serve(self, number, outcome):
        run = self.pick_item(
            [r for r in self.cluster.runs if r.is_sent and not r.is_served],
            number,
        )
        if run is not None:
            self.cluster.serve(run, outcome)

    @stateful.rule(number=INDEX, fault=st.sampled_from(FAULTS))
    def inject_fault(self, number, fault):
        """Injects one fault; a single rule keeps most steps for orders."""
        node = self.pick_node(number)
        if fault == "resume":
            for paused in self.cluster.nodes.values():
                paused.is_paused = False
        elif isinstance(fault, float):
            self.cluster.now += fault
        elif node is None:
            return
        elif fault == "pause":
            node.is_paused = True
        elif fault in ("wall back", "wall ahead"):
            node.wall_offset += 20.0 if fault == "wall ahead" else -100.0
        elif not node.is_leaving and self.may_lose_node():
            self.remove_node(node, fault)
        self.cluster.settle()

    def remove_node(self, node, fault):
        if fault == "kill":
            node.is_alive = False
            return
        self.cluster.shut_down_node(node)
        if fault == "shut down and finish":
            self.process_pending("send", "answer")

    def may_lose_node(self):
        """Adds a replacement for each of a bounded number of lost nodes."""
        self.node_losses += 1
        if self.node_losses <= MAX_NODE_LOSSES:
            self.cluster.add_node()
        return self.node_losses <= MAX_NODE_LOSSES

    def teardown(self):
        # Ends the polling of services that shut down, which would slow down
        # the next example.
        self.cluster.now += 1e9
        self.cluster.settle()

    @stateful.invariant()
    def no_ticket_runs_twice(self):
        runs = collections.Counter(
            nonce for nonce, _, _ in self.cluster.executions
        )
        assert max(runs.values(), default=0) <= 1, runs

    @stateful.invariant()
    def no_order_reported_not_run_has_run(self):
        nonces = {nonce for nonce, _, _ in self.cluster.executions}
        sends = {send for _, send, _ in self.cluster.executions}
        reported = [
            (t, a) for _, t, a in self.cluster.answers
        ] + self.cluster.states
        for order, _, answer in self.cluster.answers:
            if answer.run_state is RunState.NOT_RUN:
                assert order.send_id not in sends, answer.message
        for ticket, answer in reported:
            if answer.run_state is RunState.NOT_RUN and answer.is_final:
                assert ticket.nonce not in nonces, answer.message

    @stateful.invariant()
    def no_answered_send_starts_after_not_run(self):
        assert not self.cluster.barred_runs

    @stateful.invariant()
    def results_reach_their_ticket(self):
        runs = {nonce: value for nonce, _, value in self.cluster.executions}
        for order, ticket, answer in self.cluster.answers:
            if answer.run_state is RunState.COMPLETE:
                assert runs[ticket.nonce] == order.body["value"]
            if answer.output is not None:
                assert answer.output["nonce"] == ticket.nonce

    @stateful.invariant()
    def no_order_starts_after_its_expiry(self):
        for run in self.cluster.runs:
            assert not run.is_sent or run.sent_at < run.ticket.expires_at

    @stateful.invariant()
    def at_most_one_process_may_run_a_ticket(self):
        for name in self.cluster.nodes:
            ledgers = [
                node.service.successors.ledger_of(name)
                for node in self.cluster.nodes.values()
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
