"""Tests of the newest limits of servers, whatever the order of the news."""

import hypothesis
from hypothesis import strategies as st
import testtools

from savoryspar import ratelimits

SERVER = ("i-1", "10.0.0.1:80")


class LimitTableTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = ratelimits.new_limit_table()

    def test_limit_ends_with_an_answer_to_a_later_request(self):
        """Guards against a limit that outlasts its server's need for it."""
        self.table.record_answer(SERVER, 2.0, sent_at=9.0, now=10.0)
        self.table.record_answer(SERVER, None, sent_at=11.0, now=11.1)
        self.assertIsNone(self.table.limit(SERVER))

    def test_answer_to_an_earlier_request_does_not_end_the_limit(self):
        """Guards against a limit ended by an answer that was on its way."""
        self.table.record_answer(SERVER, 2.0, sent_at=9.0, now=10.0)
        self.table.record_answer(SERVER, None, sent_at=9.5, now=12.0)
        self.assertEqual(2.0, self.table.limit(SERVER))

    def test_limit_ends_with_a_restart_of_its_server(self):
        """Guards against the limit of an earlier instance kept for good."""
        self.table.update({SERVER: 1000}, now=0.0)
        self.table.record_answer(SERVER, 2.0, sent_at=9.0, now=10.0)
        self.table.update({SERVER: 2000}, now=12.0)
        self.assertIsNone(self.table.limit(SERVER))

    def test_report_of_an_earlier_instance_is_ignored(self):
        """Guards against a peer that brings back the limit from before."""
        self.table.update({SERVER: 2000}, now=0.0)
        self.table.record_report(SERVER, 1000, 2.0, 10.0, "peer")
        self.assertIsNone(self.table.limit(SERVER))

    def test_limit_of_a_server_off_the_list_is_kept_for_a_while(self):
        """Guards against a limit lost while the store is away."""
        self.table.update({SERVER: 1000}, now=0.0)
        self.table.record_answer(SERVER, 2.0, sent_at=9.0, now=10.0)
        self.table.update({}, now=11.0)
        self.assertEqual(2.0, self.table.limit(SERVER))
        self.table.update({SERVER: 1000}, now=12.0)
        self.assertEqual(2.0, self.table.limit(SERVER))
        self.table.update({}, now=13.0)
        self.table.update({}, now=200.0)
        self.assertIsNone(self.table.limit(SERVER))

    def test_reports_passed_around_do_not_renew_a_limit(self):
        """Guards against a limit that never ends while peers exchange it.

        Each report seems newer by the time that it took between two VMs.
        """
        self.table.record_answer(SERVER, 2.0, sent_at=9.0, now=10.0)
        for number in range(1, 100):
            said_at = self.table.statement(SERVER).said_at + 0.02 * number
            self.table.record_report(SERVER, 0, 2.0, min(said_at, 10.9), "peer")
        self.table.record_answer(SERVER, None, sent_at=10.5, now=11.5)
        self.assertIsNone(self.table.limit(SERVER))

    def test_statements_about_unknown_servers_are_bounded(self):
        """Guards against memory that grows with a peer's reports."""
        for number in range(1000):
            self.table.record_report((f"x{number}", "a:1"), 0, 1.0, 1.0, "p")
        self.assertLessEqual(len(self.table.limited()), 256)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(st.permutations(range(5)))
    def test_order_of_reports_does_not_matter(self, order):
        """Guards against VMs that end with different limits."""
        table = ratelimits.new_limit_table()
        reports = [(1.0, 1.0), (2.0, 2.0), (None, 3.0), (4.0, 4.0), (5.0, 5.0)]
        for number in order:
            table.record_report(SERVER, 0, *reports[number], "peer")
        self.assertEqual(5.0, table.limit(SERVER))
