"""Tests of the parts of the engine stand-in that routing scenarios use."""

import eventlet
import testtools

from savoryspar.backends import reports
from savoryspar.standins import prefix_cache, slots


class PrefixCacheTest(testtools.TestCase):
    def test_cached_prefix_and_limited_memory(self):
        """Guards against a cache that never evicts and hides bad policies."""
        cache = prefix_cache.PrefixCache(4, 1)
        self.assertEqual(0, cache.use(["a", "b", "c"], 0.0))
        self.assertEqual(2, cache.use(["a", "b", "x"], 0.0))
        cache.use(["p", "q", "r"], 0.0)
        self.assertEqual(1, cache.use(["a", "b"], 0.0))

    def test_events_are_delayed_and_lost(self):
        """Guards against lost events that readers cannot detect."""
        cache = prefix_cache.PrefixCache(100, 1)
        cache.event_delay_s, cache.event_gap_share = 5.0, 0.5
        for number in range(20):
            cache.use([f"{number:x}"], float(number))
        document = cache.events(0, 15.0)
        self.assertEqual(11, document["last"])
        self.assertTrue(0 < len(document["events"]) < 11)
        text = str(document).replace("'", '"').encode()
        self.assertTrue(reports.decode_cache_events(text, 0).has_gap)

    def test_report_without_a_gap(self):
        """Guards against false gaps, which halve the weight of known blocks."""
        cache = prefix_cache.PrefixCache(1, 1)
        cache.use(["a"], 0.0)
        first = str(cache.events(0, 1.0)).replace("'", '"').encode()
        self.assertFalse(reports.decode_cache_events(first, 0).has_gap)
        cache.use(["b"], 1.0)
        text = str(cache.events(1, 1.0)).replace("'", '"').encode()
        report = reports.decode_cache_events(text, 1)
        self.assertEqual(
            ([0xB], [0xA], False),
            (report.stored, report.removed, report.has_gap),
        )


class SlotsTest(testtools.TestCase):
    def test_urgent_call_gets_the_next_slot(self):
        """Guards against urgent calls that wait behind a flood of others."""
        batch, order = slots.Slots(1), []

        def run(priority):
            batch.acquire(priority)
            order.append(priority)
            eventlet.sleep(0)
            batch.release()

        threads = [eventlet.spawn(run, p) for p in (2, 2, 1, 0)]
        for thread in threads:
            thread.wait()
        self.assertEqual([2, 0, 1, 2], order)
        self.assertEqual((0, 0), (batch.running, batch.waiting))
