"""Tests of handover steps that the property test rarely reaches."""

import testtools

from savoryspar.idempotency import answer as answer_lib
from savoryspar.idempotency import handover
from savoryspar.idempotency import service as service_lib
from tests.idempotency import cluster as cluster_lib

RunState = answer_lib.RunState
handover.RETRY_S = 0
service_lib.SHUTDOWN_POLL_S = 0


class HandoverTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cluster = cluster_lib.FakeCluster(3)
        self.owner, self.first, self.second = self.cluster.nodes.values()
        self.ticket = self.owner.service.issue("w", "p")

    def find_message(self, kind):
        return next(m for m in self.cluster.messages if m.kind == kind)

    def deliver_with_reply(self, kind):
        """Delivers one message of the kind and its reply."""
        self.cluster.deliver(self.find_message(kind))
        if self.cluster.replies:
            self.cluster.deliver_reply(self.cluster.replies[-1])

    def send(self, node):
        self.cluster.send(node, self.ticket, "a")
        return self.cluster.answers[-1][2] if self.cluster.answers else None

    def complete_run(self, outcome="answer"):
        run = self.cluster.runs[-1]
        run.gate.send("send")
        self.cluster.settle()
        self.cluster.serve(run, outcome)
        return self.cluster.answers[-1][2]

    def shut_down_owner(self):
        self.cluster.shut_down_node(self.owner)

    def test_successor_runs_an_unused_ticket(self):
        """Unused tickets must stay valid after a graceful shutdown."""
        self.shut_down_owner()
        self.deliver_with_reply(handover.HANDOVER)
        self.send(self.first)
        self.assertEqual(RunState.COMPLETE, self.complete_run().run_state)

    def test_successor_never_runs_an_unknown_order(self):
        """An order whose answer was lost must not run after a handover."""
        self.send(self.owner)
        self.complete_run("drop")
        self.shut_down_owner()
        self.deliver_with_reply(handover.HANDOVER)
        self.assertEqual(RunState.UNKNOWN, self.send(self.first).run_state)
        self.assertEqual(1, len(self.cluster.runs))

    def test_run_interrupted_by_the_shutdown_is_unknown_at_the_successor(self):
        """A run that outlasts the shutdown must not start again."""
        self.send(self.owner)
        self.shut_down_owner()
        self.cluster.now += 31.0
        self.cluster.settle()
        self.deliver_with_reply(handover.HANDOVER)
        self.assertEqual(RunState.UNKNOWN, self.send(self.first).run_state)
        self.assertEqual(1, len(self.cluster.runs))

    def test_result_is_kept_by_the_successor(self):
        """A resend after a rolling replacement must get its result."""
        self.send(self.owner)
        self.complete_run()
        self.shut_down_owner()
        self.deliver_with_reply(handover.HANDOVER)
        self.assertEqual("a", self.send(self.first).output["value"])

    def test_refused_send_stays_refused_at_the_successor(self):
        """The successor must not run a duplicate of a rejected message."""
        self.send(self.second)
        message = self.find_message(service_lib.RUN)
        self.cluster.deliver(message, keep=True)
        self.cluster.runs[-1].gate.send("refuse")
        self.cluster.settle()
        self.shut_down_owner()
        self.deliver_with_reply(handover.HANDOVER)
        self.cluster.deliver(message)
        self.cluster.deliver(self.find_message(service_lib.RUN))
        self.assertEqual(1, len(self.cluster.runs))

    def test_delayed_send_does_not_run_after_a_later_one_was_refused(self):
        """An order must not run after its caller was answered ``not_run``."""
        self.send(self.first)
        delayed = self.find_message(service_lib.RUN)
        self.cluster.fail(delayed.reply, has_sent=True)
        self.send(self.owner)
        self.cluster.runs[-1].gate.send("refuse")
        self.cluster.settle()
        self.cluster.deliver(delayed)
        self.assertEqual(1, len(self.cluster.runs))

    def test_delayed_send_does_not_run_after_its_state_was_reported(self):
        """An order must not run after its state was reported as ``not_run``."""
        self.send(self.first)
        delayed = self.find_message(service_lib.RUN)
        self.cluster.fail(delayed.reply, has_sent=True)
        self.cluster.query_state(self.owner, self.ticket)
        answer = self.cluster.states[-1][1]
        self.assertEqual(RunState.NOT_RUN, answer.run_state)
        self.cluster.deliver(delayed)
        self.assertEqual([], self.cluster.runs)

    def test_frozen_ledger_reports_unknown(self):
        """``not_run`` could be wrong once a successor may run the order."""
        self.shut_down_owner()
        self.assertEqual(RunState.UNKNOWN, self.send(self.owner).run_state)
        self.cluster.query_state(self.owner, self.ticket)
        answer = self.cluster.states[-1][1]
        self.assertEqual(RunState.UNKNOWN, answer.run_state)

    def test_closed_owner_refuses_before_the_handover(self):
        """An owner that shuts down must not start a run it cannot finish."""
        other = self.owner.service.issue("w", "p")
        self.cluster.send(self.owner, other, "b")
        self.shut_down_owner()
        answer = self.send(self.owner)
        self.assertEqual(RunState.NOT_RUN, answer.run_state)
        self.assertEqual(1, len(self.cluster.runs))

    def test_lost_confirmation_does_not_make_a_second_successor(self):
        """Two successors could each run the same ticket."""
        self.shut_down_owner()
        message = self.find_message(handover.HANDOVER)
        self.cluster.deliver(message, keep=True)
        self.cluster.messages.remove(message)
        self.cluster.now += 31.0
        self.cluster.fail(message.reply, has_sent=True)
        self.assertEqual([], [
            m for m in self.cluster.messages if m.kind == handover.HANDOVER
        ])  # fmt: skip
        self.assertIsNotNone(
            self.first.service.successors.ledger_of(self.owner.name)
        )
        self.assertIsNone(
            self.owner.service.successors.ledger_of(self.owner.name)
        )

    def test_transfer_that_may_have_arrived_is_retried_at_the_same_peer(self):
        """No other peer may get the ledgers while the first may have them."""
        self.shut_down_owner()
        message = self.find_message(handover.HANDOVER)
        self.cluster.messages.remove(message)
        self.cluster.fail(message.reply, has_sent=True)
        self.assertEqual(
            message.target, self.find_message(handover.HANDOVER).target
        )

    def test_peer_that_refused_stays_excluded_and_the_next_one_inherits(self):
        """A delayed message must not make a second successor of the peer."""
        self.first.service.ledger.is_closed = True
        self.shut_down_owner()
        message = self.find_message(handover.HANDOVER)
        self.deliver_with_reply(handover.HANDOVER)
        self.first.service.ledger.is_closed = False
        handler = self.first.links.handlers[handover.HANDOVER]
        handler(message.sender, message.body)
        self.deliver_with_reply(handover.HANDOVER)
        self.assertIsNone(
            self.first.service.successors.ledger_of(self.owner.name)
        )
        self.assertIsNotNone(
            self.second.service.successors.ledger_of(self.owner.name)
        )

    def test_unreachable_peer_is_skipped(self):
        """The ledgers must not be lost because one peer is down."""
        self.shut_down_owner()
        message = self.find_message(handover.HANDOVER)
        self.cluster.messages.remove(message)
        self.cluster.fail(message.reply, has_sent=False)
        self.deliver_with_reply(handover.HANDOVER)
        self.assertIsNotNone(
            self.second.service.successors.ledger_of(self.owner.name)
        )

    def test_new_process_looks_up_the_successor(self):
        """A process that missed the broadcast must still find the successor."""
        self.shut_down_owner()
        self.deliver_with_reply(handover.HANDOVER)
        self.owner.is_alive = False
        newcomer = self.cluster.add_node()
        self.send(newcomer)
        self.deliver_with_reply(handover.LOOK_UP)
        self.cluster.deliver(self.find_message(service_lib.RUN))
        self.assertEqual(1, len(self.cluster.runs))

    def test_guard_stops_a_run_after_a_pause(self):
        """A process paused past the expiry must not send the order."""
        self.send(self.owner)
        self.cluster.now += cluster_lib.TTL_S
        self.cluster.runs[-1].gate.send("send")
        self.cluster.settle()
        answer = self.cluster.answers[-1][2]
        self.assertEqual("ticket_expired", answer.kind)
        self.assertFalse(self.cluster.runs[-1].is_sent)

    def test_unknown_order_is_never_restarted(self):
        """A resend after a lost answer must not run the order again."""
        self.send(self.owner)
        self.complete_run("drop")
        self.assertEqual(RunState.UNKNOWN, self.send(self.owner).run_state)
        self.assertEqual(1, len(self.cluster.runs))

    def test_order_of_an_unreachable_owner_is_unknown(self):
        """Another process must neither run the order nor answer ``not_run``."""
        self.owner.is_alive = False
        self.send(self.first)
        for _ in range(3):
            for message in [*self.cluster.messages]:
                self.cluster.messages.remove(message)
                self.cluster.fail(message.reply, has_sent=False)
        answer = self.cluster.answers[-1][2]
        self.assertEqual("order_unknown", answer.kind)
        self.assertEqual(RunState.UNKNOWN, answer.run_state)
        self.assertEqual([], self.cluster.runs)
