"""Tests of the server registry and of the configuration."""

import os

import testtools

from savoryspar import fleet, log
from savoryspar.fleet import server_registry
from tests.gateway import requests


def entry(
    name="s1",
    revision=1,
    is_draining=False,
    pool="p",
    address="a:1",
    started_ms=0,
):
    return fleet.BackendEntry(
        name, pool, address, "z", 1, is_draining, started_ms, revision
    )


def event_log(test):
    reader, writer = os.pipe()
    test.addCleanup(os.close, reader)
    test.addCleanup(os.close, writer)
    return log.new_event_log(writer, "n")


class ServerRegistryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.server_registry = fleet.new_server_registry(event_log(self))

    def names(self):
        return sorted(item.name for item in self.server_registry.usable())

    def test_draining_server_gets_no_work(self):
        """Guards against new requests to a server that is leaving."""
        self.server_registry.put(entry(), "store", 0.0)
        self.server_registry.put(
            entry(revision=2, is_draining=True), "store", 1.0
        )
        self.assertEqual([], self.names())

    def test_outdated_entry_of_a_peer_is_ignored(self):
        """Guards against a drained server restored by an outdated peer."""
        self.server_registry.put(
            entry(revision=2, is_draining=True), "store", 0.0
        )
        self.server_registry.put(entry(revision=1), "peer", 1.0)
        self.assertEqual([], self.names())
        self.server_registry.remove("s1", 5, "store", 2.0)
        self.server_registry.expire(10.0)
        self.server_registry.put(entry(revision=3), "peer", 11.0)
        self.assertEqual([], self.names())

    def test_older_removal_does_not_replace_a_newer_one(self):
        """Guards against a server that an outdated peer lists again."""
        self.server_registry.put(entry(), "store", 0.0)
        self.server_registry.remove("s1", 9, "store", 1.0)
        self.server_registry.expire(5.0)
        self.server_registry.remove("s1", 5, "peer", 6.0)
        self.server_registry.put(entry(revision=7), "peer", 7.0)
        self.assertEqual([], self.names())

    def test_lapsed_server_is_a_last_resort_until_it_expires(self):
        """Guards against a pool lost when the store's entries expire."""
        self.server_registry.put(entry("s1"), "store", 0.0)
        self.server_registry.put(entry("s2"), "store", 0.0)
        self.server_registry.remove("s1", 2, "store", 1.0)
        self.assertEqual(["s2"], self.names())
        self.server_registry.remove("s2", 3, "store", 1.0)
        self.assertEqual(["s1", "s2"], self.names())
        self.server_registry.expire(3.5)
        self.assertEqual([], self.names())

    def test_index_follows_every_change(self):
        """Guards against requests to a server in an outdated index.

        The index is cached because each request looks up servers several
        times among hundreds.
        """

        def index():
            return {
                zone: [
                    e.name for e in self.server_registry.usable_in("p", zone)
                ]
                for zone in self.server_registry.zones_of("p")
            }

        self.assertEqual({}, index())
        self.server_registry.put(entry("s1"), "store", 0.0)
        self.server_registry.put(entry("s2"), "store", 0.0)
        self.assertEqual({"z": ["s1", "s2"]}, index())
        self.server_registry.put(entry("s1", 2, is_draining=True), "store", 1.0)
        self.assertEqual({"z": ["s2"]}, index())
        self.server_registry.remove("s2", 3, "store", 2.0)
        self.assertEqual({"z": ["s2"]}, index())
        self.server_registry.put(entry("s3", 4), "store", 2.1)
        self.assertEqual({"z": ["s3"]}, index())
        self.server_registry.put(entry("s2", 5), "store", 2.2)
        self.assertEqual({"z": ["s2", "s3"]}, index())
        self.server_registry.remove("s3", 6, "store", 3.0)
        self.server_registry.expire(9.0)
        self.assertEqual({"z": ["s2"]}, index())

    def test_late_list_does_not_bring_a_lapsed_server_back(self):
        """Guards against a server that is gone and gets requests for good.

        A list that the store or a peer wrote before the removal arrived after
        it, while the server was still lapsed.
        """
        self.server_registry.put(entry("s1"), "store", 0.0)
        self.server_registry.put(entry("s2"), "store", 0.0)
        self.server_registry.remove("s1", 5, "peer", 1.0)
        self.server_registry.replace(
            [entry("s1"), entry("s2")], 4, "store read", 1.1
        )
        self.assertEqual(["s2"], self.names())
        self.assertTrue(self.server_registry.is_leaving("s1"))
        self.server_registry.expire(9.0)
        self.assertEqual(["s2"], self.names())

    def test_relisted_server_does_not_expire(self):
        """Guards against servers dropped although they were listed again."""
        self.server_registry.put(entry("s1"), "store", 0.0)
        self.server_registry.remove("s1", 2, "store", 1.0)
        self.server_registry.put(entry("s1", revision=3), "store", 2.0)
        self.server_registry.expire(9.0)
        self.assertEqual(["s1"], self.names())

    def test_replace_removes_unlisted_servers(self):
        """Guards against keeping servers that left during a store outage."""
        self.server_registry.put(entry("s1"), "store", 0.0)
        self.server_registry.replace([entry("s2", revision=4)], 9, "store", 1.0)
        self.assertEqual(["s2"], self.names())


class RestoredStoreTest(testtools.TestCase):
    """The registry when the store comes back from a copy.

    Revisions of the copy are at most 100; later ones are given out again.
    """

    def setUp(self):
        super().setUp()
        self.server_registry = fleet.new_server_registry(event_log(self))

    def names(self):
        return sorted(item.name for item in self.server_registry.usable())

    def put(self, now=0.0, **fields):
        self.server_registry.put(entry(**fields), "store", now)

    def remove(self, revision, now=0.0, name="s1"):
        self.server_registry.remove(name, revision, "store", now)

    def restore(self, *entries, revision=100, now=10.0):
        self.server_registry.restore(entries, revision, "store", now)

    def test_entry_with_a_lower_revision_is_followed(self):
        """Guards against a drain ignored for the revision before the loss."""
        self.put(revision=120)
        self.restore(entry(revision=90))
        self.assertEqual(["s1"], self.names())
        self.put(revision=104, is_draining=True, now=11.0)
        self.assertEqual([], self.names())

    def test_lost_removal_holds(self):
        """Guards against a removed server that the copy lists."""
        other = entry(revision=80, name="s2")
        self.put(revision=80, name="s2")
        self.put(revision=90)
        self.remove(120, now=9.9)
        for now in (10.0, 12.0, 14.0):
            # The server is off the list, given up, and lost a second time.
            self.restore(other, entry(revision=90), now=now)
            self.assertEqual(["s2"], self.names())
            self.assertTrue(self.server_registry.is_leaving("s1"))
            self.server_registry.expire(now + 1.9)
            self.assertEqual(["s2"], self.names())
        self.put(revision=99, now=16.0)
        self.assertEqual(["s1", "s2"], self.names())

    def test_lost_removal_of_an_unknown_server_holds(self):
        """Guards against a server whose removal a peer told."""
        self.remove(120)
        self.restore(entry(revision=90, started_ms=7))
        self.assertEqual([], self.names())

    def test_server_written_since_the_loss_is_used(self):
        """Guards against a server that is ignored as it was removed once."""
        self.put(revision=90)
        self.remove(120)
        self.server_registry.expire(9.0)
        self.restore(entry(revision=121), revision=122)
        self.assertEqual(["s1"], self.names())
        self.remove(123, now=11.0)
        self.server_registry.expire(19.0)
        self.restore(revision=104, now=20.0)
        self.put(revision=105, now=21.0)
        self.assertEqual(["s1"], self.names())

    def test_server_that_stays_listed_is_used(self):
        """Guards against a server written since that is never used.

        Its revision is below that of its removal, as if it were in the copy.
        """
        self.put(revision=90)
        self.remove(120)
        self.server_registry.expire(9.0)
        self.restore(entry(revision=104), revision=105)
        for revision, now, names in ((106, 19.9, []), (107, 20.1, ["s1"])):
            self.assertEqual(
                names != [], self.server_registry.must_confirm(now)
            )
            self.server_registry.replace(
                [entry(revision=104)], revision, "store", now
            )
            self.assertEqual(names, self.names())
        self.assertFalse(self.server_registry.must_confirm(40.0))

    def test_server_that_ends_while_listed_is_not_used(self):
        """Guards against an entry of the copy that outlasts its removal."""
        for end in (
            lambda: self.remove(121, now=13.0),
            lambda: self.server_registry.replace([], 121, "store", 13.0),
        ):
            self.put(revision=90)
            self.remove(120)
            self.server_registry.expire(9.0)
            self.restore(entry(revision=90))
            end()
            self.assertFalse(self.server_registry.must_confirm(30.0))
            self.server_registry.expire(200.0)

    def test_server_started_since_the_loss_is_used(self):
        """Guards against a start taken for the entry of the copy."""
        for last in (
            lambda: self.remove(122),
            lambda: self.put(revision=122, is_draining=True, started_ms=7),
        ):
            self.put(revision=120, started_ms=7)
            last()
            self.restore(entry(revision=104, started_ms=9), revision=105)
            self.assertEqual(["s1"], self.names())
            self.restore(revision=1)
            self.server_registry.expire(13.0)
            self.server_registry.expire(500.0)

    def test_lost_drain_holds(self):
        """Guards against requests to a server that the copy lists as ready."""
        self.put(revision=90)
        self.put(revision=120, is_draining=True)
        self.restore(entry(revision=90))
        self.assertEqual([], self.names())
        self.remove(101)
        self.assertTrue(self.server_registry.is_leaving("s1"))

    def test_drain_written_since_the_loss_is_followed(self):
        """Guards against a drain taken for the entry of the copy."""
        self.put(revision=120, started_ms=7)
        self.restore(
            entry(revision=104, is_draining=True, started_ms=7), revision=105
        )
        self.assertEqual([], self.names())

    def test_drain_holds_through_two_losses(self):
        """Guards against a drain that is compared with the first copy."""
        self.put(revision=120, is_draining=True, started_ms=7)
        self.restore(entry(revision=90, started_ms=7))
        self.restore(entry(revision=95, started_ms=7), revision=98)
        self.assertEqual([], self.names())

    def test_server_with_a_lost_entry_keeps_its_requests(self):
        """Guards against a gap until servers have written their entries."""
        self.put(revision=120)
        self.put(revision=80, name="s2")
        self.restore(entry(revision=80, name="s2"))
        self.assertEqual(["s1", "s2"], self.names())
        self.assertFalse(self.server_registry.is_leaving("s1"))
        self.server_registry.replace(
            [entry(revision=80, name="s2")], 101, "store", 11.0
        )
        self.assertEqual(["s1", "s2"], self.names())
        self.put(revision=103, now=11.5)
        self.server_registry.expire(20.0)
        self.assertEqual(["s1", "s2"], self.names())

    def test_server_that_is_not_written_again_is_gone(self):
        """Guards against a lost entry that is used for good."""
        self.put(revision=120)
        self.put(revision=80, name="s2")
        self.restore(entry(revision=80, name="s2"))
        self.server_registry.expire(10.0 + server_registry.RESTORED_GRACE_S)
        self.assertEqual(["s2"], self.names())
        self.put(revision=100, now=13.0)
        self.assertEqual(["s2"], self.names())

    def test_entry_lost_by_one_copy_is_in_the_next_one(self):
        """Guards against a second loss that ends the grace of the first."""
        self.put(revision=90)
        self.restore(revision=80)
        self.restore(entry(revision=90), revision=95, now=11.0)
        self.server_registry.expire(20.0)
        self.assertEqual(["s1"], self.names())


class HolderTest(testtools.TestCase):
    def configuration(self, version, *routes):
        limits = fleet.CallerLimits(1, 1, 1.0, 1.0)
        return fleet.Configuration(version, routes, {}, {}, True, limits)

    def test_older_configuration_is_ignored(self):
        """Guards against activating the older configuration of a peer."""
        holder = fleet.new_holder(event_log(self))
        self.assertTrue(
            holder.activate_if_newer(self.configuration(7), b"7", "s", 0.0)
        )
        self.assertFalse(
            holder.activate_if_newer(self.configuration(5), b"5", "p", 1.0)
        )
        self.assertEqual(7, holder.version)

    def test_longest_prefix_wins(self):
        """Guards against routing a request by a shorter prefix."""
        short = requests.route(name="short", prefix="/a/")
        long = requests.route(name="long", prefix="/a/b/")
        current = self.configuration(1, short, long)
        self.assertIs(long, current.find_route("h.example", "/a/b/c"))
        self.assertIs(short, current.find_route("h.example", "/a/bc"))
        self.assertIsNone(current.find_route("other", "/a/b/c"))

    def test_workspace_rank_takes_precedence_over_route_rank(self):
        """Guards against requests of an urgent workspace ranked too low."""
        routes = [requests.route(rank=0), requests.route(rank=2)]
        workspaces = {
            "k1": fleet.Workspace("urgent", 1),
            "k2": fleet.Workspace("other", 2),
        }
        limits = fleet.CallerLimits(1, 1, 1.0, 1.0)
        current = fleet.Configuration(1, routes, {}, workspaces, True, limits)
        ranks = [
            current.rank(workspace, route)
            for workspace in workspaces.values()
            for route in routes
        ]
        self.assertEqual([0, 2, 3, 5], ranks)
        self.assertEqual(2, current.rank(None, routes[1]))
