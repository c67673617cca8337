"""Several order services over a fake network and a fake backend server.

Messages, replies and runs wait until a test releases them, so any order of
events can be produced and reproduced.
"""

import eventlet
from eventlet import event

from savoryspar import errors, idempotency

TTL_S = 60.0
FOREVER_S = 1e6
KEYS = [("k", b"k" * 32)]


class UnreachableError(errors.SavorysparError):
    def __init__(self, has_sent):
        super().__init__("the peer did not reply", "retry")
        self.has_sent = has_sent


class Message:
    def __init__(self, sender, target, kind, body, reply):
        self.sender, self.target = sender, target
        self.kind, self.body, self.reply = kind, body, reply


class FakeLinks:
    def __init__(self, cluster, name):
        self.cluster, self.name, self.handlers = cluster, name, {}

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def request(self, incarnation, kind, body, timeout_s):
        reply = event.Event()
        self.cluster.messages.append(
            Message(self.name, incarnation, kind, body, reply)
        )
        return reply.wait()

    def broadcast(self, kind, body):
        self.cluster.messages += [
            Message(self.name, peer, kind, body, None)
            for peer in self.cluster.nodes
            if peer != self.name
        ]

    def is_live(self, incarnation, now):
        return self.cluster.nodes[incarnation].is_alive

    def peers(self, now):
        return [
            name
            for name, node in self.cluster.nodes.items()
            if name != self.name and node.is_alive and not node.is_leaving
        ]


class Node:
    def __init__(self, cluster, name):
        self.name, self.cluster = name, cluster
        self.is_alive, self.is_paused, self.is_leaving = True, False, False
        self.wall_offset = 1000.0
        self.links = FakeLinks(cluster, name)
        self.service = idempotency.new_order_service(
            name,
            idempotency.new_ticket_signer(KEYS, TTL_S),
            idempotency.new_ledger(50, 100.0, 240),
            self.links,
            self.execute,
            self.read_clocks,
        )

    @property
    def can_act(self):
        return self.is_alive and not self.is_paused

    def read_clocks(self):
        now = self.cluster.now
        return idempotency.ClockReading(now, now + self.wall_offset)

    def execute(self, order, ticket, guard):
        if order.send_id in self.cluster.barred_sends:
            self.cluster.barred_runs.append(order.send_id)
        run = Run(self, order, ticket, guard)
        self.cluster.runs.append(run)
        if run.gate.wait() == "refuse":
            return idempotency.Answer(
                idempotency.RunState.NOT_RUN, kind="overloaded", status=503
            )
        guard()
        run.is_sent = True
        run.sent_at = self.read_clocks().wall_s
        if run.reply.wait() == "drop":
            return idempotency.unknown("no answer", ticket.text)
        output = {"nonce": ticket.nonce, **order.body}
        return idempotency.Answer(
            idempotency.RunState.COMPLETE, output=output, is_final=True
        )


class Run:
    def __init__(self, node, order, ticket, guard):
        self.node, self.order, self.ticket = node, order, ticket
        self.gate, self.reply = event.Event(), event.Event()
        self.is_sent, self.is_served, self.sent_at = False, False, 0.0


class FakeCluster:
    def __init__(self, count):
        self.now = 0.0
        self.messages, self.replies, self.runs, self.executions = [], [], [], []
        self.nodes = {}
        self.answers, self.states = [], []
        self.barred_sends, self.barred_runs = set(), []
        self.sends = 0
        for _ in range(count):
            self.add_node()

    def add_node(self):
        name = f"inc-{len(self.nodes)}"
        self.nodes[name] = Node(self, name)
        return self.nodes[name]

    @staticmethod
    def settle():
        for _ in range(12):
            eventlet.sleep(0)

    def send(self, node, ticket, value):
        self.sends += 1
        order = idempotency.Order(
            f"send-{self.sends}", ticket.text, ticket.workspace,
            ticket.pipeline, "urgent", {"value": value}, "", FOREVER_S,
        )  # fmt: skip

        def run():
            answer = node.service.run(order)
            if node.is_alive:
                self.answers.append((order, ticket, answer))
                self.record_not_run(ticket, answer)

        eventlet.spawn(run)
        self.settle()

    def record_not_run(self, ticket, answer):
        """After ``not_run``, no send that was answered before may start."""
        if answer.run_state is idempotency.RunState.NOT_RUN:
            self.barred_sends |= {
                order.send_id
                for order, other, _ in self.answers
                if other.nonce == ticket.nonce
            }

    def query_state(self, node, ticket):
        def run():
            answer = node.service.state(
                ticket.text, ticket.workspace, FOREVER_S
            )
            self.states.append((ticket, answer))
            self.record_not_run(ticket, answer)

        eventlet.spawn(run)
        self.settle()

    def deliver(self, message, keep=False):
        """Delivers a message, or with ``keep`` a copy without its reply."""
        node = self.nodes[message.target]
        reply = None if keep else message.reply
        if not keep:
            self.messages.remove(message)
        if not node.is_alive:
            self.fail(reply, True)
            return

        def handle():
            result = node.links.handlers[message.kind](
                message.sender, message.body
            )
            if reply is not None and node.is_alive:
                self.replies.append((node, message.sender, reply, result))

        eventlet.spawn(handle)
        self.settle()

    def fail(self, reply, has_sent):
        if reply is not None and not reply.ready():
            reply.send_exception(UnreachableError(has_sent))
        self.settle()

    def deliver_reply(self, item):
        self.replies.remove(item)
        if not item[2].ready():
            item[2].send(item[3])
        self.settle()

    def serve(self, run, outcome):
        """Plays the server: it may run or lose the order, and may answer."""
        run.is_served = True
        if outcome != "lose":
            self.executions.append(
                (run.ticket.nonce, run.order.send_id, run.order.body["value"])
            )
        if run.node.can_act:
            run.reply.send("answer" if outcome == "answer" else "drop")
        self.settle()

    def shut_down_node(self, node):
        node.is_leaving = True
        eventlet.spawn(node.service.shut_down, 30.0)
        self.settle()
