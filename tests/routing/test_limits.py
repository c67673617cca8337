"""Tests of the concurrency limit of one server."""

import hypothesis
from hypothesis import strategies
import testtools

from savoryspar.routing import limits


class LimitTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0001, 10.0), strategies.integers(1, 100)
            ),
            max_size=200,
        )
    )
    def test_stays_between_one_and_the_cap(self, samples):
        """A limit of 0 would never recover; one past the cap overloads."""
        limit = limits.new_limit("gradient", 8, 32)
        for latency_s, in_flight in samples:
            limit.sample(latency_s, in_flight)
            limit.take_queue(in_flight - 1, in_flight % 3)
            self.assertTrue(1 <= limit.calls <= 32)

    def test_grows_while_latency_stays(self):
        """A limit that stays low wastes an engine's batch."""
        limit = limits.new_limit("gradient", 8, 64)
        for _ in range(200):
            limit.sample(0.1, limit.calls)
        self.assertEqual(64, limit.calls)

    def test_unused_limit_does_not_grow(self):
        """A limit that grows while idle lets the next burst overload."""
        limit = limits.new_limit("gradient", 8, 64)
        for _ in range(200):
            limit.sample(0.1, 1)
        self.assertEqual(8, limit.calls)

    def test_shrinks_when_latency_rises(self):
        """A queue at the server must end up at the scheduler instead."""
        limit = limits.new_limit("gradient", 32, 64)
        for _ in range(100):
            limit.sample(0.1, 1)
        for _ in range(30):
            limit.sample(1.0, limit.calls)
        self.assertLess(limit.calls, 12)

    def test_queue_report_lowers_it_at_once(self):
        """A queue is known before latency shows it."""
        limit = limits.new_limit("gradient", 32, 64)
        limit.take_queue(12, 3)
        self.assertEqual(12 + limits.READY_CALLS, limit.calls)

    def test_fast_calls_do_not_lift_it_over_a_reported_queue(self):
        """Short latency at the front of a queue must not refill the queue."""
        limit = limits.new_limit("gradient", 32, 64)
        limit.take_queue(12, 3)
        for _ in range(100):
            limit.sample(0.1, 12)
        self.assertEqual(12 + limits.READY_CALLS, limit.calls)

    def test_ceiling_rises_when_the_server_is_busy_without_a_queue(self):
        """A ceiling from a slow moment must not stay for good."""
        limit = limits.new_limit("gradient", 32, 64)
        limit.take_queue(2, 3)
        for _ in range(12):
            limit.take_queue(limit.calls, 0)
            for _ in range(50):
                limit.sample(0.1, limit.calls)
        self.assertGreater(limit.calls, 12)
