"""Tests of outlier ejection through the router."""

import testtools

from savoryspar import routing
from savoryspar.routing import outliers
from tests.routing import builders

NAMES = ["a", "b", "c", "d", "e", "f"]


class OutlierTest(testtools.TestCase):
    def send_calls(self, router, calls, bad=(), start=0.0, slow=()):
        names = []
        for number in range(calls):
            now = start + number * 0.01
            choice = router.choose(builders.new_call(), now)
            name = choice.server.name
            outcome = (
                routing.Outcome.FAILED if name in bad else routing.Outcome.OK
            )
            latency_s = 1.0 if name in slow else 0.02
            router.observe(choice, outcome, -1, now + latency_s)
            names.append(name)
        return names

    def unavailable(self, router):
        return {
            name
            for name, state in router.status(0.0)["lm"].items()
            if state["is_out"]
        }

    def test_failing_server_is_ejected(self):
        """A server that fails fast has low load and would attract all calls."""
        router = builders.new_router(NAMES)
        names = self.send_calls(router, 200, bad={"a"})
        self.assertEqual({"a"}, self.unavailable(router))
        self.assertLess(names.count("a"), 12)

    def test_slow_server_is_ejected(self):
        """A slow server delays every request routed to it."""
        router = builders.new_router(NAMES)
        self.send_calls(router, 400, slow={"b"})
        self.assertEqual({"b"}, self.unavailable(router))

    def test_pool_that_fails_as_a_whole_is_kept(self):
        """Ejection does not help when the whole pool fails."""
        router = builders.new_router(NAMES)
        self.send_calls(router, 400, bad=set(NAMES))
        self.assertEqual(set(), self.unavailable(router))

    def test_ejects_at_most_the_maximum_share(self):
        """Ejecting most of a pool would overload the remaining servers."""
        router = builders.new_router(NAMES)
        self.send_calls(router, 600, bad={"a", "b", "c"})
        self.assertLessEqual(len(self.unavailable(router)), 2)

    def test_recovered_server_returns_after_probes(self):
        """An ejected server must not stay ejected after it recovers."""
        router = builders.new_router(NAMES)
        self.send_calls(router, 200, bad={"a"})
        names = self.send_calls(router, 800, start=10.0)
        self.assertEqual(set(), self.unavailable(router))
        self.assertGreater(names.count("a"), 50)

    def test_failed_probe_increases_the_backoff(self):
        """Probes at a fixed rate would keep failing requests."""
        health = outliers.Health()
        health.eject(0.0)
        waits = []
        for _ in range(8):
            now = health.probe_at
            health.is_probing = True
            health.record(False, 0.1, now)
            waits.append(health.probe_at - now)
        self.assertEqual(sorted(waits), waits)
        self.assertEqual(outliers.MAX_BACKOFF_S, waits[-1])

    def test_refused_connection_marks_unreachable_immediately(self):
        """Each further call to the server would waste a round trip."""
        router = builders.new_router(["a", "b"])
        while builders.run(router, 0.0, routing.Outcome.UNREACHABLE) != "a":
            pass
        self.assertIn("a", self.unavailable(router))
