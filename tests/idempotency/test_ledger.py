"""Tests of the ledger: its bounds, answers and state changes."""

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
        self.ledger.check_capacity(workspace, at(now))
        ticket = self.signer.issue("i", workspace, "p", "", at(now))
        self.ledger.add_ticket(ticket, at(now))
        return ticket, self.ledger.find(ticket.nonce)

    def order(self, ticket, send_id="s1", body=None):
        return idempotency.Order(
            send_id, ticket.text, "w", "p", "urgent", body or {}, "", 1.0
        )

    def begin(self, ticket, entry, now=1.0, body=None, generation=None):
        order = self.order(ticket, "s", body)
        return self.ledger.begin(entry, order, at(now), generation)

    def test_tickets_are_bounded_in_total_and_by_workspace(self):
        """A caller that only requests tickets must not exhaust the memory."""
        self.issue(0.0, "a"), self.issue(0.0, "a")
        self.assertRaises(idempotency.LedgerFullError, self.issue, 0.0, "a")
        self.issue(0.0, "b"), self.issue(0.0, "c")
        exc = self.assertRaises(
            idempotency.LedgerFullError, self.issue, 20.0, "d"
        )
        self.assertEqual(40.0, exc.retry_after_s)
        self.issue(TTL_S, "d")
        self.assertEqual(1, len(self.ledger))

    def test_order_with_evicted_result_stays_complete(self):
        """With any other answer, the caller would order a second time."""
        answers = []
        for number in range(2):
            ticket, entry = self.issue(0.0, f"w{number}")
            self.begin(ticket, entry)
            result = idempotency.Answer(COMPLETE, output={"n": "x" * 20})
            self.ledger.finish(entry, result)
            answers.append((ticket, entry))
        first, second = (self.begin(t, f) for t, f in answers)
        self.assertEqual(("result_evicted", COMPLETE),
                         (first.kind, first.run_state))  # fmt: skip
        self.assertEqual({"n": "x" * 20}, second.output)
        self.assertLessEqual(self.ledger.result_bytes, 40)

    def test_stale_message_never_runs(self):
        """A delayed or duplicated message must not run after ``not_run``."""
        ticket, entry = self.issue()
        self.assertIsNone(self.begin(ticket, entry, generation=0))
        self.ledger.finish(entry, idempotency.Answer(NOT_RUN))
        stale = self.begin(ticket, entry, generation=0)
        self.assertEqual((NOT_RUN, 1), (stale.run_state, stale.generation))
        self.assertIsNone(self.begin(ticket, entry, generation=1))

    def test_retry_by_the_caller_runs_after_a_refusal(self):
        """The ticket must stay valid after a failure before the first byte."""
        ticket, entry = self.issue()
        self.begin(ticket, entry)
        self.ledger.finish(entry, idempotency.Answer(NOT_RUN))
        self.assertIsNone(self.begin(ticket, entry))

    def test_expiry_by_either_clock_is_permanent(self):
        """A clock set back must not revive a ticket that was refused."""
        for reading in (
            idempotency.ClockReading(TTL_S, 1001.0),
            idempotency.ClockReading(1.0, 1000.0 + TTL_S),
        ):
            ticket, entry = self.issue()
            order = self.order(ticket)
            answer = self.ledger.begin(entry, order, reading, None)
            self.assertEqual("ticket_expired", answer.kind)
            self.assertIsNotNone(self.begin(ticket, entry, now=1.0))

    def test_another_body_is_refused(self):
        """One ticket must not run two different orders."""
        ticket, entry = self.issue()
        self.begin(ticket, entry, body={"fee": 1})
        answer = self.begin(ticket, entry, body={"fee": 2})
        self.assertEqual((422, NOT_RUN), (answer.status, answer.run_state))

    def test_ticket_is_bound_to_pipeline_and_key(self):
        """A ticket must not be valid for an order it was not issued for."""
        ticket, _ = self.issue()
        order = self.order(ticket)
        self.assertIsNone(ledger_lib.check_binding(ticket, order))
        order.pipeline = "other"
        self.assertEqual(422, ledger_lib.check_binding(ticket, order).status)
        ticket.key_digest, order.pipeline = "abc", "p"
        self.assertEqual(422, ledger_lib.check_binding(ticket, order).status)
