"""Tests of the log lines about traffic between VMs."""

import types

import testtools

from savoryspar.gateway import counters, peer_traffic
from savoryspar.membership import traffic


class PeerTrafficLogTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.counts = traffic.new_traffic()
        self.lines = []
        events = types.SimpleNamespace(
            state_change=lambda event, now, **fields: self.lines.append(fields)
        )
        self.log = peer_traffic.new_peer_traffic_log(
            types.SimpleNamespace(message_counts=self.counts),
            events,
            lambda: 0.0,
        )

    def test_busy_second_names_the_kinds_with_the_most_bytes(self):
        """Guards against a full link that no log line explains."""
        for _ in range(300):
            self.counts.record_sent("crash_report", 1000, 0.0)
        self.counts.record_sent("stage_submit", 500, 0.0)
        self.log.check(1.0, 1.0)
        (line,) = self.lines
        self.assertEqual([301, 300_500], line["sent"]["all"])
        self.assertEqual(
            ["all", "crash_report", "stage_submit"], [*line["sent"]]
        )
        self.assertEqual({"all": [0, 0]}, line["received"])

    def test_quiet_second_is_not_logged(self):
        """Guards against a line a second from each VM."""
        for second in range(5):
            self.counts.record_sent("heartbeat", 100, 0.0)
            self.log.check(1.0, float(second))
        self.assertEqual([], self.lines)

    def test_delayed_message_is_logged_without_much_traffic(self):
        """Guards against a slow link that is not seen as it carries little."""
        self.counts.record_sent("stage_submit", 100, 0.2)
        self.log.check(1.0, 1.0)
        self.log.check(1.0, 2.0)
        (line,) = self.lines
        self.assertEqual((1, 0.2), (line["delayed"], line["longest_wait_s"]))


class MetricsTest(testtools.TestCase):
    def test_labelled_gauges_are_rendered(self):
        """Guards against a metric that is registered and never has a value."""
        metrics = counters.new_counters()
        metrics.add_labelled_gauge(
            "peer_bytes", lambda: [({"kind": "k", "direction": "sent"}, 7)]
        )
        text = metrics.render()[0].decode()
        self.assertIn(
            'savoryspar_gateway_peer_bytes{direction="sent",kind="k"} 7', text
        )
