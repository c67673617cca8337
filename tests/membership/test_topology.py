"""Tests of which members keep links."""

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
    def test_links_are_wanted_by_both_ends(self):
        """A link that one end closes as idle would flap for ever."""
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
        """The age limit of evidence follows from the number of hops."""
        for size in range(2, 60):
            members = [f"m{number:02}" for number in range(size)]
            hops = max(1, topology.zone_hops(size))
            self.assertEqual(size, len(reached(members, hops)))

    def test_links_do_not_grow_with_the_zone(self):
        """Traffic a member must not grow with the size of a ring."""
        members = [f"m{number:03}" for number in range(380)]
        links = topology.zone_neighbours(RING, members[7], members, 0)
        self.assertEqual(4, len(links))


class RelayTest(testtools.TestCase):
    def test_relay_links_are_wanted_by_both_ends(self):
        """A zone with one relay must not be dropped by one with two."""
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

    def test_two_relays_a_zone(self):
        """More relays would cost traffic between regions."""
        members = [f"m{number}" for number in range(9)]
        self.assertEqual(2, len(topology.relays("z", members)))
