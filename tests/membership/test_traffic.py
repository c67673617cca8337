"""Tests of the counts of messages between peers."""

import time

import eventlet
import testtools

from savoryspar.membership import frames, links, traffic
from tests.membership import test_links

SLOW_S = 1.5 * traffic.DELAYED_S


class SlowConnection(test_links.FakeConnection):
    """A connection on which each write takes long."""

    def send(self, data):
        eventlet.sleep(SLOW_S)
        super().send(data)


class TrafficTest(testtools.TestCase):
    def start(self, conn):
        self.addCleanup(conn.socket.close)
        self.addCleanup(conn.other_end.close)
        link = links.Link(conn, "own", is_outgoing=True)
        link.start_writer(lambda: 60.0, lambda link: [])
        self.addCleanup(link.abort)
        return link

    def test_bytes_are_counted_by_the_kind_of_message(self):
        """Guards against a full link of which nobody knows what fills it."""
        conn = test_links.FakeConnection()
        link = self.start(conn)
        link.post("request", [1, "stage_submit", "x" * 100])
        link.post("broadcast", ["own", 2, "crash_report", "x" * 200])
        link.post("members", [0, {}])
        eventlet.sleep(0.05)
        sizes = {
            traffic.kind_of(f.kind, f.body): len(
                frames.encode(f.kind, f.incarnation, f.sequence, f.body)
            )
            for f in conn.sent
        }
        self.assertEqual(
            {"stage_submit", "crash_report", "members", "heartbeat"},
            set(sizes),
        )
        self.assertEqual(
            {(kind, "sent", 1, size) for kind, size in sizes.items()},
            {row for row in link.traffic.totals() if row[1] == "sent"},
        )

    def test_message_that_waits_behind_others_counts_as_delayed(self):
        """Guards against calls that time out on a link that looks idle."""
        link = self.start(SlowConnection(*()))
        began_at = time.monotonic()
        for number in range(3):
            link.post("request", [number, "stage_submit", ""])
        while link.traffic.delayed() < 3:
            eventlet.sleep(0.01)
            self.assertLess(time.monotonic() - began_at, 5.0)
        self.assertGreaterEqual(link.traffic.longest_wait_s(), 3 * SLOW_S)

    def test_kinds_that_peers_choose_are_bounded(self):
        """Guards against memory and metrics that a peer fills with names."""
        counts = traffic.new_traffic()
        for number in range(10 * traffic.MAX_KINDS):
            frame = frames.Frame("request", "peer", 1, [1, f"k{number}", None])
            counts.record_received(frame, 10)
        self.assertEqual(traffic.MAX_KINDS + 1, len(counts.by_kind))
        self.assertEqual(
            10 * traffic.MAX_KINDS,
            sum(row[2] for row in counts.totals()),
        )

    def test_malformed_messages_are_counted_by_their_frame(self):
        """Guards against a link that an odd message closes."""
        for body in (None, 7, [], [1], [1, 2], {"a": 1}, [1, ["k"]]):
            self.assertEqual("request", traffic.kind_of("request", body))
