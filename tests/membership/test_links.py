"""Tests of the writer of a link."""

import socket

import eventlet
import testtools

from savoryspar.membership import frames, links

INTERVAL_S = 0.05


class FakeConnection:
    """A connection that keeps what is sent.

    Attributes:
        sent: Sent frames.
        failure: Raised by the next call of ``send``, if set.
    """

    def __init__(self):
        self.socket, self.other_end = socket.socketpair()
        self.sent = []
        self.failure = None

    def send(self, data):
        if self.failure:
            raise self.failure
        self.sent.append(frames.decode(data))


class WriterTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.conn = FakeConnection()
        self.addCleanup(self.conn.socket.close)
        self.addCleanup(self.conn.other_end.close)
        self.link = links.Link(self.conn, "own", is_outgoing=True)
        self.heartbeat = ["valid"]

    def start(self):
        self.link.start_writer(lambda: INTERVAL_S, lambda link: self.render())
        self.addCleanup(self.link.abort)

    def render(self):
        if isinstance(self.heartbeat, Exception):
            raise self.heartbeat
        return self.heartbeat

    def sent(self, kind):
        return [frame.body for frame in self.conn.sent if frame.kind == kind]

    def test_frame_that_cannot_be_encoded_is_dropped(self):
        """Guards against a link that one text closes.

        The peers of a VM did not get the entries of any server, because the
        entry of one had a text that CBOR cannot encode.
        """
        self.start()
        odd = self.link.post("request", ["\ud800"])
        self.link.post("request", ["valid"])
        eventlet.sleep(INTERVAL_S)
        self.assertEqual([["valid"]], self.sent("request"))
        self.assertFalse(odd.has_started)
        self.assertFalse(self.link.is_closed)
        numbers = [frame.sequence for frame in self.conn.sent]
        self.assertEqual([*range(1, len(numbers) + 1)], numbers)

    def test_heartbeat_that_fails_does_not_end_the_writer(self):
        """Guards against a link that stays open and carries nothing.

        A revision of 2**64 raised OverflowError in each heartbeat.
        """
        for failure in (OverflowError("2**64"), KeyError("k")):
            self.heartbeat = failure
            self.start()
            eventlet.sleep(2 * INTERVAL_S)
            self.link.post("request", ["valid"])
            eventlet.sleep(INTERVAL_S)
            self.assertIn(["valid"], self.sent("request"))
            self.heartbeat = ["valid"]
            eventlet.sleep(2 * INTERVAL_S)
            self.assertIn(["valid"], self.sent("heartbeat"))

    def test_writer_that_fails_closes_the_link(self):
        """Guards against a link without a writer that counts as open."""
        self.start()
        self.conn.failure = RuntimeError("unexpected")
        eventlet.sleep(2 * INTERVAL_S)
        self.assertTrue(self.link.is_closed)
