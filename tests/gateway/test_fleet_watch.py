"""Tests of watching the store."""

import random
import time

import eventlet
import testtools

from savoryspar import fleet, membership, platform
from savoryspar.gateway import (
    fleet_watch,
    ignored,
    peer_reads,
    prefix_state,
    store_follower,
    watchers,
)
from savoryspar.platform import standin
from tests.gateway import event_logs

CHANGE_EVERY_S = 0.01
BOUNDS = fleet_watch.Bounds(2.5, 2.5)


def follow(case, watch, prefix, store):
    """Starts the threads that watch and read a store until the test ends."""
    follower = store_follower.StoreFollower(
        watch.states[prefix],
        watch,
        store,
        store,
        event_logs.new_event_log(case),
        time.monotonic,
        random.Random(1),
    )
    for loop in (follower.watch, follower.read):
        case.addCleanup(eventlet.spawn(loop).kill)


class BusyStore:
    """A store in which servers register one after the other."""

    def __init__(self):
        self.calls = 0
        self._began_at = time.monotonic()

    def close(self):
        """Does nothing, as there is no connection."""

    def read_all(self, prefix):
        del prefix
        return platform.Snapshot([], 1)

    def watch(self, prefix, after, wait_s):
        del wait_s
        self.calls += 1
        eventlet.sleep(CHANGE_EVERY_S)
        since_s = time.monotonic() - self._began_at
        newest = 1 + int(since_s / CHANGE_EVERY_S)
        return platform.Snapshot(
            [
                platform.Item(f"{prefix}s{n}", b"unreadable", n)
                for n in range(after + 1, newest + 1)
            ],
            newest,
        )


class FakeHeartbeats:
    """Heartbeats whose state callbacks are set and never called."""


class FakeMembers:
    """A membership with given peers.

    Attributes:
        sent: Messages to the neighbours, with the excluded peer.
        handlers: Handlers by message kind.
        replies: Reply and delay in seconds of each peer that replies.
    """

    incarnation = "own"

    def __init__(self, others=()):
        self.heartbeats = FakeHeartbeats()
        self.sent = []
        self.handlers = {}
        self.replies = {}
        self._all_members = tuple(
            membership.Record(name, name, "r", "z", "a")
            for name in ("own", *others)
        )

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def all_members(self, now):
        del now
        return self._all_members

    def view(self, now):
        own, *others = (
            membership.Member(record, now, 0) for record in self._all_members
        )
        return membership.View(own, tuple(others), True)

    def request(self, incarnation, kind, body, timeout_s):
        """Returns the reply given in ``replies``, after its delay."""
        del kind, body
        reply, delay_s = self.replies.get(incarnation, (None, timeout_s))
        eventlet.sleep(min(delay_s, timeout_s))
        if delay_s >= timeout_s:
            raise membership.PeerUnreachableError("no reply", "wait", True)
        return reply

    def send_to_neighbours(self, kind, body, now, exclude=""):
        del kind, now
        self.sent.append((body, exclude))


class UnchangedStore:
    """A store in which nothing changes.

    Attributes:
        calls: Names of the methods called.
        delay_s: Delay of reads, in seconds.
    """

    def __init__(self, revision=10):
        self.calls = []
        self.delay_s = 0.0
        self.revision = revision
        self.items = []

    def close(self):
        """Does nothing, as there is no connection."""

    def get(self, key):
        del key
        self.calls.append("get")
        return platform.Snapshot([*self.items], self.revision)

    def read_all(self, prefix):
        del prefix
        self.calls.append("read_all")
        eventlet.sleep(self.delay_s)
        return platform.Snapshot([*self.items], self.revision)

    def watch(self, prefix, after, wait_s):
        del prefix, after
        self.calls.append("watch")
        eventlet.sleep(wait_s)
        return platform.Snapshot([], self.revision)


class NextRevisionTest(testtools.TestCase):
    def test_empty_answer_does_not_advance(self):
        """Guards against changes skipped by a watch that did not report them.

        All VMs missed a configuration for 9 s after the store had dropped its
        history (haftgarden, store-away-and-replaced.toml --vary --seed
        192870949659).
        """
        empty = platform.Snapshot([], 90)
        self.assertEqual(68, store_follower.next_revision(68, empty))

    def test_changes_are_requested_once(self):
        """Guards against watches that return the same changes repeatedly."""
        item = platform.Item("op/config", b"{}", 70)
        changes = platform.Snapshot([item], 72)
        self.assertEqual(72, store_follower.next_revision(68, changes))


class ChangeBatchTest(testtools.TestCase):
    def test_simultaneous_changes_are_read_together(self):
        """Guards against a call to the store for each server that registers.

        It occurs when a fleet starts and servers register every few
        milliseconds.
        """
        events = event_logs.new_event_log(self)
        server_registry = fleet.new_server_registry(events)
        watch = fleet_watch.FleetWatch(
            "store:1",
            fleet.new_holder(events),
            server_registry,
            FakeMembers(),
            events,
            lambda now: None,
            time.monotonic,
            BOUNDS,
        )
        self.patch(watch._election, "_settled_at", 0.0)
        store = BusyStore()
        follow(self, watch, platform.SERVER_PREFIX, store)
        eventlet.sleep(1.0)
        self.assertGreaterEqual(watch.changes(), 20)
        self.assertLessEqual(store.calls, 5)


MANY = [f"i{number}" for number in range(30)]
PREFIXES = (platform.CONFIGURATION_PREFIX, platform.SERVER_PREFIX)


def all_members(*names, leaving=(), suspects=()):
    """Returns members of one zone; the first is this process."""
    records = (
        membership.Record(name, name, "r", "z", "a", is_leaving=name in leaving)
        for name in names
    )
    return tuple(
        record.changed(state=membership.State.SUSPECT)
        if record.name in suspects
        else record
        for record in records
    )


class WatcherElectionTest(testtools.TestCase):
    """Guards against zones of 33 VMs in which every VM watches the store."""

    def elected(self, names, leaving=(), at=watchers.SETTLE_S, suspects=()):
        return [
            name
            for name in names
            if watchers.new_watcher_election(name, PREFIXES, 0.0).must_watch(
                all_members(
                    name,
                    *(n for n in names if n != name),
                    leaving=leaving,
                    suspects={*suspects} - {name},
                ),
                at,
            )
        ]

    def test_two_of_a_large_zone_watch(self):
        """Guards against calls to the store that grow with the fleet."""
        self.assertEqual(watchers.WATCHERS_PER_ZONE, len(self.elected(MANY)))

    def test_nobody_watches_before_peers_are_discovered(self):
        """Guards against every VM of a fleet watching after its start.

        It occurs when all VMs restart together after a power failure.
        """
        alone = all_members("own")
        watching = watchers.new_watcher_election("own", PREFIXES, 0.0)
        self.assertFalse(watching.must_watch(alone, 0.1))
        self.assertTrue(watching.must_watch(alone, watchers.SETTLE_S))

    def test_all_of_a_small_zone_watch(self):
        """Guards against a small zone that depends on a single watcher."""
        self.assertEqual(MANY[:3], self.elected(MANY[:3]))

    def test_leaving_watcher_is_replaced(self):
        """Guards against a zone without watchers after a planned stop."""
        first, second = self.elected(MANY)
        elected = self.elected(MANY, leaving=(first,))
        self.assertNotIn(first, elected)
        self.assertIn(second, elected)
        self.assertEqual(2, len(elected))

    def test_suspected_watchers_are_replaced(self):
        """Guards against changes missed until frozen watchers count as dead."""
        suspects = self.elected(MANY)
        elected = self.elected(MANY, suspects=suspects)
        # Those that are suspected wrongly go on watching.
        self.assertEqual(4, len(elected))
        self.assertLess({*suspects}, {*elected})

    def test_all_watch_without_a_recent_contact(self):
        """Guards against changes missed while the watchers are cut off."""
        limit_s = watchers.contact_limit_s(len(MANY))
        self.assertEqual(2, len(self.elected(MANY, at=limit_s - 0.1)))
        self.assertEqual(MANY, self.elected(MANY, at=limit_s + 0.1))

    def test_heartbeats_carry_contact_and_revisions(self):
        """Guards against a VM that never detects a change that it missed."""
        sender = watchers.new_watcher_election("a", PREFIXES, 0.0)
        sender.record_contact(8.0)
        receiver = watchers.new_watcher_election("b", PREFIXES, 0.0)
        for era in (0, 5):
            known = {PREFIXES[0]: (era, 7), PREFIXES[1]: (era, 2**40)}
            told = receiver.merge_state(
                *sender.encode_state(known, 9.0), {}, 20.0
            )
            self.assertEqual(known, told)
            self.assertAlmostEqual(19.0, receiver.contact_at, places=3)

    def test_relays_do_not_keep_a_contact_recent(self):
        """Guards against VMs that permanently keep each other from watching.

        The watchers have lost the store. Each VM receives the age of the last
        contact late, so it computes too recent a time for the contact.
        """
        known = dict.fromkeys(PREFIXES, (0, 1))
        vms = [watchers.new_watcher_election(n, PREFIXES, 0.0) for n in "ab"]
        for second in range(1, 40):
            for one, other in (vms, vms[::-1]):
                other.merge_state(
                    *one.encode_state(known, second), {}, second + 0.98
                )
        limit_s = watchers.contact_limit_s(len(MANY))
        for vm in vms:
            self.assertGreater(40.0 - vm.contact_at, limit_s)

    def test_malformed_heartbeat_state_is_ignored(self):
        """Guards against malformed state in the heartbeat of a peer."""
        receiver = watchers.new_watcher_election("b", PREFIXES, 0.0)
        for size in (0, 1, 8, 9, 11, 17, 19):
            told = receiver.merge_state(5, b"x" * size, {}, 20.0)
            self.assertEqual({}, told)
            self.assertEqual(0.0, receiver.contact_at)


class RecordedEvents:
    """An event log that keeps its lines."""

    def __init__(self):
        self.lines = []

    def state_change(self, event, now, **fields):
        del now
        self.lines.append((event, fields))


class IgnoredEntriesTest(testtools.TestCase):
    def test_entry_is_logged_once_for_each_revision(self):
        """Guards against a line for each read of a malformed entry."""
        events = RecordedEvents()
        entries = ignored.new_ignored_entries(events)
        for revision in (5, 5, 5, 6, 6):
            entries.record("k", revision, 9, "store", "x", 1.0)
        self.assertEqual([5, 6], [f["revision"] for _, f in events.lines])
        self.assertEqual(2, entries.count)

    def test_texts_of_lines_are_bounded(self):
        """Guards against log lines of a megabyte."""
        events = RecordedEvents()
        entries = ignored.new_ignored_entries(events)
        long = "x" * (1 << 20)
        entries.record(long, 5, 9, "store", long, 1.0)
        self.assertLess(len(str(events.lines)), 1000)


class PrefixStateTest(testtools.TestCase):
    def test_time_counts_from_the_first_missing_change(self):
        """Guards against a delay that each further change hides."""
        state = prefix_state.new_prefix_state("op/", 2.5)
        state.record_applied(10)
        state.record_told(9, "a", 0.0)
        self.assertEqual({}, state.describe_told(1.0))
        state.record_told(12, "b", 1.0)
        state.record_told(14, "c", 2.0)
        self.assertEqual(
            {
                "era": 0,
                "applied": 10,
                "told_era": 0,
                "told": 14,
                "told_by": "c",
                "told_s_ago": 2.5,
            },
            state.describe_told(3.5),
        )
        state.record_applied(14)
        self.assertEqual({}, state.describe_told(4.0))

    def test_watch_may_deliver_a_change_before_it_is_read(self):
        """Guards against a read by each VM for each change."""
        state = self.new_watching_state()
        state.record_told(12, "a", 10.0)
        self.assertEqual(
            10.0 + prefix_state.BEHIND_GRACE_S, state.read_due_at()
        )
        state.record_applied(12)
        self.assertEqual(
            10.0 + state.watch_wait_s + prefix_state.OVERDUE_S,
            state.read_due_at(),
        )

    def test_overdue_watch_is_replaced_by_a_read_within_the_bound(self):
        """Guards against a change that an open watch hides."""
        state = self.new_watching_state()
        patience_s = prefix_state.READ_PATIENCE_S
        self.assertLess(state.read_due_at() + patience_s - 10.0, state.bound_s)

    def test_revision_that_the_store_does_not_have_is_read_once(self):
        """Guards against endless reads for a revision that does not exist."""
        state = self.new_watching_state()
        state.record_told(99, "a", 10.0)
        state.begin_read(11.0)
        state.record_read(20, 11.1)
        self.assertIsNone(state.behind_since)

    def test_change_that_was_told_during_a_read_is_read_again(self):
        """Guards against a read that began too early for a change."""
        state = self.new_watching_state()
        state.begin_read(9.9)
        state.record_told(99, "a", 10.0)
        state.record_read(20, 11.1)
        self.assertTrue(state.is_behind)

    def test_change_told_during_the_read_of_another_is_read(self):
        """Guards against a change that is forgotten.

        A read that began after the first missing change was taken to have all
        changes that were told until its answer.
        """
        state = self.new_watching_state()
        state.record_told(12, "a", 11.0)
        state.begin_read(11.5)
        state.record_told(13, "a", 11.6)
        state.record_read(12, 11.7)
        self.assertTrue(state.is_behind)
        self.assertLess(state.read_due_at(), 12.0)

    def test_silent_store_is_read_again_within_the_bound(self):
        """Guards against a pause after a read that already took long."""
        state = self.new_watching_state()
        for at in range(10):
            state.begin_read(at)
            state.record_failed_read(1.0, at + 2.0)
        self.assertEqual(at + 2.0, state.read_due_at())

    def new_watching_state(self):
        state = prefix_state.new_prefix_state("op/", 2.5)
        state.begin_read(0.0)
        state.record_read(10, 0.0)
        state.set_watching(True, 10.0)
        return state


class PeerReadsTest(testtools.TestCase):
    """Tests of a VM that has not been answered by the store."""

    def setUp(self):
        super().setUp()
        self.members = FakeMembers(["a", "b", "c"])
        self.state = prefix_state.new_prefix_state("op/", 2.5)
        self.applied = []
        self.reads = peer_reads.PeerReads(
            [self.state],
            self.members,
            lambda: max([reply["v"] for reply, _ in self.applied], default=0),
            lambda reply, name: self.applied.append((reply, name)),
            event_logs.new_event_log(self),
            time.monotonic,
        )
        self.state.begin_read(time.monotonic() - 1.0)

    def ask(self, wait_s):
        self.reads.begin_if_due(time.monotonic())
        eventlet.sleep(wait_s)

    def test_several_peers_are_asked_before_the_start(self):
        """Guards against a start by the version of a peer that is behind."""
        self.members.replies = {"a": ({"v": 5}, 0.0), "b": ({"v": 7}, 0.2)}
        self.ask(0.1)
        self.assertEqual([], self.applied)
        eventlet.sleep(peer_reads.PEER_TIMEOUT_S)
        self.assertEqual(
            [({"v": 5}, "a"), ({"v": 7}, "b")], sorted(self.applied, key=str)
        )
        self.assertTrue(self.reads.has_started)

    def test_reply_of_a_single_peer_does_not_suffice(self):
        """Guards against a start by the only peer that replied."""
        self.members.replies = {"a": ({"v": 5}, 0.0)}
        self.ask(0.1 + peer_reads.PEER_TIMEOUT_S)
        self.assertFalse(self.reads.has_started)
        self.assertEqual([], self.applied)

    def test_replies_of_starting_peers_do_not_suffice(self):
        """Guards against a start by the next peer alone that replies.

        The replies of peers without a configuration counted as a start.
        """
        self.members.replies = {"a": ({"v": 0}, 0.0), "b": ({"v": 0}, 0.0)}
        self.ask(0.1 + peer_reads.PEER_TIMEOUT_S)
        self.assertFalse(self.reads.has_started)
        self.members.replies = {"c": ({"v": 5}, 0.0)}
        self.ask(0.1 + peer_reads.PEER_TIMEOUT_S)
        self.assertEqual(2, self.reads.rounds)
        self.assertNotIn(({"v": 5}, "c"), self.applied)

    def test_malformed_configuration_of_a_peer_is_an_error(self):
        """Guards against a peer's message that uses up the memory."""
        document = b"x" * (peer_reads.MAX_DOCUMENT_BYTES + 1)
        good = peer_reads.compress(b"{}")
        self.assertEqual(b"{}", peer_reads.decompress(good))
        for data in (b"", b"x", good[:-1], peer_reads.compress(document)):
            self.assertRaises(ValueError, peer_reads.decompress, data)

    def test_change_that_no_peer_has_is_not_asked_for_all_the_time(self):
        """Guards against a fleet that is busy with requests in an outage.

        The only VM that had read a change may be gone.
        """
        now = time.monotonic()
        self.state.record_read(10, now)
        self.state.begin_read(now)
        self.members.replies = {name: ({"v": 5}, 0.0) for name in "abc"}
        for behind_s, rounds in ((1.0, 4), (60.0, 1)):
            self.state.told, self.reads.rounds = 0, 0
            self.state.behind_since = None
            self.reads._asked_at = float("-inf")
            self.state.record_told(12, "a", now - behind_s)
            for at in range(12):
                self.reads.begin_if_due(now + at / 10)
                eventlet.sleep(0)
                eventlet.sleep(0.01)
            self.assertEqual(rounds, self.reads.rounds, behind_s)

    def test_frozen_peer_does_not_delay_the_others(self):
        """Guards against peers that are asked one after the other."""
        self.state.record_read(10, time.monotonic())
        self.state.begin_read(time.monotonic() - 1.0)
        self.members.replies = {"b": ({"v": 5}, 0.0), "c": ({"v": 7}, 0.0)}
        self.ask(0.1)
        self.assertEqual(2, len(self.applied))


class ListenerTest(testtools.TestCase):
    """Tests of a VM in a large zone in which two others watch the store."""

    def setUp(self):
        super().setUp()
        events = event_logs.new_event_log(self)
        # With these names, the two elected VMs do not include "own".
        self.members = FakeMembers(MANY)
        self.holder = fleet.new_holder(events)
        self.server_registry = fleet.new_server_registry(events)
        self.watch = fleet_watch.FleetWatch(
            "store:1",
            self.holder,
            self.server_registry,
            self.members,
            events,
            lambda now: None,
            time.monotonic,
            BOUNDS,
        )
        self.store = UnchangedStore()

    def follow(self, prefix=platform.SERVER_PREFIX):
        follow(self, self.watch, prefix, self.store)
        eventlet.sleep(0.05)

    def receive(self, since, until, rows, prefix=platform.SERVER_PREFIX):
        self.members.handlers[fleet_watch.CHANGES_KIND](
            "i1", [prefix, since, until, rows]
        )

    def row(self, name, revision):
        entry = fleet.BackendEntry(
            name, "p", "127.0.0.1:1", "z", 1, False, 0, revision
        )
        key = f"{platform.SERVER_PREFIX}{name}"
        return [key, standin.encode_backend_entry(entry), revision]

    def test_listener_reads_the_store_once(self):
        """Guards against a watch on each of hundreds of VMs."""
        self.follow()
        eventlet.sleep(2 * fleet_watch.POLL_S)
        self.assertEqual(["read_all"], self.store.calls)

    def test_propagated_changes_are_applied_and_relayed_once(self):
        """Guards against endless relays, and changes that are not relayed."""
        self.follow()
        for _ in range(2):
            self.receive(10, 12, [self.row("s1", 12)])
        self.assertEqual(
            ["s1"], [e.name for e in self.server_registry.usable()]
        )
        self.assertEqual(
            ["i1"], [excluded for _, excluded in self.members.sent]
        )
        self.receive(12, 14, [[f"{platform.SERVER_PREFIX}s1", None, 14]])
        self.assertTrue(self.server_registry.is_leaving("s1"))
        eventlet.sleep(2 * fleet_watch.POLL_S)
        self.assertEqual(["read_all"], self.store.calls)

    def test_many_changes_are_only_announced(self):
        """Guards against messages that are too large for a frame."""
        many = fleet_watch.MAX_PROPAGATED + 1
        items = [platform.Item("servers/s1", b"x", 12)] * many
        for count, has_rows in ((many - 1, True), (many, False)):
            self.watch.propagate("servers/", 0, 10, 12, items[:count])
            rows = self.members.sent[-1][0][3]
            self.assertEqual(has_rows, rows is not None)
        self.receive(10, 14, None)
        self.assertIsNone(self.members.sent[-1][0][3])

    def test_gap_is_read_from_the_store(self):
        """Guards against a change lost between two propagated ones."""
        self.follow()
        self.store.revision = 30
        self.receive(20, 22, [self.row("s1", 22)])
        eventlet.sleep(2 * fleet_watch.POLL_S)
        self.assertEqual(["read_all"] * 2, self.store.calls)

    def test_changes_that_arrive_during_a_read_are_not_hidden(self):
        """Guards against peers that keep a server which has been removed.

        What a read tells peers lacked a removal that arrived during the read,
        but covered its revision, so a lost message about it was not missed.
        """
        self.follow()
        self.receive(10, 11, [self.row("s1", 11)])
        self.store.delay_s = 0.2
        self.store.revision = 14
        self.store.items = [platform.Item(*self.row("s2", 13))]
        # The gap before this change makes the VM read.
        self.receive(12, 13, [self.row("s2", 13)])
        eventlet.sleep(prefix_state.GAP_GRACE_S + 0.1)
        self.receive(11, 12, [[f"{platform.SERVER_PREFIX}s1", None, 12]])
        self.members.sent.clear()
        eventlet.sleep(0.3)
        ((body, _),) = self.members.sent
        self.assertEqual([12, 13], body[1:3])

    def test_items_newer_than_a_list_are_not_told_as_complete(self):
        """Guards against peers that miss a change between two pages.

        A later page has items that are newer than the revision of the list,
        which is the one of its first page.
        """
        self.follow()
        self.store.revision = 20
        self.store.items = [
            platform.Item(*self.row("s1", 15)),
            platform.Item(*self.row("s2", 25)),
        ]
        self.receive(12, 13, None)
        self.members.sent.clear()
        eventlet.sleep(2 * fleet_watch.POLL_S)
        ((body, _),) = self.members.sent
        self.assertEqual([10, 15], body[1:3])

    def test_server_that_a_list_skipped_is_removed(self):
        """Guards against a server that is gone and gets requests for good.

        A peer read the list when the server had come and gone, so its message
        had neither change; the removal itself came later, as an old message.
        """
        self.follow()
        state = self.watch.states[platform.SERVER_PREFIX]
        self.receive(10, 11, [self.row("s1", 11)])
        self.receive(10, 13, [self.row("s2", 13)])
        self.assertEqual((11, 13), (state.applied, state.told))
        self.store.revision = 13
        self.store.items = [platform.Item(*self.row("s2", 13))]
        eventlet.sleep(2 * fleet_watch.POLL_S)
        self.assertEqual(13, state.applied)
        self.receive(11, 12, [[f"{platform.SERVER_PREFIX}s1", None, 12]])
        self.assertEqual(
            ["s2"], [e.name for e in self.server_registry.entries()]
        )
        # Servers that did not change meanwhile are kept.
        self.receive(13, 15, [self.row("s3", 15)])
        self.assertEqual(15, state.applied)
        self.assertEqual(
            ["s2", "s3"], [e.name for e in self.server_registry.entries()]
        )

    def test_removal_after_a_list_that_skipped_the_server_is_applied(self):
        """Guards against a removal that is ignored as old."""
        self.follow()
        self.receive(10, 11, [self.row("s1", 11)])
        self.receive(10, 13, [self.row("s2", 13)])
        self.receive(11, 12, [[f"{platform.SERVER_PREFIX}s1", None, 12]])
        self.assertEqual([], self.server_registry.entries())

    def test_server_that_a_message_lacks_is_kept_if_it_is_listed(self):
        """Guards against a server lost because of an incomplete message."""
        self.follow()
        self.receive(10, 11, [self.row("s1", 11)])
        self.receive(10, 13, [self.row("s2", 13)])
        self.store.revision = 13
        self.store.items = [
            platform.Item(*self.row(name, revision))
            for name, revision in (("s1", 11), ("s2", 13))
        ]
        eventlet.sleep(2 * fleet_watch.POLL_S)
        self.assertEqual(
            ["s1", "s2"], [e.name for e in self.server_registry.usable()]
        )

    def test_message_without_changes_is_an_announcement(self):
        """Guards against changes that are never read beside earlier versions.

        These relay an announcement of many changes with an empty list.
        """
        self.follow()
        self.receive(10, 11, [self.row("s1", 11)])
        self.receive(10, 14, [])
        state = self.watch.states[platform.SERVER_PREFIX]
        self.assertEqual((11, 14), (state.applied, state.told))
        self.assertEqual(
            ["s1"], [e.name for e in self.server_registry.entries()]
        )
        self.assertIsNone(self.members.sent[-1][0][3])

    def test_list_that_changed_between_its_pages_is_only_announced(self):
        """Guards against a server that is gone and gets requests for good.

        A later page lacked a server that was removed after the first page. The
        VM did not know it, so its messages had no removal for peers that did.
        """
        self.follow()
        state = self.watch.states[platform.SERVER_PREFIX]
        for revision, last_revision, has_rows in (
            (20, 24, False),
            (22, 22, False),
            (26, 26, False),
            (28, 28, True),
        ):
            items = [platform.Item(*self.row("s1", revision))]
            snapshot = platform.Snapshot(items, revision, (), last_revision)
            self.store.read_all = {platform.SERVER_PREFIX: snapshot}.get
            self.members.sent.clear()
            state.require_read()
            eventlet.sleep(2 * fleet_watch.POLL_S)
            ((body, _),) = self.members.sent
            self.assertEqual(revision, body[2])
            self.assertEqual(has_rows, body[3] is not None, revision)

    def test_peer_that_is_behind_brings_no_server_back(self):
        """Guards against a server that left and is used again.

        A peer that had missed a removal replied after this VM had read the
        store, and the removal was not known here or had expired.
        """
        self.follow()
        reply = {
            "document": b"",
            "servers": [
                [name, "p", "127.0.0.1:1", "z", 1, False, 0, revision]
                for name, revision in (("s1", 5), ("s2", 11))
            ],
            "versions": {},
            "removed": [],
        }
        for revisions in ({}, {platform.SERVER_PREFIX: 6}):
            self.watch._apply_peer_state(
                {**reply, "revisions": revisions}, "vm-2"
            )
            self.assertEqual(
                ["s2"], [e.name for e in self.server_registry.usable()]
            )
        # A peer that is not behind may know what the store did not report.
        self.watch._apply_peer_state(
            {**reply, "revisions": {platform.SERVER_PREFIX: 12}}, "vm-2"
        )
        self.assertEqual(2, len(self.server_registry.usable()))

    def test_late_answer_of_a_read_brings_no_server_back(self):
        """Guards against a server that left and is used again.

        The list was written before the server left, and arrived after a peer
        had told the removal. Nothing would have removed the server later.
        """
        self.store.items = [platform.Item(*self.row("s1", 5))]
        self.follow()
        self.store.delay_s = 0.2
        self.watch.states[platform.SERVER_PREFIX].require_read()
        eventlet.sleep(0.4)
        self.receive(10, 11, [[f"{platform.SERVER_PREFIX}s1", None, 11]])
        eventlet.sleep(0.3)
        self.assertEqual(["read_all"] * 2, self.store.calls)
        self.watch._expire_servers(time.monotonic() + 9.0)
        self.assertEqual([], self.server_registry.usable())

    def test_late_list_brings_no_unknown_server_back(self):
        """Guards against a server that is gone and gets requests for good.

        The list was written while the server existed. Before it arrived, a
        peer told later changes, in which the server had come and gone.
        """
        self.follow()
        self.receive(10, 14, [self.row("s2", 14)])
        late = platform.Snapshot([platform.Item(*self.row("s1", 11))], 12)
        self.watch.apply_all(platform.SERVER_PREFIX, late)
        self.assertEqual(
            ["s2"], [e.name for e in self.server_registry.entries()]
        )
        # Entries that are newer than all that is applied are taken.
        late.items.append(platform.Item(*self.row("s3", 15)))
        self.watch.apply_all(platform.SERVER_PREFIX, late)
        self.assertEqual(
            ["s2", "s3"], [e.name for e in self.server_registry.entries()]
        )

    def test_late_answer_of_a_watch_brings_no_server_back(self):
        """Guards against a server that left and is used again.

        The watch was answered before the server left, and arrived after the
        answer of a read that did not list it any more.
        """
        state = self.watch.states[platform.SERVER_PREFIX]
        self.patch(self.watch._election, "_settled_at", 0.0)
        self.patch(self.watch._election, "_told_contact_at", 0.0)
        items = [platform.Item(*self.row("s1", 12))]

        def watch(prefix, after, wait_s):
            del prefix, after
            eventlet.sleep(0.2)
            found, items[:] = [*items], []
            if not found:
                eventlet.sleep(wait_s)
            return platform.Snapshot(found, 12 if found else 20)

        self.store.watch = watch
        self.follow()
        eventlet.sleep(fleet_watch.POLL_S)
        self.store.revision = 20
        state.require_read()
        eventlet.sleep(2 * fleet_watch.POLL_S)
        self.assertEqual([], items)
        self.assertEqual(20, state.applied)
        self.assertEqual([], self.server_registry.usable())

    def test_wrong_revision_of_a_peer_does_not_cause_endless_reads(self):
        """Guards against reads that use up the fleet's share of the store.

        Each heartbeat of any peer repeated the highest revision ever told, and
        hid the announcements of real changes.
        """
        self.follow()
        wrong = bytes([1, 1]) + (10**12).to_bytes(8, "big")
        for _ in range(15):
            self.watch._merge_state("i1", 0, wrong)
            eventlet.sleep(0.1)
        self.assertEqual(["read_all"] * 2, self.store.calls)
        self.receive(20, 10**12, None)
        self.assertEqual([], self.members.sent)
        right = bytes([1, 1]) + (10).to_bytes(8, "big")
        for _ in range(15):
            self.watch._merge_state("i2", 0, right)
            eventlet.sleep(0.1)
        self.assertEqual(["read_all"] * 2, self.store.calls)
        self.receive(20, 22, None)
        self.assertEqual(22, self.watch.states[platform.SERVER_PREFIX].told)

    def test_configuration_is_read_by_each_vm(self):
        """Guards against a configuration taken from a peer's message."""
        self.follow(platform.CONFIGURATION_PREFIX)
        self.store.revision = 30
        self.receive(10, 22, None, platform.CONFIGURATION_PREFIX)
        eventlet.sleep(2 * fleet_watch.POLL_S)
        self.assertEqual(["get"] * 2, self.store.calls)

    def test_unexpected_error_does_not_end_the_watch(self):
        """Guards against a VM that misses all changes after one error."""
        state = self.watch.states[platform.SERVER_PREFIX]
        self.patch(state, "_retry_s", 0.05)
        read_all, self.store.read_all = self.store.read_all, None
        self.follow()
        self.store.read_all = read_all
        eventlet.sleep(0.1)
        self.assertEqual(["read_all"], self.store.calls)

    def test_old_changes_are_ignored(self):
        """Guards against a server that left and is used again."""
        self.follow()
        self.receive(10, 12, [[f"{platform.SERVER_PREFIX}s1", None, 12]])
        self.receive(5, 11, [self.row("s1", 11)])
        self.receive(10, 13, [self.row("s1", 11)])
        self.assertEqual([], self.server_registry.usable())

    def test_malformed_rows_of_a_peer_are_read_from_the_store(self):
        """Guards against changes lost beside a row that cannot be decoded."""
        self.follow()
        for row in (7, None, [], ["k"], [7, b"", 22], ["k", "x", 22]):
            self.receive(10, 22, [self.row("s1", 22), row])
            self.assertEqual([], self.server_registry.usable())
            self.assertEqual([], self.members.sent)
        self.store.revision = 30
        eventlet.sleep(2 * fleet_watch.POLL_S)
        self.assertEqual(["read_all"] * 2, self.store.calls)

    def test_peer_reply_with_odd_entries_yields_the_others(self):
        """Guards against a VM that gets no server because of a peer's entry."""
        valid = ["s1", "p", "127.0.0.1:1", "z", 1, False, 0, 5]
        odd = [
            [*valid[:at], value, *valid[at + 1 :]]
            for at, value in (
                *(
                    (0, "a b"),
                    (0, 7),
                    (1, ""),
                    (1, None),
                    (2, "host.example:1"),
                ),
                *((2, "127.0.0.1:0"), (3, "z\n"), (4, 2**63), (4, -1)),
                *((6, -1), (6, 1.5), (7, 2**64), (7, "5"), (7, None)),
            )
        ]
        reply = {
            "document": b"",
            "servers": [*odd, 7, None, [], valid[:4], [*valid, 1], valid],
            "versions": {},
            "removed": [7, ["s1"], ["s1", -1], ["s1", 2**64], [None, 9]],
        }
        self.watch._apply_peer_state(reply, "vm-2")
        self.assertEqual(
            ["s1"], [e.name for e in self.server_registry.usable()]
        )
        for malformed in (
            *([], None, 7, "x", {}, {**reply, "servers": 3}),
            *({**reply, "removed": 3}, {**reply, "versions": []}),
        ):
            self.assertRaises(
                ValueError, self.watch._apply_peer_state, malformed, "vm-2"
            )
