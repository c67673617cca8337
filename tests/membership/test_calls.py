"""Tests of requests and notes between peers."""

import eventlet
import testtools

from savoryspar import log
from savoryspar.membership import calls, model, service


class Peer:
    incarnation = "i1"


class FakeLink:
    peer = Peer()

    def __init__(self):
        self.frames = []

    def post(self, kind, body):
        self.frames.append((kind, body))
        return object()


class CallsTest(testtools.TestCase):
    def test_note_is_served_without_a_reply(self):
        """Notes that nobody waits for cost a reply each.

        Pattern: steady load; each request sends several notes to its placer
        and its gatherers.
        """
        sender, receiver = calls.Calls("i0"), calls.Calls("i1")
        received = []
        receiver.handle("note", lambda sender, body: received.append(body))
        outgoing, replies = FakeLink(), FakeLink()
        self.assertTrue(sender.send_message(outgoing, "note", 7))
        receiver.serve(replies, outgoing.frames[0][1])
        eventlet.sleep(0)
        self.assertEqual(([7], []), (received, replies.frames))

    def test_note_that_fails_is_not_answered(self):
        """Guards against a reply to a request that nobody sent."""
        receiver, replies = calls.Calls("i1"), FakeLink()
        receiver.serve(replies, [calls.NO_REPLY, "unknown", None])
        eventlet.sleep(0)
        self.assertEqual([], replies.frames)


class Records:
    def __init__(self, *records):
        self.records = {record.incarnation: record for record in records}


class Connector:
    """Opens a link when it is asked for one."""

    def __init__(self):
        self.links = {}
        self.opened = FakeLink()

    def get(self, record, timeout_s):
        del record, timeout_s
        return self.opened


class TellTest(testtools.TestCase):
    def members(self, *records):
        members = service.Membership.__new__(service.Membership)
        members.records = Records(*records)
        members.connector = Connector()
        members._calls = calls.Calls("i0")
        members._logger = log.new_logger("membership")
        return members

    def test_note_opens_the_link_that_was_closed_when_idle(self):
        """Guards against placements that never end at their placer.

        The link to a placer is closed after 5 s without use, and a stream may
        end later.
        """
        members = self.members(model.Record("i1", "n", "r", "z", "a:1"))
        self.assertTrue(members.send_message("i1", "note", 7))
        eventlet.sleep(0)
        self.assertEqual(
            [("request", [calls.NO_REPLY, "note", 7])],
            members.connector.opened.frames,
        )

    def test_note_to_a_member_that_is_gone_is_not_sent(self):
        """Guards against a caller that believes its note is on its way."""
        self.assertFalse(self.members().send_message("i1", "note", 7))
