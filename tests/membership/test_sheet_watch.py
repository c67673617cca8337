"""Tests of who watches the configuration service."""

import testtools

from savoryspar import discovery, sheet
from savoryspar.membership import model, sheet_watch

NAMES = [f"m{number}" for number in range(6)]


class FakeMembers:
    def __init__(self, own, live, facts):
        self.own, self.live, self.facts = own, live, facts
        self.has_sheet = False

    def view(self, now):
        members = [
            model.Member(model.Record(name, name, "r", "z", "a"), now, 0)
            for name in (self.own, *self.live)
        ]
        return model.View(members[0], tuple(members[1:]), True)

    def peer_facts(self, name, now):
        return dict(self.facts)

    def publish_fact(self, name, body):
        self.facts[self.own] = body

    def is_alone(self):
        return not self.live

    def request(self, incarnation, kind, body, timeout_s):
        return {"kind": "whole" if self.has_sheet else "none"}


class FakeClient:
    def __init__(self, revision):
        self.revision = revision
        self.calls = []

    def watch(self, after, timeout_s):
        self.calls.append(after)
        if self.revision is None:
            raise discovery.PlatformError("down", "wait")
        return self.revision

    def get(self, key):
        self.calls.append(key)
        return "not a manifest"


def new_watch(own, live=(), facts=None, client=None, start=0.0):
    others = [name for name in live if name != own]
    holder = sheet.new_sheet_holder()
    return sheet_watch.new_sheet_watch(
        FakeMembers(own, others, facts or {}), holder, client, 20.0,
        lambda: start,
    )  # fmt: skip


class WatcherTest(testtools.TestCase):
    def watchers(self, live, facts=None):
        return [
            name
            for name in live
            if new_watch(name, live, facts).is_watcher(1.0)
        ]

    def test_two_members_of_a_zone_watch(self):
        """More watchers would use up the service's rate."""
        self.assertEqual(2, len(self.watchers(NAMES)))

    def test_dead_watcher_is_replaced_by_one(self):
        """A zone must not be left without watchers."""
        first = self.watchers(NAMES)
        left = [name for name in NAMES if name != first[0]]
        second = self.watchers(left)
        self.assertEqual(2, len(second))
        self.assertIn(first[1], second)

    def test_member_without_the_service_lets_others_watch(self):
        """A zone must not rely on watchers that cannot reach the service."""
        unreachable = dict.fromkeys(self.watchers(NAMES), False)
        watchers_left = self.watchers(NAMES, unreachable)
        self.assertEqual(2, len(set(watchers_left) - set(unreachable)))

    def test_new_process_asks_peers_first(self):
        """The service's word may be older than what peers have in force."""
        watch = new_watch("m0", NAMES, start=100.0)
        watch._members.has_sheet = True
        self.assertFalse(watch.may_read(101.0))
        self.assertFalse(watch.may_read(109.0))
        self.assertTrue(watch.may_read(111.0))

    def test_first_processes_read_the_service(self):
        """A fleet that starts together must not wait for itself."""
        readers = [
            name
            for name in NAMES
            if new_watch(name, NAMES, start=100.0).may_read(100.1)
        ]
        self.assertEqual(2, len(readers))
        self.assertTrue(new_watch("m0", start=100.0).may_read(100.1))

    def test_refused_revision_is_not_read_in_a_loop(self):
        """An invalid sheet must not use up the budget of calls."""
        client = FakeClient(7)
        watch = new_watch("m0", client=client)
        watch.read_once()
        watch.read_once()
        waits = [call for call in client.calls if call != "manifest"]
        self.assertEqual([0, 7], waits)
