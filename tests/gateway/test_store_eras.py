"""Tests of what a VM believes of peers that know another era of the store."""

import time

import testtools

from savoryspar import decoding, fleet, platform
from savoryspar.gateway import fleet_watch, prefix_state, watchers
from tests.gateway import event_logs, test_fleet_watch

ERA = 5
PREFIXES = (platform.CONFIGURATION_PREFIX, platform.SERVER_PREFIX)


def row(name, revision):
    return test_fleet_watch.ListenerTest.row(None, name, revision)


def entry(name, revision):
    return fleet.BackendEntry(
        name, "p", "127.0.0.1:1", "z", 1, False, 0, revision
    )


class PeersOfOtherErasTest(testtools.TestCase):
    """A VM that has read the store in an era, and messages of peers."""

    def setUp(self):
        super().setUp()
        events = event_logs.new_event_log(self)
        self.members = test_fleet_watch.FakeMembers(test_fleet_watch.MANY)
        self.registry = fleet.new_server_registry(events)
        self.watch = fleet_watch.FleetWatch(
            "store:1",
            fleet.new_holder(events),
            self.registry,
            self.members,
            events,
            lambda now: None,
            time.monotonic,
            test_fleet_watch.BOUNDS,
        )
        self.state = self.watch.states[platform.SERVER_PREFIX]
        for prefix, state in self.watch.states.items():
            items = [platform.Item(*row("s1", 8))] * (state is self.state)
            self.watch.apply_all(prefix, platform.Snapshot(items, 10, era=ERA))
            state.record_read(10, time.monotonic())

    def receive(self, era, since, until, rows):
        body = [platform.SERVER_PREFIX, since, until, rows]
        if era:
            kind, body = fleet_watch.ERA_CHANGES_KIND, [era, *body]
        else:
            kind = fleet_watch.CHANGES_KIND
        self.members.handlers[kind]("i1", body)

    def names(self):
        return sorted(e.name for e in self.registry.entries())

    def reply(self, eras, revision, servers, removed=()):
        body = {
            "document": b"",
            "servers": [platform.encode_peer_entry(e) for e in servers],
            "removed": [*removed],
            "revisions": dict.fromkeys(PREFIXES, revision),
        }
        if eras:
            body["eras"] = dict.fromkeys(PREFIXES, eras)
        self.watch._apply_peer_state(body, "peer")

    def test_changes_of_the_era_are_applied_and_relayed(self):
        """Guards against listeners that read each change themselves."""
        self.receive(ERA, 10, 12, [row("s2", 12)])
        self.assertEqual(["s1", "s2"], self.names())
        ((body, _),) = self.members.sent
        self.assertEqual([ERA, platform.SERVER_PREFIX, 10, 12], body[:4])

    def test_late_changes_of_an_earlier_era_are_ignored(self):
        """Guards against a lost change, and a removal that it undoes."""
        for era in (0, ERA - 1):
            self.receive(era, 9, 300, [row("s2", 300), row("s1", 299)])
        self.assertEqual(["s1"], self.names())
        self.assertEqual((ERA, 10), (self.state.era, self.state.applied))
        self.assertFalse(self.state.is_behind)
        self.assertEqual([], self.members.sent)

    def test_changes_of_a_later_era_are_read(self):
        """Guards against changes applied to the contents of another era."""
        self.receive(ERA + 1, 4, 6, [row("s1", 6), row("s2", 5)])
        self.assertEqual(["s1"], self.names())
        self.assertTrue(self.state.is_behind)
        read = platform.Snapshot([platform.Item(*row("s2", 5))], 6, era=ERA + 1)
        self.watch.apply_all(platform.SERVER_PREFIX, read)
        self.state.record_applied(6)
        self.assertFalse(self.state.is_behind)

    def test_reply_of_a_peer_in_an_earlier_era_is_ignored(self):
        """Guards against servers and removals of before a loss."""
        for eras in (0, ERA - 1):
            self.reply(eras, 300, [entry("s2", 290)], [["s1", 295]])
        self.assertEqual(["s1"], self.names())
        self.assertEqual(10, self.state.applied)

    def test_reply_of_a_peer_in_a_later_era_is_applied(self):
        """Guards against a VM that the store ignores in the era before."""
        self.reply(ERA + 1, 6, [entry("s1", 3), entry("s2", 5)])
        self.assertEqual(["s1", "s2"], self.names())
        self.assertEqual((ERA + 1, 6), (self.state.era, self.state.applied))

    def test_malformed_reply_begins_no_era(self):
        """Guards against servers that count as lost for a malformed entry."""
        body = {
            "document": b"",
            "servers": [["s1"]],
            "removed": [],
            "revisions": dict.fromkeys(PREFIXES, 6),
            "eras": dict.fromkeys(PREFIXES, ERA + 1),
        }
        self.watch._apply_peer_state(body, "peer")
        self.assertEqual((ERA, 10), (self.state.era, self.state.applied))
        self.assertEqual(["s1"], self.names())

    def test_era_that_is_out_of_range_is_ignored(self):
        """Guards against a number that heartbeats cannot carry."""
        era = platform.MAX_ERA + 1
        for told in (
            lambda: self.receive(era, 4, 6, []),
            lambda: self.reply(era, 6, [entry("s2", 5)]),
        ):
            self.assertRaises(decoding.DecodingError, told)
        self.assertFalse(self.state.is_behind)
        self.assertEqual(ERA, self.state.era)

    def test_peer_without_eras_starts_a_vm(self):
        """Guards against a roll-out in which new VMs cannot start."""
        self.state.era = self.state.applied = 0
        self.watch.states[platform.CONFIGURATION_PREFIX].era = 0
        self.reply(0, 300, [entry("s2", 290)])
        self.assertEqual(300, self.state.applied)
        self.assertIn("s2", self.names())


class HeartbeatErasTest(testtools.TestCase):
    """Heartbeats of peers that know another era."""

    def merge(self, era, own_era):
        """Returns what a VM learns: the changes, and when of a contact."""
        sender = watchers.new_watcher_election("a", PREFIXES, 0.0)
        sender.record_contact(9.0)
        receiver = watchers.new_watcher_election("b", PREFIXES, 0.0)
        told = receiver.merge_state(
            *sender.encode_state(dict.fromkeys(PREFIXES, (era, 7)), 9.0),
            dict.fromkeys(PREFIXES, own_era),
            20.0,
        )
        return told[platform.SERVER_PREFIX], receiver.contact_at

    def test_contact_of_an_earlier_era_is_not_believed(self):
        """Guards against listeners of VMs that do not follow the store."""
        for era, own_era, contact_at in (
            (ERA, ERA, 20.0),
            (ERA + 1, ERA, 20.0),
            (ERA - 1, ERA, 0.0),
            (0, ERA, 0.0),
            (0, 0, 20.0),
        ):
            told, at = self.merge(era, own_era)
            self.assertEqual((era, 7), told)
            self.assertAlmostEqual(contact_at, at, places=3)

    def test_heartbeat_without_eras_has_the_earlier_format(self):
        """Guards against VMs of earlier versions that do not understand it."""
        sender = watchers.new_watcher_election("a", PREFIXES, 0.0)
        first, rest = sender.encode_state(dict.fromkeys(PREFIXES, (0, 7)), 9.0)
        self.assertEqual((7, 10), (first, len(rest)))

    def test_own_contact_does_not_end_the_watch_of_a_lone_vm(self):
        """Guards against pauses in which a VM beside earlier ones is deaf."""
        vm = watchers.new_watcher_election("zz", PREFIXES, 0.0)
        members = test_fleet_watch.FakeMembers(
            test_fleet_watch.MANY
        ).all_members(0.0)
        vm._own_incarnation = "own"
        self.assertFalse(vm.must_watch(members, 2.0))
        vm.record_contact(29.0)
        self.assertTrue(vm.must_watch(members, 30.0))
        vm.record_contact(29.5, 1)
        self.assertFalse(vm.must_watch(members, 30.0))


class PrefixStateErasTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.state = prefix_state.new_prefix_state("servers/", 2.5)
        self.state.begin_era(ERA)
        self.state.record_applied(300)

    def test_later_era_is_behind_whatever_its_revision(self):
        """Guards against a change that is ignored for its lower revision."""
        self.state.record_told(12, "a", 1.0, ERA + 1)
        self.assertTrue(self.state.is_behind)
        self.assertTrue(self.state.begin_era(ERA + 1))
        self.state.record_applied(12)
        self.assertFalse(self.state.is_behind)
        self.assertEqual(12, self.state.newest_change)

    def test_earlier_era_is_never_behind(self):
        """Guards against reads for what was lost."""
        self.state.record_told(900, "a", 1.0, ERA - 1)
        self.assertFalse(self.state.is_behind)
        self.assertFalse(self.state.begin_era(ERA - 1))
        self.assertEqual((ERA, 300), (self.state.era, self.state.applied))

    def test_era_that_the_store_does_not_have_is_refuted(self):
        """Guards against endless reads for the wrong era of a peer."""
        self.state.record_told(5, "a", 1.0, 99)
        self.state.begin_read(1.5)
        self.state.record_read(301, 1.6)
        self.assertFalse(self.state.is_behind)
        self.state.record_told(5, "a", 2.0, 99)
        self.assertFalse(self.state.is_behind)
