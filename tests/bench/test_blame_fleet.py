"""Tests of the search for bad parts over simulated fleets."""

import testtools

from savoryspar.bench import blame_fleet
from savoryspar.bench.scenarios import crashing_parts


class BlameFleetTest(testtools.TestCase):
    def test_search_holds_its_targets_in_fleets_of_any_size(self):
        """Guards against a search whose cost grows with the fleet or faults."""
        for seed in range(2, 4):
            for row in crashing_parts.crashing_parts(seed):
                self.assertTrue(row.held, row.measure)

    def test_digests_of_whole_requests_do_not_find_the_part(self):
        """Guards against a simulation that any policy would pass."""
        fleet = blame_fleet.play(9, "steady", False, 30.0, 1)
        self.assertGreater(len(fleet.crashes), 20)
        self.assertGreater(fleet.late_arrivals(), 3)
