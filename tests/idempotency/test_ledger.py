"""Tests of the ledger's bounds and of what it tells."""

import testtools

from savoryspar import idempotency
from savoryspar.idempotency import ledger as ledger_lib

TTL_S = 60.0
NOT_RUN = idempotency.RunState.NOT_RUN
COMPLETE = idempotency.RunState.COMPLETE


def at(seconds, wall_offset=1000.0):
    return idempotency.ClockReading(seconds, seconds + wall_offset)


class LedgerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.ledger = idempotency.new_ledger(4, 50.0, 40)
        self.signer = idempotency.new_ticket_signer([("k", b"k" * 32)], TTL_S)

    def issue(self, now=0.0, workspace="w"):
        self.ledger.check_room(workspace, at(now))
        ticket = self.signer.issue("i", workspace, "p", "", at(now))
        self.ledger.reserve(ticket, at(now))
        return ticket, self.ledger.find(ticket.nonce)

    def order(self, ticket, send_id="s1", body=None):
        return idempotency.Order(
            send_id, ticket.text, "w", "p", "urgent", body or {}, "", 1.0
        )

    def begin(self, ticket, found, now=1.0, body=None, generation=None):
        order = self.order(ticket, "s", body)
        return self.ledger.begin(found, order, at(now), generation)

    def test_room_is_bounded_in_all_and_for_each_workspace(self):
        """A caller that only fetches tickets must not use up the memory."""
        self.issue(0.0, "a"), self.issue(0.0, "a")
        self.assertRaises(idempotency.LedgerFullError, self.issue, 0.0, "a")
        self.issue(0.0, "b"), self.issue(0.0, "c")
        exc = self.assertRaises(
            idempotency.LedgerFullError, self.issue, 20.0, "d"
        )
        self.assertEqual(40.0, exc.retry_after_s)
        self.issue(TTL_S, "d")
        self.assertEqual(1, len(self.ledger))

    def test_evicted_result_still_says_complete(self):
        """A caller told anything else would order a second time."""
        answers = []
        for number in range(2):
            ticket, found = self.issue(0.0, f"w{number}")
            self.begin(ticket, found)
            result = idempotency.Answer(COMPLETE, output={"n": "x" * 20})
            self.ledger.finish(found, result)
            answers.append((ticket, found))
        first, second = (self.begin(t, f) for t, f in answers)
        self.assertEqual(("result_evicted", COMPLETE),
                         (first.kind, first.run_state))  # fmt: skip
        self.assertEqual({"n": "x" * 20}, second.output)
        self.assertLessEqual(self.ledger.result_bytes, 40)

    def test_message_from_before_a_refusal_never_runs(self):
        """A delayed or doubled message must not run after ``not_run``."""
        ticket, found = self.issue()
        self.assertIsNone(self.begin(ticket, found, generation=0))
        self.ledger.finish(found, idempotency.Answer(NOT_RUN))
        stale = self.begin(ticket, found, generation=0)
        self.assertEqual((NOT_RUN, 1), (stale.run_state, stale.generation))
        self.assertIsNone(self.begin(ticket, found, generation=1))

    def test_resend_from_the_caller_runs_after_a_refusal(self):
        """A failure before the first byte must not spoil the ticket."""
        ticket, found = self.issue()
        self.begin(ticket, found)
        self.ledger.finish(found, idempotency.Answer(NOT_RUN))
        self.assertIsNone(self.begin(ticket, found))

    def test_expiry_by_either_clock_is_latched(self):
        """A clock set back must not revive a ticket that was refused."""
        for moment in (
            idempotency.ClockReading(TTL_S, 1001.0),
            idempotency.ClockReading(1.0, 1000.0 + TTL_S),
        ):
            ticket, found = self.issue()
            order = self.order(ticket)
            answer = self.ledger.begin(found, order, moment, None)
            self.assertEqual("ticket_expired", answer.kind)
            self.assertIsNotNone(self.begin(ticket, found, now=1.0))

    def test_another_body_is_refused(self):
        """One ticket must not run two different orders."""
        ticket, found = self.issue()
        self.begin(ticket, found, body={"fee": 1})
        answer = self.begin(ticket, found, body={"fee": 2})
        self.assertEqual((422, NOT_RUN), (answer.status, answer.run_state))

    def test_ticket_is_bound_to_pipeline_and_key(self):
        """A ticket of one order must not open another one."""
        ticket, _ = self.issue()
        order = self.order(ticket)
        self.assertIsNone(ledger_lib.check_binding(ticket, order))
        order.pipeline = "other"
        self.assertEqual(422, ledger_lib.check_binding(ticket, order).status)
        ticket.key_digest, order.pipeline = "abc", "p"
        self.assertEqual(422, ledger_lib.check_binding(ticket, order).status)
