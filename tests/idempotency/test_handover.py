"""Tests of single steps of the hand-over that chance rarely meets."""

import testtools

from savoryspar.idempotency import answer as answer_lib
from savoryspar.idempotency import handover
from savoryspar.idempotency import service as service_lib
from tests.idempotency import world as world_lib

RunState = answer_lib.RunState
handover.RETRY_S = 0
service_lib.SHUTDOWN_POLL_S = 0


class HandoverTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.world = world_lib.World(3)
        self.owner, self.first, self.second = self.world.nodes.values()
        self.ticket = self.owner.service.issue("w", "p")

    def take(self, kind):
        return next(m for m in self.world.messages if m.kind == kind)

    def pass_on(self, kind):
        """Delivers one message of the kind and its reply."""
        self.world.deliver(self.take(kind))
        if self.world.replies:
            self.world.deliver_reply(self.world.replies[-1])

    def send(self, node):
        self.world.send(node, self.ticket, "a")
        return self.world.answers[-1][2] if self.world.answers else None

    def run_all(self, way="answer"):
        run = self.world.runs[-1]
        run.gate.send("send")
        self.world.settle()
        self.world.serve(run, way)
        return self.world.answers[-1][2]

    def leave(self):
        self.world.leave(self.owner)

    def test_successor_runs_a_ticket_that_never_ran(self):
        """A graceful shutdown must not spoil tickets that were not used."""
        self.leave()
        self.pass_on(handover.HANDOVER)
        self.send(self.first)
        self.assertEqual(RunState.COMPLETE, self.run_all().run_state)

    def test_successor_never_runs_an_unknown_order(self):
        """A run without an answer stays unknown after a hand-over."""
        self.send(self.owner)
        self.run_all("drop")
        self.leave()
        self.pass_on(handover.HANDOVER)
        self.assertEqual(RunState.UNKNOWN, self.send(self.first).run_state)
        self.assertEqual(1, len(self.world.runs))

    def test_run_cut_off_by_the_shutdown_is_unknown_at_the_successor(self):
        """A run that outlasts the shutdown must not start again."""
        self.send(self.owner)
        self.leave()
        self.world.now += 31.0
        self.world.settle()
        self.pass_on(handover.HANDOVER)
        self.assertEqual(RunState.UNKNOWN, self.send(self.first).run_state)
        self.assertEqual(1, len(self.world.runs))

    def test_result_survives(self):
        """A resend after a rolling replacement must get its result."""
        self.send(self.owner)
        self.run_all()
        self.leave()
        self.pass_on(handover.HANDOVER)
        self.assertEqual("a", self.send(self.first).output["value"])

    def test_refused_send_stays_refused_at_the_successor(self):
        """A doubled message must not run at the successor after ``not_run``."""
        self.send(self.second)
        message = self.take(service_lib.RUN)
        self.world.deliver(message, keep=True)
        self.world.runs[-1].gate.send("refuse")
        self.world.settle()
        self.leave()
        self.pass_on(handover.HANDOVER)
        self.world.deliver(message)
        self.world.deliver(self.take(service_lib.RUN))
        self.assertEqual(1, len(self.world.runs))

    def test_delayed_send_does_not_run_after_a_later_one_was_refused(self):
        """A caller told ``not_run`` last must not find that it ran later."""
        self.send(self.first)
        delayed = self.take(service_lib.RUN)
        self.world.fail(delayed.reply, has_sent=True)
        self.send(self.owner)
        self.world.runs[-1].gate.send("refuse")
        self.world.settle()
        self.world.deliver(delayed)
        self.assertEqual(1, len(self.world.runs))

    def test_delayed_send_does_not_run_after_its_state_was_told(self):
        """``not_run`` told by the state of the order must stay true."""
        self.send(self.first)
        delayed = self.take(service_lib.RUN)
        self.world.fail(delayed.reply, has_sent=True)
        self.world.ask(self.owner, self.ticket)
        answer = self.world.states[-1][1]
        self.assertEqual(RunState.NOT_RUN, answer.run_state)
        self.world.deliver(delayed)
        self.assertEqual([], self.world.runs)

    def test_nothing_is_refused_while_a_successor_may_run_it(self):
        """``not_run`` told after the copy was taken could be wrong."""
        self.leave()
        self.assertEqual(RunState.UNKNOWN, self.send(self.owner).run_state)
        self.world.ask(self.owner, self.ticket)
        answer = self.world.states[-1][1]
        self.assertEqual(RunState.UNKNOWN, answer.run_state)

    def test_closed_owner_refuses_before_the_copy_is_taken(self):
        """A leaving owner must not start a run that it cannot finish."""
        other = self.owner.service.issue("w", "p")
        self.world.send(self.owner, other, "b")
        self.leave()
        answer = self.send(self.owner)
        self.assertEqual(RunState.NOT_RUN, answer.run_state)
        self.assertEqual(1, len(self.world.runs))

    def test_lost_confirmation_does_not_make_a_second_successor(self):
        """Two successors could each run the same ticket."""
        self.leave()
        message = self.take(handover.HANDOVER)
        self.world.deliver(message, keep=True)
        self.world.messages.remove(message)
        self.world.now += 31.0
        self.world.fail(message.reply, has_sent=True)
        self.assertEqual([], [
            m for m in self.world.messages if m.kind == handover.HANDOVER
        ])  # fmt: skip
        self.assertIsNotNone(
            self.first.service.successors.ledger_of(self.owner.name)
        )
        self.assertIsNone(
            self.owner.service.successors.ledger_of(self.owner.name)
        )

    def test_offer_that_may_have_arrived_is_repeated_to_the_same_peer(self):
        """Another peer must not get it while the first one may have it."""
        self.leave()
        message = self.take(handover.HANDOVER)
        self.world.messages.remove(message)
        self.world.fail(message.reply, has_sent=True)
        self.assertEqual(message.target, self.take(handover.HANDOVER).target)

    def test_refusing_peer_stays_out_and_the_next_one_inherits(self):
        """A late copy must not make a peer that refused a successor too."""
        self.first.service.ledger.is_closed = True
        self.leave()
        message = self.take(handover.HANDOVER)
        self.pass_on(handover.HANDOVER)
        self.first.service.ledger.is_closed = False
        handler = self.first.links.handlers[handover.HANDOVER]
        handler(message.sender, message.body)
        self.pass_on(handover.HANDOVER)
        self.assertIsNone(
            self.first.service.successors.ledger_of(self.owner.name)
        )
        self.assertIsNotNone(
            self.second.service.successors.ledger_of(self.owner.name)
        )

    def test_peer_that_nothing_reached_is_passed_over(self):
        """One dead peer must not cost the ledger."""
        self.leave()
        message = self.take(handover.HANDOVER)
        self.world.messages.remove(message)
        self.world.fail(message.reply, has_sent=False)
        self.pass_on(handover.HANDOVER)
        self.assertIsNotNone(
            self.second.service.successors.ledger_of(self.owner.name)
        )

    def test_new_process_asks_for_the_successor(self):
        """A process that missed the broadcast must still find the successor."""
        self.leave()
        self.pass_on(handover.HANDOVER)
        self.owner.is_alive = False
        newcomer = self.world.add_node()
        self.send(newcomer)
        self.pass_on(handover.LOOK_UP)
        self.world.deliver(self.take(service_lib.RUN))
        self.assertEqual(1, len(self.world.runs))

    def test_guard_stops_a_run_after_a_pause(self):
        """A process paused past the expiry must not send the order."""
        self.send(self.owner)
        self.world.now += world_lib.TTL_S
        self.world.runs[-1].gate.send("send")
        self.world.settle()
        answer = self.world.answers[-1][2]
        self.assertEqual("ticket_expired", answer.kind)
        self.assertFalse(self.world.runs[-1].is_sent)

    def test_unknown_order_is_never_restarted(self):
        """A resend after a lost answer must not run the order again."""
        self.send(self.owner)
        self.run_all("drop")
        self.assertEqual(RunState.UNKNOWN, self.send(self.owner).run_state)
        self.assertEqual(1, len(self.world.runs))

    def test_owner_out_of_reach_is_unknown(self):
        """Another process must neither run it nor say that it did not run."""
        self.owner.is_alive = False
        self.send(self.first)
        for _ in range(3):
            for message in [*self.world.messages]:
                self.world.messages.remove(message)
                self.world.fail(message.reply, has_sent=False)
        answer = self.world.answers[-1][2]
        self.assertEqual("order_unknown", answer.kind)
        self.assertEqual(RunState.UNKNOWN, answer.run_state)
        self.assertEqual([], self.world.runs)
