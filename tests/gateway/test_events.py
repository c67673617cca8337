"""Tests of splitting an event stream into complete events."""

import itertools

import testtools

from savoryspar.gateway import events


class EventSplitterTest(testtools.TestCase):
    def test_incomplete_event_is_buffered(self):
        """Guards against a partial event sent before another server resumes."""
        splitter = events.EventSplitter()
        self.assertEqual(b"id: 0\n\n", splitter.feed(b"id: 0\n\nid: 1\nda"))
        self.assertEqual(0, splitter.last_id)
        splitter.discard_partial()
        self.assertEqual(b"id: 1\n\n", splitter.feed(b"id: 1\n\n"))
        self.assertEqual((1, 2), (splitter.last_id, splitter.events))

    def test_last_id_of_a_resumed_stream_is_kept(self):
        """Guards against a resumed stream that restarts from its beginning."""
        splitter = events.EventSplitter(41)
        self.assertEqual(41, splitter.last_id)

    def test_event_without_end_is_an_error(self):
        """Guards against memory exhausted by an event that never ends."""
        splitter = events.EventSplitter()
        parts = itertools.repeat(b"x" * 65536, 100)
        self.assertRaises(
            events.EventTooLongError, lambda: [*map(splitter.feed, parts)]
        )

    def test_end_of_an_event_may_be_split(self):
        """Guards against an event lost when its final blank line is split."""
        splitter = events.EventSplitter()
        self.assertEqual(b"", splitter.feed(b"id: 0\n"))
        self.assertEqual(b"id: 0\n\n", splitter.feed(b"\n"))
