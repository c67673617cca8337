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
        trials.end("b")
        self.assertFalse(trials.is_free(1.2))
        trials.end("a")
        self.assertTrue(trials.is_free(1.3))

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
