"""Tests of what servers say of themselves."""

import math

from hypothesis import stateful
from hypothesis import strategies as st
import testtools

from savoryspar import backends
from savoryspar.backends import availability as notices_lib

SERVER = ("s1", "10.0.0.1:1")
OTHER = ("s2", "10.0.0.2:1")


class LeavingTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.availability = backends.new_server_availability()
        self.availability.update({SERVER: 1000, OTHER: 1000}, 0.0)
        self.availability.note(SERVER, True, 0.0, 5.0)

    def test_server_that_leaves_gets_no_work(self):
        """Guards against work sent until the list says that a server leaves.

        34 of 60 requests reached a server that had said so more than 2.5 s
        before.
        """
        self.assertFalse(self.availability.may_send(SERVER, 5.0))
        self.assertFalse(self.availability.may_send(SERVER, 500.0))
        self.assertTrue(self.availability.may_send(OTHER, 5.0))

    def test_list_that_lags_brings_nobody_back(self):
        """Guards against a server used again because it is still listed."""
        self.availability.update({SERVER: 1000, OTHER: 1000}, 9.0)
        self.assertFalse(self.availability.may_send(SERVER, 9.0))

    def test_lapsed_entry_brings_nobody_back(self):
        """Guards against a notice forgotten while the store was away."""
        self.availability.update({OTHER: 1000}, 7.0)
        self.availability.update({SERVER: 1000, OTHER: 1000}, 9.0)
        self.assertFalse(self.availability.may_send(SERVER, 9.0))

    def test_lapsed_entry_ends_no_pause(self):
        """Guards against work for a paused server whose entry came back."""
        self.availability.note(OTHER, False, 5.0, 500.0)
        self.availability.update({}, 501.0)
        self.availability.update({OTHER: 1000}, 502.0)
        self.assertFalse(self.availability.may_send(OTHER, 502.0))

    def test_new_start_under_the_same_name_gets_work(self):
        """Guards against a server left out for good after it came back."""
        self.availability.update({SERVER: 2000}, 9.0)
        self.assertTrue(self.availability.may_send(SERVER, 9.0))

    def test_word_just_before_a_new_start_is_listed_is_kept(self):
        """Guards against the notice of a new start taken for the old one's."""
        self.availability.update({SERVER: 2000}, 5.5)
        self.assertFalse(self.availability.may_send(SERVER, 5.5))

    def test_servers_off_the_list_are_forgotten(self):
        """Guards against memory that grows with each server that left."""
        self.availability.update({}, 5.0 + notices_lib.REMEMBER_S)
        self.assertTrue(self.availability.may_send(SERVER, 300.0))


class PauseTest(testtools.TestCase):
    def test_calls_after_a_pause_come_one_by_one(self):
        """Guards against a backlog that meets a server all at once."""
        availability = backends.new_server_availability()
        availability.note(SERVER, False, 2.0, 10.0)
        self.assertFalse(availability.may_send(SERVER, 11.99))
        self.assertTrue(availability.may_send(SERVER, 12.0))
        availability.record_send(SERVER, 12.0)
        self.assertFalse(availability.may_send(SERVER, 12.1))
        availability.note(SERVER, False, 0.0, 12.2)
        self.assertTrue(availability.may_send(SERVER, 12.2))

    def test_shorter_pause_does_not_end_a_longer_one(self):
        """Guards against a pause cut short by a later, smaller notice."""
        availability = backends.new_server_availability()
        availability.note(SERVER, False, 5.0, 10.0)
        availability.note(SERVER, False, 1.0, 10.5)
        availability.note(SERVER, False, 0.0, 12.0)
        self.assertAlmostEqual(3.0, availability.pause_s(SERVER, 12.0))


class NoticesMachine(stateful.RuleBasedStateMachine):
    """Any order of notices, times and restarts; a model holds the two rules."""

    def __init__(self):
        super().__init__()
        self.availability = backends.new_server_availability()
        self.now = 0.0
        self.start = 1
        self.until = -math.inf
        self.said_at = None
        self.availability.update({SERVER: self.start}, self.now)

    @stateful.rule(step_s=st.floats(0.0, 5.0))
    def pass_time(self, step_s):
        self.now += step_s

    @stateful.rule(is_leaving=st.booleans(), pause_s=st.floats(0.0, 4.0))
    def answer(self, is_leaving, pause_s):
        self.availability.note(SERVER, is_leaving, pause_s, self.now)
        self.until = max(self.until, self.now + pause_s)
        if is_leaving:
            self.said_at = self.now

    @stateful.rule()
    def list_again(self):
        self.availability.update({SERVER: self.start}, self.now)

    @stateful.rule()
    def lapse_and_return(self):
        self.availability.update({}, self.now)
        self.availability.update({SERVER: self.start}, self.now)

    @stateful.rule()
    def restart(self):
        self.start += 1
        self.now += 2.0
        self.said_at, self.until = None, -math.inf
        self.availability.update({SERVER: self.start}, self.now)

    @stateful.rule()
    def send(self):
        if self.availability.may_send(SERVER, self.now):
            self.availability.record_send(SERVER, self.now)

    @stateful.invariant()
    def notices_bind(self):
        if self.said_at is not None or self.now < self.until:
            assert not self.availability.may_send(SERVER, self.now)

    @stateful.invariant()
    def no_pause_lasts_for_ever(self):
        if self.said_at is None:
            later = max(self.now, self.until) + notices_lib.TRIAL_GAP_S + 0.001
            assert self.availability.may_send(SERVER, later)


NoticesTest = NoticesMachine.TestCase
