"""Tests of what a member tells other parts of the fleet."""

import testtools

from savoryspar import conf, membership
from savoryspar.membership import model

NOW = 1000.0


def record(name, zone="z1", state=model.State.ALIVE, start="1"):
    return membership.Record(
        f"{name}-{start}", name, "r", zone, f"{name}:{start}", 0, state
    )


class VisibleShareTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        settings = conf.Settings(
            {
                "membership": conf.default_section(
                    "membership",
                    listen_address="127.0.0.1",
                    listen_port="0",
                    tls="no",
                ),
                "entry": conf.default_section(
                    "entry", name="own", region="r", zone="z1", listen_port="1"
                ),
            }
        )
        self.members = membership.new_membership(settings, NOW, NOW)
        self.addCleanup(self.members.connector.stop)

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
