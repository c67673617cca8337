"""Tests of what a member tells other parts of the fleet."""

import types

import testtools

from savoryspar import conf, membership
from savoryspar.membership import model, upkeep

NOW = 1000.0


def record(name, zone="z1", state=model.State.ALIVE, start="1"):
    return membership.Record(
        f"{name}-{start}", name, "r", zone, f"{name}:{start}", 0, state
    )


def new_members(case, now, seeds=()):
    """Returns a membership that is stopped after the test."""
    settings = conf.Settings(
        {
            "membership": conf.default_section(
                "membership",
                listen_address="127.0.0.1",
                listen_port="0",
                seeds=" ".join(seeds),
                tls="no",
            ),
            "entry": conf.default_section(
                "entry", name="own", region="r", zone="z1", listen_port="1"
            ),
        }
    )
    members = membership.new_membership(settings, now, now)
    case.addCleanup(members.connector.stop)
    return members


class LinkedConnector:
    """A connector with a link to one peer.

    Attributes:
        dialled: Addresses that were dialled.
    """

    refused_at = {}

    def __init__(self, address, peer):
        self.address = address
        self.links = {peer.incarnation: types.SimpleNamespace(peer=peer)}
        self.dialled = []

    def open_addresses(self):
        linked = {link.peer.address for link in self.links.values()}
        return {self.address} | linked

    def close_idle(self, link_targets, now):
        pass

    def is_dial_limit_reached(self):
        return False

    def dial(self, address, now):
        self.dialled.append(address)


class JoinTest(testtools.TestCase):
    SEEDS = ("a:1", "b:1", "c:1")

    def dialled(self, is_seed, ticks):
        """Returns what a member linked to one seed dials in its first ticks."""
        members = new_members(self, NOW, seeds=self.SEEDS)
        peer = record("a")
        members.records.merge([peer], NOW)
        linked = LinkedConnector("b:1" if is_seed else "own:1", peer)
        self.patch(members._upkeep, "_connector", linked)
        for number in range(ticks):
            members._upkeep.tick(NOW + number * upkeep.SLOW_TICK_S, NOW)
        return linked.dialled

    def test_linked_seed_dials_other_seeds_without_a_pause(self):
        """Guards against groups of members that do not know of each other.

        Members that started together had linked in pairs. For 5 s each group
        chose gatherers of its own, placed trials of its own, and was not told
        what the other one knew.
        """
        self.assertEqual(["c:1", "c:1"], self.dialled(is_seed=True, ticks=2))

    def test_other_members_do_not_dial_every_seed(self):
        """Guards against hundreds of links to each seed at a start."""
        self.assertEqual(1, len(self.dialled(is_seed=False, ticks=2)))


class VisibleShareTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.members = new_members(self, NOW)

    def share(self, *records, now=NOW):
        self.members.records.merge(records, now)
        return self.members.visible_share(now)

    def test_dead_member_counts_until_it_restarts(self):
        """Guards against a budget that its survivors and a cut-off VM share."""
        self.assertEqual(1.0, self.share())
        self.assertEqual(1.0, self.share(record("a")))
        dead = record("a", state=model.State.DEAD)
        self.assertEqual(0.5, self.share(dead))
        self.assertEqual(1.0, self.share(record("a", start="2")))

    def test_member_that_left_does_not_count(self):
        """Guards against a part that is reserved for a VM that was stopped."""
        self.share(record("a"))
        left = record("a", state=model.State.LEFT)
        self.assertEqual(1.0, self.share(left))

    def test_zone_without_evidence_counts_as_out_of_reach(self):
        """Guards against two sides of a cut that each use a whole budget."""
        self.assertEqual(1.0, self.share(record("a", zone="z2")))
        self.assertEqual(0.5, self.share(now=NOW + 60.0))
