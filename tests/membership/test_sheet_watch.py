"""Tests of the election of watchers of the configuration service."""

import time

import eventlet
import testtools

from savoryspar import discovery, sheet
from savoryspar.membership import exceptions, model, sheet_watch

NAMES = [f"m{number}" for number in range(6)]


class FakeMembers:
    def __init__(self, own, live, facts):
        self.own, self.live, self.facts = own, live, facts
        self.has_sheet = False
        self.frozen = ()

    def view(self, now):
        members = [
            model.Member(model.Record(name, name, "r", "z", "a"), now, 0)
            for name in (self.own, *self.live)
        ]
        return model.View(members[0], tuple(members[1:]), True)

    def all_members(self, now):
        return tuple(
            model.Record(name, name, "r", "z", "a")
            for name in (self.own, *self.live)
        )

    def peer_facts(self, name, now):
        return dict(self.facts)

    def publish_fact(self, name, body):
        self.facts[self.own] = body

    def is_alone(self):
        return not self.live

    def request(self, incarnation, kind, body, timeout_s):
        if incarnation in self.frozen:
            eventlet.sleep(timeout_s)
            raise exceptions.PeerUnreachableError("no reply", "wait", True)
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
        """Guards against watchers that use up the rate limit of the service."""
        self.assertEqual(2, len(self.watchers(NAMES)))

    def test_dead_watcher_is_replaced_by_one(self):
        """Guards against a zone without watchers."""
        first = self.watchers(NAMES)
        left = [name for name in NAMES if name != first[0]]
        second = self.watchers(left)
        self.assertEqual(2, len(second))
        self.assertIn(first[1], second)

    def test_member_that_cannot_reach_the_service_does_not_watch(self):
        """Guards against watchers that cannot reach the service."""
        unreachable = dict.fromkeys(self.watchers(NAMES), False)
        watchers_left = self.watchers(NAMES, unreachable)
        self.assertEqual(2, len(set(watchers_left) - set(unreachable)))

    def test_new_process_asks_peers_first(self):
        """Guards against reading an older sheet than peers have in force."""
        watch = new_watch("m0", NAMES, start=100.0)
        watch._members.has_sheet = True
        self.assertFalse(watch.may_read(101.0))
        self.assertFalse(watch.may_read(109.0))
        self.assertTrue(watch.may_read(111.0))

    def test_first_processes_read_the_service(self):
        """Guards against a starting fleet whose members wait for each other."""
        readers = [
            name
            for name in NAMES
            if new_watch(name, NAMES, start=100.0).may_read(100.1)
        ]
        self.assertEqual(2, len(readers))
        self.assertTrue(new_watch("m0", start=100.0).may_read(100.1))

    def test_frozen_peers_do_not_delay_the_first_read(self):
        """Guards against a start that waits for one frozen peer after another.

        A process asked each peer in turn, for up to 1 s each.
        """
        own = self.watchers(NAMES)[0]
        watch = new_watch(own, NAMES, start=time.monotonic())
        others = [name for name in NAMES if name != own]
        watch._members.frozen = others[:-1]
        with eventlet.Timeout(2.0 * sheet_watch.REQUEST_TIMEOUT_S):
            self.assertTrue(watch.may_read(time.monotonic()))

    def test_refused_revision_is_not_read_in_a_loop(self):
        """Guards against an invalid sheet that uses up the call budget."""
        client = FakeClient(7)
        watch = new_watch("m0", client=client)
        watch.read_once()
        watch.read_once()
        waits = [call for call in client.calls if call != "manifest"]
        self.assertEqual([0, 7], waits)
