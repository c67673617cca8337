"""Tests of the choice of a zone for pieces."""

import collections

import testtools

from savoryspar import stages

REGIONS = {"bog": "andina", "med": "andina", "ctg": "caribe", "baq": "caribe"}
IDLE_S = 0.16


def choose(waits, zones=tuple(REGIONS), near=("ctg",), key="k", now=0.0):
    return waits.choose("p", zones, 0, IDLE_S, near, key, now)


class ChooseTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.waits = stages.new_zone_waits(REGIONS)

    def test_zone_that_was_not_asked_is_not_faster_than_a_call(self):
        """A call of the own zone must not look slow beside unknown zones.

        Pattern: many VMs that each submit a group a second. A told wait holds
        at least a call, so unknown zones looked free and half of all groups
        crossed regions.
        """
        self.waits.note("p", "ctg", 0, IDLE_S, IDLE_S + 0.05, 0.0)
        self.assertEqual("ctg", choose(self.waits, now=0.1))

    def test_other_region_takes_what_the_own_cannot(self):
        """Work must leave a zone whose pool is overloaded."""
        for zone in ("ctg", "baq"):
            self.waits.note("p", zone, 0, IDLE_S, IDLE_S + 0.6, 0.0)
        self.assertIn(choose(self.waits), ("bog", "med"))
        self.assertEqual("ctg", choose(self.waits, now=5.0))

    def test_zone_of_the_own_region_goes_before_another_region(self):
        """Results that cross regions hold a stage server's only slot."""
        self.waits.note("p", "ctg", 0, IDLE_S, IDLE_S + 0.05, 0.0)
        self.waits.note("p", "baq", 0, IDLE_S, IDLE_S, 0.0)
        self.assertEqual("baq", choose(self.waits))

    def test_belief_of_a_flood_fades_without_new_words(self):
        """Guards against refusals for half a minute after a flood.

        Requests are refused by the believed wait before a gatherer is asked,
        so nothing corrects it (haftgarden scale-1, 12 s to 34 s).
        """
        for number in range(20):
            self.waits.note("p", "ctg", 0, IDLE_S, 7.0, 0.1 * number)
        wait_s = self.waits.shortest_s("p", ["ctg"], 0, [], 9.0)
        self.assertLess(wait_s, IDLE_S + 0.3)

    def test_inputs_keep_a_group_in_their_zone(self):
        """A chain that left its zone must not cross back and forth."""
        self.waits.note("p", "ctg", 0, IDLE_S, IDLE_S + 0.01, 0.0)
        self.assertEqual("bog", choose(self.waits, near=("ctg", "bog")))

    def test_equal_zones_share_the_groups(self):
        """All VMs must not send to the first zone in the alphabet."""
        counts = collections.Counter(
            choose(self.waits, ("bog", "med"), ("ctg",), f"r{n}")
            for n in range(200)
        )
        self.assertGreater(min(counts.values()), 70)

    def test_server_stays_where_a_long_shared_prompt_is_kept(self):
        """Pattern: results made elsewhere while the home zone's pool is full.

        Guards against 13,000 shared tokens read again (0.2 s) so that 7 MB of
        results need not cross a link of 10 Gbit/s.
        """
        self.assertEqual("ctg", self.waits.server_zone("ctg", "bog", 0.2))

    def test_server_of_a_short_prompt_goes_where_the_results_are(self):
        """Pattern: 350 shared tokens, which are read in 6 ms."""
        self.assertEqual("bog", self.waits.server_zone("ctg", "bog", 0.006))
        self.assertEqual("baq", self.waits.server_zone("ctg", "baq", 0.006))
