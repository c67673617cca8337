"""Tests of running suspects one at a time."""

import testtools

from savoryspar import blame
from savoryspar.blame import lane


class TrialLaneTest(testtools.TestCase):
    def test_one_trial_runs_at_a_time(self):
        """Guards against suspects that crash several engines at once."""
        trials = blame.new_trial_lane()
        trials.begin("a", 1.0)
        self.assertFalse(trials.is_free(1.1))
        trials.end("b", False, 1.2)
        self.assertFalse(trials.is_free(1.2))
        trials.end("a", False, 1.3)
        self.assertTrue(trials.is_free(1.3))

    def test_next_trial_waits_for_the_report_of_a_crash(self):
        """Guards against a trial that begins before its VM knows better."""
        trials = blame.new_trial_lane()
        trials.begin("a", 1.0)
        trials.end("a", True, 1.1)
        self.assertFalse(trials.is_free(1.1 + lane.CRASH_HOLD_S / 2))
        self.assertTrue(trials.is_free(1.1 + lane.CRASH_HOLD_S))

    def test_next_trial_begins_soon_after_the_first_event(self):
        """Guards against sound suspects that wait for whole answers."""
        trials = blame.new_trial_lane()
        trials.begin("a", 1.0)
        trials.record_answer_start("a", 2.0)
        self.assertFalse(trials.is_free(2.0 + lane.SETTLE_S / 2))
        self.assertTrue(trials.is_free(2.0 + lane.SETTLE_S))

    def test_trial_of_a_lost_vm_ends(self):
        """Guards against suspects that wait for a VM that has died."""
        trials = blame.new_trial_lane()
        trials.begin("a", 1.0)
        self.assertTrue(trials.is_free(1.0 + lane.TRIAL_TTL_S))
