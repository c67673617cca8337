"""Tests of following the store."""

import time

import eventlet
import testtools

from savoryspar import fleet, membership, platform
from savoryspar.gateway import fleet_watch, watchers
from savoryspar.platform import standin
from tests.gateway import event_logs

CHANGE_EVERY_S = 0.01


class BusyStore:
    """A store in which one entry after the other appears."""

    def __init__(self):
        self.calls = 0
        self._began_at = time.monotonic()

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


class Beats:
    """Where the state in heartbeats is set."""


class FakeMembers:
    """A membership whose other members are given.

    Attributes:
        told: Notes to the neighbours.
    """

    incarnation = "own"

    def __init__(self, others=()):
        self.beats = Beats()
        self.told = []
        self.handlers = {}
        self._everyone = tuple(
            membership.Record(name, name, "r", "z", "a")
            for name in ("own", *others)
        )

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def all_members(self, now):
        del now
        return self._everyone

    def send_to_neighbours(self, kind, body, now, but=""):
        del kind, now
        self.told.append((body, but))


class StillStore:
    """A store in which nothing changes.

    Attributes:
        calls: Readings and watches.
    """

    def __init__(self, revision=10):
        self.calls = []
        self.revision = revision
        self.items = []

    def get(self, key):
        del key
        self.calls.append("get")
        return platform.Snapshot([*self.items], self.revision)

    def read_all(self, prefix):
        del prefix
        self.calls.append("read_all")
        return platform.Snapshot([*self.items], self.revision)

    def watch(self, prefix, after, wait_s):
        del prefix, after
        self.calls.append("watch")
        eventlet.sleep(wait_s)
        return platform.Snapshot([], self.revision)


class NextRevisionTest(testtools.TestCase):
    def test_empty_answer_moves_nothing(self):
        """Guards against changes skipped by a watch that did not hear them.

        A configuration stayed unknown for 9 s on all VMs after the store had
        dropped its history (haftgarden, store-away-and-replaced.toml --vary
        --seed 192870949659).
        """
        empty = platform.Snapshot([], 90)
        self.assertEqual(68, fleet_watch.next_revision(68, empty))

    def test_changes_are_asked_for_once(self):
        """Guards against the same changes read again and again."""
        item = platform.Item("op/config", b"{}", 70)
        changes = platform.Snapshot([item], 72)
        self.assertEqual(72, fleet_watch.next_revision(68, changes))


class GatherTest(testtools.TestCase):
    def test_changes_that_come_together_are_read_together(self):
        """Each VM asked the store once for each server that registered.

        Pattern: a fleet starts, and servers appear every few milliseconds.
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
        )
        self.patch(watch._watchers, "_settled_at", 0.0)
        store = BusyStore()
        thread = eventlet.spawn(watch.follow, platform.SERVER_PREFIX, store)
        self.addCleanup(thread.kill)
        eventlet.sleep(1.0)
        self.assertGreaterEqual(watch.changes[platform.SERVER_PREFIX], 20)
        self.assertLessEqual(store.calls, 5)


MANY = [f"i{number}" for number in range(30)]
PREFIXES = (platform.CONFIGURATION_PREFIX, platform.SERVER_PREFIX)


def all_members(*names, leaving=()):
    """Returns members of one zone, the first one the own process."""
    return tuple(
        membership.Record(name, name, "r", "z", "a", is_leaving=name in leaving)
        for name in names
    )


class WatchersTest(testtools.TestCase):
    """Pattern: zones of 33 VMs, each of which watched the store by itself."""

    def chosen(self, names, leaving=(), at=watchers.SETTLE_S):
        return [
            name
            for name in names
            if watchers.new_watchers(name, PREFIXES, 0.0).must_watch(
                all_members(
                    name, *(n for n in names if n != name), leaving=leaving
                ),
                at,
            )
        ]

    def test_two_of_a_large_zone_watch(self):
        """Guards against calls to the store that grow with the fleet."""
        self.assertEqual(watchers.WATCHERS, len(self.chosen(MANY)))

    def test_nobody_watches_before_the_peers_are_known(self):
        """Guards against a start at which every VM of a fleet watches.

        Pattern: all VMs lose power and come back.
        """
        alone = all_members("own")
        watching = watchers.new_watchers("own", PREFIXES, 0.0)
        self.assertFalse(watching.must_watch(alone, 0.1))
        self.assertTrue(watching.must_watch(alone, watchers.SETTLE_S))

    def test_all_of_a_small_zone_watch(self):
        """Guards against a small zone that depends on one VM."""
        self.assertEqual(MANY[:3], self.chosen(MANY[:3]))

    def test_watcher_that_leaves_is_replaced(self):
        """Guards against a zone without watchers after a planned stop."""
        first, second = self.chosen(MANY)
        chosen = self.chosen(MANY, leaving=(first,))
        self.assertNotIn(first, chosen)
        self.assertIn(second, chosen)
        self.assertEqual(2, len(chosen))

    def test_all_watch_when_no_contact_is_heard_of(self):
        """Guards against changes missed because the watchers are cut off."""
        limit_s = watchers.contact_limit_s(len(MANY))
        self.assertEqual(2, len(self.chosen(MANY, at=limit_s - 0.1)))
        self.assertEqual(MANY, self.chosen(MANY, at=limit_s + 0.1))

    def test_heartbeats_carry_contact_and_news(self):
        """Guards against a VM that misses a change and never notices."""
        told = watchers.new_watchers("a", PREFIXES, 0.0)
        told.record_contact(8.0)
        heard = watchers.new_watchers("b", PREFIXES, 0.0)
        known = {PREFIXES[0]: 7, PREFIXES[1]: 2**40}
        heard.take(*told.render(known, 9.0), 20.0)
        self.assertEqual(known, heard.newest)
        self.assertAlmostEqual(19.0, heard.contact_at, places=3)

    def test_echoes_do_not_keep_a_contact_new(self):
        """Guards against VMs that keep each other from watching for ever.

        Each hears the other's age late and takes the contact for newer than
        it was; the watchers have lost the store.
        """
        known = dict.fromkeys(PREFIXES, 1)
        vms = [watchers.new_watchers(n, PREFIXES, 0.0) for n in "ab"]
        for second in range(1, 40):
            for one, other in (vms, vms[::-1]):
                other.take(*one.render(known, second), second + 0.98)
        limit_s = watchers.contact_limit_s(len(MANY))
        for vm in vms:
            self.assertGreater(40.0 - vm.contact_at, limit_s)

    def test_heartbeat_of_another_form_changes_nothing(self):
        """Guards against a peer's odd bytes."""
        heard = watchers.new_watchers("b", PREFIXES, 0.0)
        for rest in (b"", b"\x01", b"x" * 8, b"x" * 9, b"x" * 11):
            heard.take(5, rest, 20.0)
        self.assertEqual([0, 0], [*heard.newest.values()])


class ListeningTest(testtools.TestCase):
    """A VM of a large zone for which two others watch."""

    def setUp(self):
        super().setUp()
        events = event_logs.new_event_log(self)
        # Of these names, two others than "own" are chosen.
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
        )
        self.store = StillStore()

    def follow(self, prefix=platform.SERVER_PREFIX):
        thread = eventlet.spawn(self.watch.follow, prefix, self.store)
        self.addCleanup(thread.kill)
        eventlet.sleep(0.05)

    def send_message(self, since, until, rows, prefix=platform.SERVER_PREFIX):
        self.members.handlers[fleet_watch.NEWS_KIND](
            "i1", [prefix, since, until, rows]
        )

    def row(self, name, revision):
        entry = fleet.BackendEntry(
            name, "p", "127.0.0.1:1", "z", 1, False, 0, revision
        )
        key = f"{platform.SERVER_PREFIX}{name}"
        return [key, standin.encode_backend_entry(entry), revision]

    def test_listener_reads_once_and_calls_no_more(self):
        """Guards against a watch on each of hundreds of VMs."""
        self.follow()
        eventlet.sleep(2 * fleet_watch.NEWS_S)
        self.assertEqual(["read_all"], self.store.calls)

    def test_told_changes_are_taken_and_passed_on_once(self):
        """Guards against floods without end, and changes that stop here."""
        self.follow()
        for _ in range(2):
            self.send_message(10, 12, [self.row("s1", 12)])
        self.assertEqual(
            ["s1"], [e.name for e in self.server_registry.usable()]
        )
        self.assertEqual(["i1"], [but for _, but in self.members.told])
        self.send_message(12, 14, [[f"{platform.SERVER_PREFIX}s1", None, 14]])
        self.assertTrue(self.server_registry.is_leaving("s1"))
        eventlet.sleep(2 * fleet_watch.NEWS_S)
        self.assertEqual(["read_all"], self.store.calls)

    def test_gap_is_read_from_the_store(self):
        """Guards against a change lost between two told ones."""
        self.follow()
        self.store.revision = 30
        self.send_message(20, 22, [self.row("s1", 22)])
        eventlet.sleep(2 * fleet_watch.NEWS_S)
        self.assertEqual(["read_all"] * 2, self.store.calls)

    def test_configuration_is_read_by_each_vm(self):
        """Guards against a configuration taken from a peer's word."""
        self.follow(platform.CONFIGURATION_PREFIX)
        self.store.revision = 30
        self.send_message(10, 22, None, platform.CONFIGURATION_PREFIX)
        eventlet.sleep(2 * fleet_watch.NEWS_S)
        self.assertEqual(["get"] * 2, self.store.calls)

    def test_unexpected_error_does_not_end_the_watch(self):
        """Guards against a VM that hears of no change after one fault."""
        self.patch(fleet_watch, "MAX_RETRY_S", 0.05)
        read_all, self.store.read_all = self.store.read_all, None
        self.follow()
        self.store.read_all = read_all
        eventlet.sleep(0.1)
        self.assertEqual(["read_all"], self.store.calls)

    def test_old_news_changes_nothing(self):
        """Guards against a server that left and is in use again."""
        self.follow()
        self.send_message(10, 12, [[f"{platform.SERVER_PREFIX}s1", None, 12]])
        self.send_message(5, 11, [self.row("s1", 11)])
        self.send_message(10, 13, [self.row("s1", 11)])
        self.assertEqual([], self.server_registry.usable())
