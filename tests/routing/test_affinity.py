"""Tests of prefix affinity."""

import collections
import random

import testtools

from savoryspar import backends, routing
from savoryspar.routing import affinity
from savoryspar.standins import prefix_cache
from tests.routing import builders


class PrefixIndexTest(testtools.TestCase):
    def new_index(self, max_entries=100):
        return affinity.new_prefix_index(max_entries)

    def test_only_leading_blocks_count(self):
        """Engines cannot reuse a cached block without the blocks before it."""
        index = self.new_index()
        index.add([1, 2, 3], "a", 0.0)
        index.add([2, 3], "b", 0.0)
        self.assertEqual(({"a": 3.0}, 3), index.match([1, 2, 3, 4]))

    def test_memory_is_bounded(self):
        """Prompts that do not recur must not grow the index without bound."""
        index = self.new_index(max_entries=50)
        for number in range(1000):
            index.add([number, number + 5000], f"s{number}", 0.0)
        self.assertEqual(50, len(index))

    def test_eviction_event_older_than_own_choice(self):
        """A delayed eviction event must not remove what a newer call stored."""
        index = self.new_index()
        index.add([1], "a", 10.0)
        index.remove([1], "a", 11.0)
        self.assertEqual({"a": 1.0}, index.match([1])[0])
        index.remove([1], "a", 20.0)
        self.assertEqual({}, index.match([1])[0])

    def test_entries_from_before_a_gap_count_half(self):
        """A possibly evicted block must not outweigh one known to be cached."""
        index = self.new_index()
        index.add([1, 2], "a", 0.0)
        index.mark_gap("a", 1.0)
        index.add([1, 2], "b", 2.0)
        self.assertEqual({"a": 1.0, "b": 2.0}, index.match([1, 2])[0])

    def test_restarted_server_holds_nothing(self):
        """The cache of a restarted server process is empty."""
        index = self.new_index()
        index.add([1], "a", 0.0)
        index.invalidate("a", 1.0)
        self.assertEqual(({}, 0), index.match([1]))

    def test_hash_chain_matches_the_engines(self):
        """Hashes that differ from the engines' would match no cache event."""
        text = "plaza " * 300
        self.assertEqual(
            [int(h, 16) for h in prefix_cache.block_hashes("m", text)],
            affinity.block_hashes("m", text),
        )


class CachedFleet:
    """Simulates servers with limited prefix caches behind several routers."""

    def __init__(self, policy, blocks, routers=1, **options):
        names = ["a", "b", "c", "d"]
        self.caches = {n: prefix_cache.PrefixCache(blocks, 1) for n in names}
        self.routers = [
            builders.new_router(names, policy=policy, **options)
            for _ in range(routers)
        ]
        self.rng = random.Random(5)
        self.hits = self.total = self.number = 0
        self.seen = dict.fromkeys(names, 0)
        self.running = collections.deque()

    def call(self, prompt, in_flight=8):
        self.number += 1
        now = self.number * 0.05
        router = self.rng.choice(self.routers)
        choice = router.choose(builders.new_call(prompt=prompt), now)
        name = choice.server.name
        blocks = prefix_cache.block_hashes("m", prompt)
        self.hits += self.caches[name].use(blocks, now)
        self.total += len(blocks)
        self.running.append((router, choice))
        if len(self.running) > in_flight:
            router, ended = self.running.popleft()
            router.observe(ended, routing.Outcome.OK, -1, now)
        if self.number % 20 == 0:
            self.read_events(name, now)
        return name

    def read_events(self, name, now):
        events = self.caches[name].events(self.seen[name], now)
        blocks = {"stored": [], "removed": []}
        for event in events["events"]:
            blocks[event["kind"]] += [int(b, 16) for b in event["blocks"]]
        report = backends.CacheReport(
            blocks["stored"], blocks["removed"], events["last"], False
        )
        self.seen[name] = events["last"]
        for router in self.routers:
            router.apply_cache_events(name, report, now)

    def hit_rate(self, documents, calls):
        for _ in range(calls):
            self.call(self.rng.choice(documents))
        self.hits = self.total = 0
        for _ in range(calls):
            self.call(self.rng.choice(documents))
        return self.hits / self.total


def new_documents(count, blocks=8):
    rng = random.Random(3)
    size = blocks * affinity.BLOCK_CHARS
    return ["".join(rng.choices("abcdef ", k=size)) for _ in range(count)]


class AffinityTest(testtools.TestCase):
    def test_hit_rate_is_twice_that_of_round_robin(self):
        """Guards against prefix affinity that does not increase cache hits."""
        documents = new_documents(12)
        shares = {
            policy: CachedFleet(policy, 32, routers=3).hit_rate(documents, 400)
            for policy in ("scored", "round_robin")
        }
        self.assertGreater(shares["scored"], 0.8, shares)
        self.assertGreater(shares["scored"], 2 * shares["round_robin"], shares)

    def test_full_caches_do_not_thrash(self):
        """More documents than fit into the caches must not evict each other."""
        documents = new_documents(24)
        fleet = CachedFleet("scored", 32, routers=3)
        fits = 4 * 32 / (24 * 8)
        self.assertGreater(fleet.hit_rate(documents, 600), 0.5 * fits)

    def test_hot_prefix_is_spread(self):
        """A hot document must not overload the server that has it cached."""
        fleet = CachedFleet("scored", 64, initial_limit=8)
        document = new_documents(1)[0]
        names = collections.Counter(
            fleet.call(document, in_flight=28) for _ in range(300)
        )
        self.assertGreater(min(names.values()), 30, names)
