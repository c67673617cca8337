"""Tests of the topology of links between members."""

import testtools

from savoryspar.membership import topology

RING = topology.Ring()


def reached(members, hops):
    seen = {members[0]}
    for _ in range(hops):
        seen |= {
            neighbour
            for member in seen
            for neighbour in topology.zone_neighbours(RING, member, members, 0)
        }
    return seen


class RingTest(testtools.TestCase):
    def test_links_are_symmetric(self):
        """Guards against links that are opened and closed in a loop.

        This happens if only one end keeps a link and the other closes it as
        idle.
        """
        for size in range(1, 60):
            members = [f"m{number:02}" for number in range(size)]
            neighbours_by_member = {
                member: topology.zone_neighbours(RING, member, members, 0)
                for member in members
            }
            for member, neighbours in neighbours_by_member.items():
                for other in neighbours:
                    self.assertIn(member, neighbours_by_member[other])

    def test_every_member_is_reached_in_the_stated_hops(self):
        """Guards against evidence that exceeds its age limit on the way.

        The limit is derived from the number of hops.
        """
        for size in range(2, 60):
            members = [f"m{number:02}" for number in range(size)]
            hops = max(1, topology.zone_hops(size))
            self.assertEqual(size, len(reached(members, hops)))

    def test_links_do_not_grow_with_the_zone(self):
        """Guards against traffic per member that grows with the zone."""
        members = [f"m{number:03}" for number in range(380)]
        links = topology.zone_neighbours(RING, members[7], members, 0)
        self.assertEqual(4, len(links))


class RelayTest(testtools.TestCase):
    def test_relay_links_are_symmetric(self):
        """Guards against one-sided links if zones differ in their relays."""
        zones = {
            f"z{number}": [f"z{number}m{i}" for i in range(1 + number % 3)]
            for number in range(8)
        }
        neighbours_by_member = {
            member: topology.relay_neighbours(member, zone, zones)
            for zone, members in zones.items()
            for member in members
        }
        self.assertTrue(any(neighbours_by_member.values()))
        for member, neighbours in neighbours_by_member.items():
            for other in neighbours:
                self.assertIn(member, neighbours_by_member[other])

    def test_two_relays_per_zone(self):
        """Guards against more relays, which cost traffic between regions."""
        members = [f"m{number}" for number in range(9)]
        self.assertEqual(2, len(topology.relays("z", members)))
