"""Tests of the split of raw chunks into whole events."""

import hypothesis
from hypothesis import strategies
import testtools

from savoryspar.backends import relay

EVENT = b'b\r\ndata: {"a"}\n\n\r\n'


class SplitEventsTest(testtools.TestCase):
    def test_half_event_is_held_back(self):
        """A broken stream must not leave half an event at the caller."""
        whole, rest = relay.split_events(EVENT + EVENT[:7])
        self.assertEqual((EVENT, EVENT[:7]), (whole, rest))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(strategies.integers(1, len(EVENT) * 4), max_size=20)
    )
    def test_no_byte_is_lost_whatever_the_reads(self, sizes):
        """Reads that cut events anywhere must neither lose nor double."""
        stream = EVENT * 10
        relayed, pending = b"", b""
        for size in [*sizes, len(stream)]:
            data, stream = stream[:size], stream[size:]
            whole, pending = relay.split_events(pending + data)
            relayed += whole
            self.assertEqual(0, len(relayed) % len(EVENT))
        self.assertEqual(EVENT * 10, relayed + pending)
