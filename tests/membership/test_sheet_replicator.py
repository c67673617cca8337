"""Tests of fetching the sheet from peers."""

import time

import eventlet
import testtools

from savoryspar import sheet
from savoryspar.membership import exceptions, sheet_replicator


class FakeMembers:
    """Members of which some do not reply.

    Attributes:
        asked: Incarnations that were asked.
    """

    def __init__(self, frozen):
        self.heartbeats = self.reader = self
        self.asked = []
        self._frozen = frozen

    def handle(self, kind, handler):
        """Ignores the handler, as no peer asks."""

    def request(self, incarnation, kind, body, timeout_s):
        self.asked.append(incarnation)
        if incarnation in self._frozen:
            eventlet.sleep(timeout_s)
            raise exceptions.PeerUnreachableError("no reply", "wait", True)
        return {"kind": "none"}


class FetchTest(testtools.TestCase):
    def announce(self, members, senders, duration_s):
        """Has peers announce a revision every 0.1 s."""
        sheet_replicator.new_sheet_replicator(
            members, sheet.new_sheet_holder(), time.monotonic
        )
        ends_at = time.monotonic() + duration_s
        while time.monotonic() < ends_at:
            for sender in senders:
                members.on_sheet_state(sender, 5, b"")
            eventlet.sleep(0.1)

    def test_frozen_peer_does_not_delay_the_fetch_from_others(self):
        """Guards against a revision that waits 5 s for one frozen peer."""
        members = FakeMembers({"a"})
        self.announce(members, ["a", "b"], 1.0)
        self.assertIn("b", members.asked)

    def test_few_peers_are_asked_at_the_same_time(self):
        """Guards against a fetch from each peer that announces a revision."""
        senders = [f"i{number}" for number in range(20)]
        members = FakeMembers({*senders})
        self.announce(members, senders, 2.0)
        self.assertEqual(sheet_replicator.MAX_FETCHES, len(members.asked))
