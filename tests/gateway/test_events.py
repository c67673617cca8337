"""Tests of cutting an event stream into whole events."""

import testtools

from savoryspar.gateway import events


class EventCutterTest(testtools.TestCase):
    def test_half_an_event_is_held_back(self):
        """Guards against half an event before a stream goes on elsewhere."""
        cutter = events.EventCutter()
        self.assertEqual(b"id: 0\n\n", cutter.feed(b"id: 0\n\nid: 1\nda"))
        self.assertEqual(0, cutter.last_id)
        cutter.restart()
        self.assertEqual(b"id: 1\n\n", cutter.feed(b"id: 1\n\n"))
        self.assertEqual((1, 2), (cutter.last_id, cutter.events))

    def test_number_of_a_resumed_stream_is_kept(self):
        """Guards against a resumed stream that starts at its beginning."""
        cutter = events.EventCutter(41)
        self.assertEqual(41, cutter.last_id)
