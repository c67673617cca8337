"""Tests of the choice of a server."""

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

    def test_own_zone_then_region_then_elsewhere(self):
        """Calls that leave the zone early cost latency and billed traffic."""
        router = self.new_router(initial_limit=4)
        names = [
            router.choose(builders.new_call(), 0.0).server.name
            for _ in range(12)
        ]
        self.assertEqual(["near"] * 1, names[:1])
        self.assertEqual({"near", "next"}, set(names[:8]))
        self.assertEqual({"far"}, set(names[8:]))

    def test_cap_on_traffic_across_regions(self):
        """A flood must not fill the slow links between regions."""
        router = self.new_router(initial_limit=4, region_bytes_per_s=1000.0)
        names = [
            router.choose(builders.new_call(size_bytes=800), 0.0).server.name
            for _ in range(12)
        ]
        self.assertEqual(2, names.count("far"))

    def test_cap_refills(self):
        """A cap that never refills would cut a region off for good."""
        router = builders.new_router(
            [builders.new_server("far", "z9", "r9")], region_bytes_per_s=100.0
        )
        builders.run(router, 0.0, size_bytes=200)
        self.assertRaises(
            routing.NoServerError, builders.run, router, 0.0, size_bytes=200
        )
        self.assertEqual("far", builders.run(router, 2.0, size_bytes=200))

    def test_capacity_counts_other_regions_in_part(self):
        """Full counting would admit work that only other regions can run."""
        router = self.new_router(initial_limit=10)
        self.assertEqual(22, router.capacity("lm", 0.0))


class LimitTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(strategies.integers(0, 10**6))
    def test_no_limit_is_exceeded_while_another_server_has_room(self, seed):
        """A server past its limit queues while others idle."""
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

    def test_reported_load_is_corrected_by_own_calls(self):
        """A lagging report alone sends every call to the same server."""
        router = builders.new_router(["a", "b"], initial_limit=20)
        for name, load in (("a", 0), ("b", 4)):
            router.take_report(builders.new_server(name), load, 0, 0.0)
        names = [
            router.choose(builders.new_call(), 0.0).server.name
            for _ in range(8)
        ]
        self.assertEqual(6, names.count("a"))

    def test_old_report_fades(self):
        """Load that is long gone must not keep work away."""
        router = builders.new_router(["a", "b"])
        router.take_report(builders.new_server("a"), 7, 0, 0.0)
        names = {builders.run(router, 60.0 + i) for i in range(20)}
        self.assertEqual({"a", "b"}, names)

    def test_capacity_of_a_pool_that_is_down_lets_probes_pass(self):
        """With capacity 0 no call would ever find the pool back up."""
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
    def test_leaving_server_gets_no_call(self):
        """New work at a leaving server is interrupted."""
        router = builders.new_router(["a", "b"])
        router.mark_leaving("a", 0.0)
        live = [builders.new_server("a"), builders.new_server("b")]
        router.replace_servers(live, 1.0)
        names = {builders.run(router, 1.0) for _ in range(20)}
        self.assertEqual({"b"}, names)

    def test_comes_back_after_it_was_absent_or_under_a_new_address(self):
        """A replaced server must be used again."""
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
        """A list that lags must not bring a leaving server back."""
        router = builders.new_router(["a"])
        router.replace_servers([], 1.0, [builders.new_server("a")])
        router.replace_servers([builders.new_server("a")], 2.0)
        self.assertRaises(
            routing.NoServerError, router.choose, builders.new_call(), 2.0
        )

    def test_late_word_of_the_old_instance(self):
        """An old answer must not take out the new instance."""
        router = builders.new_router(["a"])
        router.replace_servers([builders.new_server("a", address="new:1")], 1.0)
        router.mark_leaving("a", 1.0, "a:1")
        self.assertEqual("a", builders.run(router, 1.0))

    def test_server_that_left_the_list_with_calls_in_flight(self):
        """Late ends of its calls must not make the new count negative."""
        router = builders.new_router(["a"])
        choice = router.choose(builders.new_call(), 0.0)
        router.replace_servers([], 1.0)
        router.replace_servers([builders.new_server("a")], 2.0)
        router.observe(choice, routing.Outcome.OK, -1, 3.0)
        self.assertEqual(0, router.status(3.0)["lm"]["a"]["in_flight"])


class AloneTest(testtools.TestCase):
    def test_suspect_shares_its_server_with_no_call(self):
        """A call beside a crashing one would crash with it."""
        router = builders.new_router(["a", "b", "c"])
        alone = router.choose(builders.new_call(is_alone=True), 0.0)
        others = {builders.run(router, 0.0) for _ in range(30)}
        self.assertNotIn(alone.server.name, others)
        router.observe(alone, routing.Outcome.OK, -1, 1.0)
        others = {builders.run(router, 1.0) for _ in range(30)}
        self.assertIn(alone.server.name, others)

    def test_suspect_waits_until_a_server_is_drained(self):
        """Without a drain a suspect starves in a busy pool."""
        router = builders.new_router(["a", "b"])
        busy = [router.choose(builders.new_call(), 0.0) for _ in range(6)]
        call = builders.new_call(is_alone=True)
        exc = self.assertRaises(routing.NoServerError, router.choose, call, 0.0)
        self.assertTrue(exc.is_waiting)
        drained = min(
            collections.Counter(c.server.name for c in busy).items(),
            key=lambda item: item[1],
        )[0]
        for choice in busy:
            if choice.server.name == drained:
                router.observe(choice, routing.Outcome.OK, -1, 0.1)
        self.assertEqual(drained, router.choose(call, 0.2).server.name)

    def test_only_server_of_a_pool(self):
        """Other calls must wait for a suspect, not fail, and then go on."""
        router = builders.new_router(["a"])
        alone = router.choose(builders.new_call(is_alone=True), 0.0)
        exc = self.assertRaises(
            routing.NoServerError, router.choose, builders.new_call(), 0.0
        )
        self.assertTrue(exc.is_waiting)
        router.observe(alone, routing.Outcome.CANCELLED, -1, 0.1)
        self.assertEqual("a", builders.run(router, 0.2))

    def test_suspects_that_share_a_server_are_not_alone(self):
        """Its crash must not block those that were only beside the culprit.

        With all servers taken out, calls that must run alone may meet at one.
        """
        router = builders.new_router(["a"])
        builders.run(router, 0.0, routing.Outcome.UNREACHABLE)
        first, second = (
            router.choose(builders.new_call(is_alone=True), 9.0)
            for _ in range(2)
        )
        self.assertEqual((False, False), (first.was_alone, second.was_alone))
        for choice in (first, second):
            router.observe(choice, routing.Outcome.OK, -1, 10.0)
        third = router.choose(builders.new_call(is_alone=True), 11.0)
        self.assertTrue(third.was_alone)


class PolicyTest(testtools.TestCase):
    def test_every_policy_spreads_calls(self):
        """A baseline that is broken makes every comparison worthless."""
        for policy in ("scored", "least_in_flight", "round_robin"):
            router = builders.new_router(["a", "b", "c"], policy=policy)
            counts = collections.Counter(
                router.choose(builders.new_call(), 0.0).server.name
                for _ in range(18)
            )
            self.assertEqual({"a": 6, "b": 6, "c": 6}, counts, policy)

    def test_server_that_has_just_crashed_runs_no_suspect(self):
        """Guards against an innocent stream refused beside a crash.

        A process that crashes resets connections until it has ended. A stream
        that went on alone at the engine that the culprit had just crashed met
        such a reset, which looked like its own second crash
        (refused_fingerprint after 7 and 17 of 60 tokens).
        """
        router = builders.new_router(["a", "b"])
        names = set()
        busy = [router.choose(builders.new_call(), 0.0) for _ in range(2)]
        for choice in busy:
            names.add(choice.server.name)
        self.assertEqual({"a", "b"}, names)
        router.observe(busy[0], routing.Outcome.OK, -1, 0.5)
        culprit = router.choose(builders.new_call(is_alone=True), 0.6)
        self.assertTrue(culprit.was_alone)
        router.observe(culprit, routing.Outcome.CRASHED, -1, 0.7)
        self.assertRaises(
            routing.NoServerError,
            router.choose,
            builders.new_call(is_alone=True),
            0.72,
        )
        router.observe(busy[1], routing.Outcome.OK, -1, 0.8)
        innocent = router.choose(builders.new_call(is_alone=True), 0.82)
        self.assertEqual(busy[1].server.name, innocent.server.name)

    def test_last_resort_that_has_just_crashed_blocks_nobody(self):
        """Guards against the same reset where only that server is left."""
        router = builders.new_router(["a"])
        refused = router.choose(builders.new_call(), 0.0)
        router.observe(refused, routing.Outcome.UNREACHABLE, -1, 0.0)
        culprit = router.choose(builders.new_call(is_alone=True), 1.1)
        router.observe(culprit, routing.Outcome.CRASHED, -1, 1.2)
        self.assertTrue(culprit.was_alone)
        innocent = router.choose(builders.new_call(is_alone=True), 1.25)
        router.observe(innocent, routing.Outcome.CRASHED, -1, 1.26)
        self.assertFalse(innocent.was_alone)


class NoticeTest(testtools.TestCase):
    def test_server_that_wants_no_work_is_not_chosen(self):
        """Guards against sends to a server that asked to be left alone."""
        router = builders.new_router(["a", "b"])
        router.availability.note(("a", "a:1"), False, 3.0, 0.0)
        names = {builders.run(router, 0.1 * n) for n in range(1, 20)}
        self.assertEqual({"b"}, names)

    def test_pool_that_wants_no_work_is_refused_with_its_time(self):
        """Guards against requests that wait blindly, or come back too soon."""
        router = builders.new_router(["a", "b"])
        router.availability.note(("a", "a:1"), False, 3.0, 0.0)
        router.availability.note(("b", "b:1"), True, 0.0, 0.0)
        exc = self.assertRaises(
            routing.NoServerError, router.choose, builders.new_call(), 1.0
        )
        self.assertAlmostEqual(2.0, exc.retry_after_s)
