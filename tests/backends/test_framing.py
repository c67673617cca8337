"""Tests of extracting complete events from an engine's chunks."""

import hypothesis
from hypothesis import strategies
import testtools

from savoryspar.backends import framing

EVENT = framing.chunk(b'data: {"a"}\n\n')
EVENTS = [b'data: {"n": %d}\n\n' % number for number in range(8)]
TEXT = b"".join(EVENTS) + framing.DONE_EVENT
sizes_lists = strategies.lists(strategies.integers(1, 60), max_size=40)


def cut(data, sizes):
    """Splits the data into pieces of the given sizes and the remainder."""
    pieces = []
    for size in sizes:
        pieces.append(data[:size])
        data = data[size:]
    return [piece for piece in [*pieces, data] if piece]


def payload(raw):
    """Returns the payload of chunks; fails if they are malformed."""
    found = b""
    while raw:
        head, _, rest = raw.partition(b"\r\n")
        size = int(head, 16)
        assert rest[size : size + 2] == b"\r\n", raw
        found += rest[:size]
        raw = rest[size + 2 :]
    return found


class EventReaderTest(testtools.TestCase):
    def test_incomplete_event_is_buffered(self):
        """Guards against a partial event at the caller of a broken stream."""
        reader = framing.EventReader()
        self.assertEqual(EVENT, reader.feed(EVENT + EVENT[:7]))
        self.assertEqual(EVENT, reader.feed(EVENT[7:]))
        self.assertEqual(2, reader.events)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(strategies.integers(1, len(EVENT) * 4), max_size=20)
    )
    def test_no_byte_is_lost_with_any_read_sizes(self, sizes):
        """Guards against lost or duplicate bytes when reads split events."""
        reader = framing.EventReader()
        relayed = b""
        for piece in cut(EVENT * 10, sizes):
            relayed += reader.feed(piece)
            self.assertEqual(0, len(relayed) % len(EVENT))
        self.assertEqual(EVENT * 10, relayed)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(sizes_lists, sizes_lists)
    def test_events_split_across_chunks_stay_complete(self, chunks, reads):
        """Guards against broken events when chunks end within an event.

        A chunk may even end within the blank line between two events.
        """
        raw = b"".join(framing.chunk(piece) for piece in cut(TEXT, chunks))
        reader = framing.EventReader()
        found = b""
        for piece in cut(raw + b"0\r\n\r\n", reads):
            part = payload(reader.feed(piece))
            self.assertTrue(not part or part.endswith(b"\n\n"), part)
            found += part
        self.assertEqual(TEXT, found)
        self.assertTrue(reader.is_ended and reader.is_done)
        self.assertTrue(reader.is_clean)

    def test_each_event_is_passed_on_once_it_is_complete(self):
        """Guards against events buffered until a chunk ends with an event."""
        reader = framing.EventReader()
        found = []
        for piece in cut(TEXT, [5] + [len(EVENTS[0])] * 7):
            found.append(payload(reader.feed(framing.chunk(piece))))
        self.assertEqual(EVENTS, [*found[1:8], found[8][: len(EVENTS[0])]])

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.integers(0, len(EVENT * 4) - 1),
        strategies.binary(min_size=1, max_size=4),
        sizes_lists,
    )
    def test_damaged_framing_is_never_passed_on(self, at, damage, reads):
        """Guards against malformed chunks that corrupt a caller's stream."""
        raw = EVENT * 4
        raw = raw[:at] + damage + raw[at + len(damage) :]
        reader = framing.EventReader()
        relayed = b""
        try:
            for piece in cut(raw, reads):
                relayed += reader.feed(piece)
        except framing.FramingError:
            pass
        found = payload(relayed)
        self.assertTrue(not found or found.endswith(b"\n\n"), found)

    def test_nonstandard_chunk_sizes_are_rejected(self):
        """Guards against chunk sizes that the caller parses differently."""
        for head in (b"0xd", b"+d", b" d", b"1_0", b"-1", b""):
            reader = framing.EventReader()
            self.assertRaises(
                framing.FramingError,
                reader.feed,
                head + b'\r\ndata: {"a"}\n\n\r\n',
            )

    def test_endless_event_is_rejected(self):
        """Guards against an endless event exhausting memory."""
        reader = framing.EventReader()
        part = framing.chunk(b"x" * (framing.MAX_EVENT_BYTES // 2))
        reader.feed(part)
        reader.feed(part)
        self.assertRaises(framing.FramingError, reader.feed, part)
