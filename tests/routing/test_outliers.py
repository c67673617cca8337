"""Tests of outlier ejection through the router."""

import testtools

from savoryspar import routing
from savoryspar.routing import outliers
from tests.routing import builders

NAMES = ["a", "b", "c", "d", "e", "f"]


class OutlierTest(testtools.TestCase):
    def drive(self, router, calls, bad=(), start=0.0, slow=()):
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

    def out(self, router):
        return {
            name
            for name, state in router.status(0.0)["lm"].items()
            if state["is_out"]
        }

    def test_failing_server_is_ejected(self):
        """A server that fails fast looks idle and draws all the work."""
        router = builders.new_router(NAMES)
        names = self.drive(router, 200, bad={"a"})
        self.assertEqual({"a"}, self.out(router))
        self.assertLess(names.count("a"), 12)

    def test_slow_server_is_ejected(self):
        """A slow server makes every request that it gets late."""
        router = builders.new_router(NAMES)
        self.drive(router, 400, slow={"b"})
        self.assertEqual({"b"}, self.out(router))

    def test_pool_that_fails_as_a_whole_is_kept(self):
        """Ejection does not help when the fault is the pool's."""
        router = builders.new_router(NAMES)
        self.drive(router, 400, bad=set(NAMES))
        self.assertEqual(set(), self.out(router))

    def test_never_more_than_the_share(self):
        """Ejecting most of a pool overloads the rest."""
        router = builders.new_router(NAMES)
        self.drive(router, 600, bad={"a", "b", "c"})
        self.assertLessEqual(len(self.out(router)), 2)

    def test_recovered_server_returns_after_probes(self):
        """An ejected server must not stay out for good."""
        router = builders.new_router(NAMES)
        self.drive(router, 200, bad={"a"})
        names = self.drive(router, 800, start=10.0)
        self.assertEqual(set(), self.out(router))
        self.assertGreater(names.count("a"), 50)

    def test_failed_probe_waits_longer(self):
        """Probes at a fixed rate keep costing requests."""
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

    def test_refused_connection_takes_out_at_once(self):
        """Each further call there would lose a round trip."""
        router = builders.new_router(["a", "b"])
        while builders.run(router, 0.0, routing.Outcome.UNREACHABLE) != "a":
            pass
        self.assertIn("a", self.out(router))
