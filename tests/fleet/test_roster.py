"""Tests of what is believed of backend servers and of the configuration."""

import os

import testtools

from savoryspar import fleet, log
from tests.gateway import requests


def entry(name="s1", revision=1, is_draining=False, pool="p", address="a:1"):
    return fleet.BackendEntry(
        name, pool, address, "z", 1, is_draining, 0, revision
    )


def event_log(test):
    reader, writer = os.pipe()
    test.addCleanup(os.close, reader)
    test.addCleanup(os.close, writer)
    return log.new_event_log(writer, "n")


class RosterTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.server_registry = fleet.new_server_registry(event_log(self))

    def names(self):
        return sorted(item.name for item in self.server_registry.usable())

    def test_draining_server_gets_no_work(self):
        """Guards against new work for a server that leaves."""
        self.server_registry.put(entry(), "store", 0.0)
        self.server_registry.put(
            entry(revision=2, is_draining=True), "store", 1.0
        )
        self.assertEqual([], self.names())

    def test_old_news_of_a_peer_brings_nobody_back(self):
        """Guards against a drained server that a peer's copy revives."""
        self.server_registry.put(
            entry(revision=2, is_draining=True), "store", 0.0
        )
        self.server_registry.put(entry(revision=1), "peer", 1.0)
        self.assertEqual([], self.names())
        self.server_registry.remove("s1", 5, "store", 2.0)
        self.server_registry.expire(10.0)
        self.server_registry.put(entry(revision=3), "peer", 11.0)
        self.assertEqual([], self.names())

    def test_lapsed_entry_is_a_last_resort_for_a_while(self):
        """Guards against a pool lost because entries lapsed with the store."""
        self.server_registry.put(entry("s1"), "store", 0.0)
        self.server_registry.put(entry("s2"), "store", 0.0)
        self.server_registry.remove("s1", 2, "store", 1.0)
        self.assertEqual(["s2"], self.names())
        self.server_registry.remove("s2", 3, "store", 1.0)
        self.assertEqual(["s1", "s2"], self.names())
        self.server_registry.expire(3.5)
        self.assertEqual([], self.names())

    def test_places_follow_every_change(self):
        """Guards against work for a server that the kept index still names.

        Pattern: each request asks several times among hundreds of servers.
        """

        def places():
            return {
                zone: [
                    e.name for e in self.server_registry.usable_in("p", zone)
                ]
                for zone in self.server_registry.zones_of("p")
            }

        self.assertEqual({}, places())
        self.server_registry.put(entry("s1"), "store", 0.0)
        self.server_registry.put(entry("s2"), "store", 0.0)
        self.assertEqual({"z": ["s1", "s2"]}, places())
        self.server_registry.put(entry("s1", 2, is_draining=True), "store", 1.0)
        self.assertEqual({"z": ["s2"]}, places())
        self.server_registry.remove("s2", 3, "store", 2.0)
        self.assertEqual({"z": ["s2"]}, places())
        self.server_registry.put(entry("s3", 4), "store", 2.1)
        self.assertEqual({"z": ["s3"]}, places())
        self.server_registry.put(entry("s2", 5), "store", 2.2)
        self.assertEqual({"z": ["s2", "s3"]}, places())
        self.server_registry.remove("s3", 6, "store", 3.0)
        self.server_registry.expire(9.0)
        self.assertEqual({"z": ["s2"]}, places())

    def test_entry_that_comes_back_is_sure_again(self):
        """Guards against servers dropped although they came back."""
        self.server_registry.put(entry("s1"), "store", 0.0)
        self.server_registry.remove("s1", 2, "store", 1.0)
        self.server_registry.put(entry("s1", revision=3), "store", 2.0)
        self.server_registry.expire(9.0)
        self.assertEqual(["s1"], self.names())

    def test_list_removes_what_it_lacks(self):
        """Guards against servers kept that left while the store was away."""
        self.server_registry.put(entry("s1"), "store", 0.0)
        self.server_registry.replace([entry("s2", revision=4)], 9, "store", 1.0)
        self.assertEqual(["s2"], self.names())


class HolderTest(testtools.TestCase):
    def configuration(self, version, *routes):
        limits = fleet.CallerLimits(1, 1, 1.0, 1.0)
        return fleet.Configuration(version, routes, {}, {}, True, limits)

    def test_configuration_never_goes_back(self):
        """Guards against a stale peer's configuration put in force."""
        holder = fleet.new_holder(event_log(self))
        self.assertTrue(holder.offer(self.configuration(7), b"7", "s", 0.0))
        self.assertFalse(holder.offer(self.configuration(5), b"5", "p", 1.0))
        self.assertEqual(7, holder.version)

    def test_longest_prefix_wins(self):
        """Guards against a request sent to the service of a shorter prefix."""
        short = requests.route(name="short", prefix="/a/")
        long = requests.route(name="long", prefix="/a/b/")
        current = self.configuration(1, short, long)
        self.assertIs(long, current.find_route("h.example", "/a/b/c"))
        self.assertIs(short, current.find_route("h.example", "/a/bc"))
        self.assertIsNone(current.find_route("other", "/a/b/c"))

    def test_rank_of_the_workspace_goes_before_that_of_the_route(self):
        """Guards against an urgent workspace behind another one's routes."""
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
