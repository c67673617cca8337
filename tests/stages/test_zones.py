"""Tests of the choice of an availability zone for pieces."""

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

    def test_unreported_zone_costs_at_least_a_call(self):
        """Guards against preferring zones without a report to the local zone.

        A reported wait includes at least one call, so zones without a report
        seemed idle. With many VMs that each submit a group per second, half of
        all groups crossed regions.
        """
        self.waits.record("p", "ctg", 0, IDLE_S, IDLE_S + 0.05, 0.0)
        self.assertEqual("ctg", choose(self.waits, now=0.1))

    def test_overload_spills_to_another_region(self):
        """Groups must leave a zone whose pool is overloaded."""
        for zone in ("ctg", "baq"):
            self.waits.record("p", zone, 0, IDLE_S, IDLE_S + 0.6, 0.0)
        self.assertIn(choose(self.waits), ("bog", "med"))
        self.assertEqual("ctg", choose(self.waits, now=5.0))

    def test_zone_of_the_own_region_is_preferred_to_another_region(self):
        """Transfers between regions occupy a stage server's only slot."""
        self.waits.record("p", "ctg", 0, IDLE_S, IDLE_S + 0.05, 0.0)
        self.waits.record("p", "baq", 0, IDLE_S, IDLE_S, 0.0)
        self.assertEqual("baq", choose(self.waits))

    def test_wait_of_a_flood_decays_without_new_reports(self):
        """Guards against refusals for half a minute after a flood.

        Requests are refused by the estimated wait before a gatherer is asked,
        so no report corrects the estimate (haftgarden, day scale-1, 12 s to
        34 s).
        """
        for number in range(20):
            self.waits.record("p", "ctg", 0, IDLE_S, 7.0, 0.1 * number)
        wait_s = self.waits.shortest_s("p", ["ctg"], 0, [], 9.0)
        self.assertLess(wait_s, IDLE_S + 0.3)

    def test_inputs_keep_a_group_in_their_zone(self):
        """Stages of a request must not move back and forth between zones."""
        self.waits.record("p", "ctg", 0, IDLE_S, IDLE_S + 0.01, 0.0)
        self.assertEqual("bog", choose(self.waits, near=("ctg", "bog")))

    def test_groups_are_spread_over_equal_zones(self):
        """Not all VMs may choose the same one of several equal zones."""
        counts = collections.Counter(
            choose(self.waits, ("bog", "med"), ("ctg",), f"r{n}")
            for n in range(200)
        )
        self.assertGreater(min(counts.values()), 70)

    def test_server_stays_where_a_long_shared_prompt_is_cached(self):
        """Guards against repeating a long prefill to save a transfer.

        Results are computed elsewhere while the home zone's pool is full.
        Prefilling 13,000 shared tokens (0.2 s) takes longer than transferring
        7 MB of results over a link of 10 Gbit/s.
        """
        self.assertEqual("ctg", self.waits.server_zone("ctg", "bog", 0.2))

    def test_server_of_a_short_prompt_is_in_the_zone_of_the_results(self):
        """Guards against transferring results to save a prefill of 6 ms.

        That is the time to prefill 350 shared tokens.
        """
        self.assertEqual("bog", self.waits.server_zone("ctg", "bog", 0.006))
        self.assertEqual("baq", self.waits.server_zone("ctg", "baq", 0.006))
