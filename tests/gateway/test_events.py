"""Tests of cutting an event stream into whole events."""

import itertools

import testtools

from savoryspar.gateway import events


class EventSplitterTest(testtools.TestCase):
    def test_half_an_event_is_held_back(self):
        """Guards against half an event before a stream goes on elsewhere."""
        splitter = events.EventSplitter()
        self.assertEqual(b"id: 0\n\n", splitter.feed(b"id: 0\n\nid: 1\nda"))
        self.assertEqual(0, splitter.last_id)
        splitter.discard_partial()
        self.assertEqual(b"id: 1\n\n", splitter.feed(b"id: 1\n\n"))
        self.assertEqual((1, 2), (splitter.last_id, splitter.events))

    def test_number_of_a_resumed_stream_is_kept(self):
        """Guards against a resumed stream that starts at its beginning."""
        splitter = events.EventSplitter(41)
        self.assertEqual(41, splitter.last_id)

    def test_event_without_end_is_an_error(self):
        """Guards against a VM filled with an event that never ends."""
        splitter = events.EventSplitter()
        parts = itertools.repeat(b"x" * 65536, 100)
        self.assertRaises(
            events.EventTooLongError, lambda: [*map(splitter.feed, parts)]
        )

    def test_end_of_an_event_may_come_in_two_parts(self):
        """Guards against an event lost whose blank line is cut in two."""
        splitter = events.EventSplitter()
        self.assertEqual(b"", splitter.feed(b"id: 0\n"))
        self.assertEqual(b"id: 0\n\n", splitter.feed(b"\n"))
