"""Tests of the call budget for the configuration service."""

import testtools

from savoryspar.discovery import budget


class CallBudgetTest(testtools.TestCase):
    def test_calls_stay_within_the_rate(self):
        """Guards against a faulty watch that exceeds the rate limit."""
        calls = budget.CallBudget(5.0, 10.0, 0.0)
        now, made = 0.0, 0
        while now < 20.0:
            wait_s = calls.wait_s(now)
            now += wait_s + 1e-6
            calls.spend(1.0, now)
            made += 1
        self.assertLessEqual(made, 10 + 20 * 5 + 1)

    def test_long_poll_costs_calls(self):
        """Guards against long polls that are not deducted from the budget.

        A waiting long poll counts as calls at the service.
        """
        calls = budget.CallBudget(1.0, 5.0, 0.0)
        calls.spend(1.0, 0.0)
        calls.spend(20.0, 20.0)
        self.assertGreater(calls.wait_s(20.0), 0.0)
