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
        """A limit of 0 would never recover; one above the cap overloads."""
        limit = limits.new_limit("gradient", 8, 32)
        for latency_s, in_flight in samples:
            limit.record_latency(latency_s, in_flight)
            limit.record_queue(in_flight - 1, in_flight % 3)
            self.assertTrue(1 <= limit.calls <= 32)

    def test_grows_while_latency_is_stable(self):
        """A limit that stays low leaves slots of an engine's batch unused."""
        limit = limits.new_limit("gradient", 8, 64)
        for _ in range(200):
            limit.record_latency(0.1, limit.calls)
        self.assertEqual(64, limit.calls)

    def test_unused_limit_does_not_grow(self):
        """A limit that grows while unused lets the next burst overload."""
        limit = limits.new_limit("gradient", 8, 64)
        for _ in range(200):
            limit.record_latency(0.1, 1)
        self.assertEqual(8, limit.calls)

    def test_shrinks_when_latency_rises(self):
        """Calls must queue at the scheduler, not at the server."""
        limit = limits.new_limit("gradient", 32, 64)
        for _ in range(100):
            limit.record_latency(0.1, 1)
        for _ in range(30):
            limit.record_latency(1.0, limit.calls)
        self.assertLess(limit.calls, 12)

    def test_queue_report_lowers_the_limit_immediately(self):
        """A reported queue must take effect before latency rises."""
        limit = limits.new_limit("gradient", 32, 64)
        limit.record_queue(12, 3)
        self.assertEqual(12 + limits.QUEUE_DEPTH, limit.calls)

    def test_fast_calls_do_not_raise_the_limit_over_a_reported_queue(self):
        """Low latency at the head of a queue must not refill the queue."""
        limit = limits.new_limit("gradient", 32, 64)
        limit.record_queue(12, 3)
        for _ in range(100):
            limit.record_latency(0.1, 12)
        self.assertEqual(12 + limits.QUEUE_DEPTH, limit.calls)

    def test_queued_calls_do_not_lower_the_limit_below_a_full_batch(self):
        """The queued call raises latency, which must not leave slots idle."""
        limit = limits.new_limit("gradient", 8, 64)
        for _ in range(50):
            limit.record_latency(0.01, 4)
        limit.record_queue(12, 1)
        for _ in range(50):
            limit.record_latency(0.2, 12)
        self.assertGreaterEqual(limit.calls, 12)

    def test_ceiling_rises_when_the_server_is_busy_without_a_queue(self):
        """A ceiling set during a slow period must not be permanent."""
        limit = limits.new_limit("gradient", 32, 64)
        limit.record_queue(2, 3)
        for _ in range(12):
            limit.record_queue(limit.calls, 0)
            for _ in range(50):
                limit.record_latency(0.1, limit.calls)
        self.assertGreater(limit.calls, 12)
