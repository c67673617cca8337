"""Tests of the router."""

import collections
import random

import hypothesis
from hypothesis import strategies
import testtools

from savoryspar import routing
from tests.routing import builders


class LocalityTest(testtools.TestCase):
    def new_router(self, **options):
        return builders.new_router(
            [
                builders.new_server("near", "z1", "r1"),
                builders.new_server("next", "z2", "r1"),
                builders.new_server("far", "z9", "r9"),
            ],
            **options,
        )

    def test_prefers_own_zone_then_region_then_other_regions(self):
        """Leaving the zone early adds latency and billed traffic."""
        router = self.new_router(initial_limit=4)
        names = [
            router.choose(builders.new_call(), 0.0).server.name
            for _ in range(12)
        ]
        self.assertEqual(["near"] * 1, names[:1])
        self.assertEqual({"near", "next"}, set(names[:8]))
        self.assertEqual({"far"}, set(names[8:]))

    def test_rate_limit_of_cross_region_traffic(self):
        """A flood must not saturate the slow links between regions."""
        router = self.new_router(initial_limit=4, region_bytes_per_s=1000.0)
        names = [
            router.choose(builders.new_call(size_bytes=800), 0.0).server.name
            for _ in range(12)
        ]
        self.assertEqual(2, names.count("far"))

    def test_rate_limit_refills(self):
        """Without a refill, a region would stay unreachable."""
        router = builders.new_router(
            [builders.new_server("far", "z9", "r9")], region_bytes_per_s=100.0
        )
        builders.run(router, 0.0, size_bytes=200)
        self.assertRaises(
            routing.NoServerError, builders.run, router, 0.0, size_bytes=200
        )
        self.assertEqual("far", builders.run(router, 2.0, size_bytes=200))

    def test_servers_that_failed_are_named(self):
        """Guards against a refusal that hides the failures before it.

        The only server of a pool had failed, and the error said that no server
        was live.
        """
        router = builders.new_router([builders.new_server("s1", "z1", "r1")])
        call = builders.new_call(excluded=frozenset({"s1"}))
        exc = self.assertRaises(routing.NoServerError, router.choose, call, 0.0)
        self.assertIn("refused it: s1", exc.message)

    def test_capacity_counts_other_regions_partially(self):
        """Counting them in full would admit calls that only they can run."""
        router = self.new_router(initial_limit=10)
        self.assertEqual(22, router.capacity("lm", 0.0))


class LimitTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(strategies.integers(0, 10**6))
    def test_no_limit_is_exceeded_while_another_server_has_room(self, seed):
        """A server above its limit queues calls while others are idle."""
        rng = random.Random(seed)
        router = builders.new_router(["a", "b", "c", "d"], initial_limit=3)
        running = []
        for step in range(150):
            now = step * 0.01
            if running and rng.random() < 0.5:
                choice = running.pop(rng.randrange(len(running)))
                outcome = rng.choice([*routing.Outcome])
                router.observe(choice, outcome, rng.choice([-1, 0, 4]), now)
                continue
            before = router.status(now)["lm"]
            try:
                choice = router.choose(builders.new_call(), now)
            except routing.NoServerError:
                self.assertTrue(all(s["is_out"] for s in before.values()))
                continue
            running.append(choice)
            chosen = before[choice.server.name]
            if chosen["in_flight"] >= chosen["limit"]:
                self.assertFalse(
                    [
                        name
                        for name, state in before.items()
                        if state["load"] + 1 <= state["limit"]
                        and not state["is_out"]
                    ]
                )

    def test_reported_load_is_adjusted_by_own_calls(self):
        """A stale report alone would send every call to the same server."""
        router = builders.new_router(["a", "b"], initial_limit=20)
        for name, load in (("a", 0), ("b", 4)):
            router.record_load_report(builders.new_server(name), load, 0, 0.0)
        names = [
            router.choose(builders.new_call(), 0.0).server.name
            for _ in range(8)
        ]
        self.assertEqual(6, names.count("a"))

    def test_old_report_decays(self):
        """An outdated load report must not keep calls from a server."""
        router = builders.new_router(["a", "b"])
        router.record_load_report(builders.new_server("a"), 7, 0, 0.0)
        names = {builders.run(router, 60.0 + i) for i in range(20)}
        self.assertEqual({"a", "b"}, names)

    def test_capacity_of_a_pool_that_is_down_admits_probes(self):
        """With capacity 0, no call would detect that the pool has recovered."""
        router = builders.new_router(["a"])
        builders.run(router, 0.0, routing.Outcome.UNREACHABLE)
        self.assertEqual(0, router.capacity("lm", 0.5))
        self.assertRaises(
            routing.NoServerError, router.choose, builders.new_call(), 0.5
        )
        self.assertEqual(1, router.capacity("lm", 1.5))
        self.assertEqual("a", builders.run(router, 1.5))
        self.assertEqual(8, router.capacity("lm", 1.6))


class LeavingTest(testtools.TestCase):
    def test_leaving_server_receives_no_call(self):
        """A new call to a leaving server would be interrupted."""
        router = builders.new_router(["a", "b"])
        router.mark_leaving("a", 0.0)
        live = [builders.new_server("a"), builders.new_server("b")]
        router.replace_servers(live, 1.0)
        names = {builders.run(router, 1.0) for _ in range(20)}
        self.assertEqual({"b"}, names)

    def test_replaced_server_is_used_again(self):
        """A server that was absent, or has a new address, must be used."""
        for lists in (
            [[], [builders.new_server("a")]],
            [[builders.new_server("a", address="new:1")]],
        ):
            router = builders.new_router(["a"])
            router.mark_leaving("a", 0.0)
            for live in lists:
                router.replace_servers(live, 1.0)
            self.assertEqual("a", builders.run(router, 1.0))

    def test_listed_as_leaving_then_stale_live(self):
        """A stale VM list must not make a leaving server available again."""
        router = builders.new_router(["a"])
        router.replace_servers([], 1.0, [builders.new_server("a")])
        router.replace_servers([builders.new_server("a")], 2.0)
        self.assertRaises(
            routing.NoServerError, router.choose, builders.new_call(), 2.0
        )

    def test_late_announcement_of_the_old_instance(self):
        """A late answer of the old instance must not affect the new one."""
        router = builders.new_router(["a"])
        router.replace_servers([builders.new_server("a", address="new:1")], 1.0)
        router.mark_leaving("a", 1.0, "a:1")
        self.assertEqual("a", builders.run(router, 1.0))

    def test_server_removed_from_the_list_with_calls_in_flight(self):
        """Calls that end later must not make the new state's count negative."""
        router = builders.new_router(["a"])
        choice = router.choose(builders.new_call(), 0.0)
        router.replace_servers([], 1.0)
        router.replace_servers([builders.new_server("a")], 2.0)
        router.observe(choice, routing.Outcome.OK, -1, 3.0)
        self.assertEqual(0, router.status(3.0)["lm"]["a"]["in_flight"])


class ExclusiveCallTest(testtools.TestCase):
    def test_suspect_runs_without_other_calls(self):
        """Another call at the server would fail with the crash."""
        router = builders.new_router(["a", "b", "c"])
        suspect = router.choose(builders.new_call(is_exclusive=True), 0.0)
        others = {builders.run(router, 0.0) for _ in range(30)}
        self.assertNotIn(suspect.server.name, others)
        router.observe(suspect, routing.Outcome.OK, -1, 1.0)
        others = {builders.run(router, 1.0) for _ in range(30)}
        self.assertIn(suspect.server.name, others)

    def test_suspect_waits_until_a_server_is_drained(self):
        """Without draining, a suspect would starve in a busy pool."""
        router = builders.new_router(["a", "b"])
        busy = [router.choose(builders.new_call(), 0.0) for _ in range(6)]
        call = builders.new_call(is_exclusive=True)
        exc = self.assertRaises(routing.NoServerError, router.choose, call, 0.0)
        self.assertTrue(exc.is_busy)
        drained = min(
            collections.Counter(c.server.name for c in busy).items(),
            key=lambda item: item[1],
        )[0]
        for choice in busy:
            if choice.server.name == drained:
                router.observe(choice, routing.Outcome.OK, -1, 0.1)
        self.assertEqual(drained, router.choose(call, 0.2).server.name)

    def test_only_server_of_a_pool(self):
        """Other calls must wait for a suspect to end instead of failing."""
        router = builders.new_router(["a"])
        suspect = router.choose(builders.new_call(is_exclusive=True), 0.0)
        exc = self.assertRaises(
            routing.NoServerError, router.choose, builders.new_call(), 0.0
        )
        self.assertTrue(exc.is_busy)
        router.observe(suspect, routing.Outcome.CANCELLED, -1, 0.1)
        self.assertEqual("a", builders.run(router, 0.2))

    def test_suspects_that_share_a_server_are_not_alone(self):
        """A crash must not block a suspect that shared the server.

        When all servers are unreachable, calls that must run alone may share
        one.
        """
        router = builders.new_router(["a"])
        builders.run(router, 0.0, routing.Outcome.UNREACHABLE)
        first, second = (
            router.choose(builders.new_call(is_exclusive=True), 9.0)
            for _ in range(2)
        )
        self.assertEqual(
            (False, False), (first.was_exclusive, second.was_exclusive)
        )
        for choice in (first, second):
            router.observe(choice, routing.Outcome.OK, -1, 10.0)
        third = router.choose(builders.new_call(is_exclusive=True), 11.0)
        self.assertTrue(third.was_exclusive)


class PolicyTest(testtools.TestCase):
    def test_every_policy_spreads_calls(self):
        """A broken baseline policy would invalidate comparisons with it."""
        for policy in ("scored", "least_in_flight", "round_robin"):
            router = builders.new_router(["a", "b", "c"], policy=policy)
            counts = collections.Counter(
                router.choose(builders.new_call(), 0.0).server.name
                for _ in range(18)
            )
            self.assertEqual({"a": 6, "b": 6, "c": 6}, counts, policy)

    def test_suspect_avoids_a_server_that_has_just_crashed(self):
        """Guards against blocking an innocent stream after another's crash.

        A crashing process resets connections until it has ended. A stream that
        resumed alone at an engine that had just crashed under another request
        got such a reset, which was counted as its own second crash
        (refused_fingerprint after 7 and 17 of 60 tokens).
        """
        router = builders.new_router(["a", "b"])
        names = set()
        busy = [router.choose(builders.new_call(), 0.0) for _ in range(2)]
        for choice in busy:
            names.add(choice.server.name)
        self.assertEqual({"a", "b"}, names)
        router.observe(busy[0], routing.Outcome.OK, -1, 0.5)
        culprit = router.choose(builders.new_call(is_exclusive=True), 0.6)
        self.assertTrue(culprit.was_exclusive)
        router.observe(culprit, routing.Outcome.CRASHED, -1, 0.7)
        self.assertRaises(
            routing.NoServerError,
            router.choose,
            builders.new_call(is_exclusive=True),
            0.72,
        )
        router.observe(busy[1], routing.Outcome.OK, -1, 0.8)
        innocent = router.choose(builders.new_call(is_exclusive=True), 0.82)
        self.assertEqual(busy[1].server.name, innocent.server.name)

    def test_fallback_that_has_just_crashed_blocks_no_request(self):
        """Guards against such a reset when the crashed server is the fallback.

        A request may get that server when no other is left; the reset must not
        count as a crash of its own.
        """
        router = builders.new_router(["a"])
        refused = router.choose(builders.new_call(), 0.0)
        router.observe(refused, routing.Outcome.UNREACHABLE, -1, 0.0)
        culprit = router.choose(builders.new_call(is_exclusive=True), 1.1)
        router.observe(culprit, routing.Outcome.CRASHED, -1, 1.2)
        self.assertTrue(culprit.was_exclusive)
        innocent = router.choose(builders.new_call(is_exclusive=True), 1.25)
        router.observe(innocent, routing.Outcome.CRASHED, -1, 1.26)
        self.assertFalse(innocent.was_exclusive)


class AvailabilityTest(testtools.TestCase):
    def test_paused_server_is_not_chosen(self):
        """Guards against calls to a server that has paused new work."""
        router = builders.new_router(["a", "b"])
        router.availability.record(("a", "a:1"), False, 3.0, 0.0)
        names = {builders.run(router, 0.1 * n) for n in range(1, 20)}
        self.assertEqual({"b"}, names)

    def test_paused_pool_is_refused_with_the_time_left(self):
        """Guards against requests that wait in vain or are retried too soon."""
        router = builders.new_router(["a", "b"])
        router.availability.record(("a", "a:1"), False, 3.0, 0.0)
        router.availability.record(("b", "b:1"), True, 0.0, 0.0)
        exc = self.assertRaises(
            routing.NoServerError, router.choose, builders.new_call(), 1.0
        )
        self.assertAlmostEqual(2.0, exc.retry_after_s)
