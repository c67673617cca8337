"""Tests of frames and of pause detection."""

import cbor2
import testtools

from savoryspar.membership import exceptions, frames, pause


class FrameTest(testtools.TestCase):
    def decode_error(self, raw):
        return self.assertRaises(exceptions.FrameError, frames.decode, raw)

    def test_encode_decode_round_trip(self):
        """Guards against frames that change in transit."""
        frame = frames.decode(frames.encode("leave", "i", 3, {"a": b"\0"}))
        self.assertEqual(("leave", "i", 3), (frame.kind, frame.incarnation,
                                             frame.sequence))  # fmt: skip
        self.assertEqual({"a": b"\0"}, frame.body)

    def test_unknown_version_names_the_supported_one(self):
        """Guards against an error that does not name the supported version."""
        exc = self.decode_error(cbor2.dumps([9, "leave", "i", 1, {}]))
        self.assertEqual("version", exc.reason)
        self.assertIn("version 1", str(exc))

    def test_unknown_type_names_the_supported_ones(self):
        """Guards against handling a frame of an unknown type."""
        exc = self.decode_error(cbor2.dumps([1, "gossip", "i", 1, {}]))
        self.assertEqual("type", exc.reason)
        self.assertIn("heartbeat", str(exc))

    def test_malformed_frame_is_refused(self):
        """Guards against malformed data that reaches a handler."""
        for raw in (b"", b"\xff", b"GET /", cbor2.dumps(7), cbor2.dumps([1])):
            self.assertEqual("malformed", self.decode_error(raw).reason)

    def test_tagged_values_are_replaced(self):
        """Guards against objects that a handler does not expect.

        A decimal fraction with a large exponent, converted to an integer,
        exhausts the time and memory of the process.
        """
        for tag in {*range(300), 1004, 43000, 55799, 2**32} - {2}:
            for value in (1, "a", b"a", [1, 1], [2**31 - 1, 1]):
                tagged = cbor2.dumps(cbor2.CBORTag(tag, value))
                raw = cbor2.dumps([1, "leave", "i", 1, [7, None]])[:-1] + tagged
                body = [7, cbor2.undefined]
                self.assertEqual(body, frames.decode(raw).body)

    def test_digests_of_rows_are_kept(self):
        """Guards against a sheet that is sent whole for each change of it."""
        digests = {3: 2**255 + 1, 9: 2**256 - 1}
        raw = frames.encode("request", "i", 1, [5, digests, 0])
        self.assertEqual([5, digests, 0], frames.decode(raw).body)

    def test_body_that_cannot_be_encoded_is_one_error(self):
        """Guards against an error that ends the writer of a link."""
        cyclic = []
        cyclic.append(cyclic)
        for body in ("\ud800", {"a": ["\udfff"]}, object(), cyclic):
            exc = self.assertRaises(
                exceptions.FrameError, frames.encode, "leave", "i", 1, body
            )
            self.assertEqual("unencodable", exc.reason)

    def test_replayed_frame_is_refused(self):
        """Guards against running a repeated request twice."""
        sequence = frames.SequenceChecker()
        frame = frames.Frame("leave", "i", 5, None)
        sequence.accept(frame)
        exc = self.assertRaises(exceptions.FrameError, sequence.accept, frame)
        self.assertEqual("replay", exc.reason)

    def test_sender_cannot_change_on_a_link(self):
        """Guards against a peer that sends frames in the name of another."""
        sequence = frames.SequenceChecker()
        sequence.accept(frames.Frame("leave", "i", 1, None))
        other = frames.Frame("leave", "j", 2, None)
        self.assertRaises(exceptions.FrameError, sequence.accept, other)


class PauseTest(testtools.TestCase):
    def test_late_check_is_detected_as_a_pause(self):
        """Guards against a stale view treated as current after a resume."""
        watcher = pause.PauseWatcher(1.0, 10.0, 1000.0)
        self.assertFalse(watcher.check(10.9, 1000.9))
        self.assertFalse(watcher.is_current(12.0))
        self.assertTrue(watcher.check(12.0, 1002.0))
        self.assertEqual(12.0, watcher.paused_at)

    def test_wall_clock_jump_is_detected_as_a_pause(self):
        """Guards against missing a suspend of the VM.

        The monotonic clock may stop while a VM is suspended.
        """
        watcher = pause.PauseWatcher(1.0, 10.0, 1000.0)
        self.assertFalse(watcher.is_current(10.1, 1005.0))
        self.assertTrue(watcher.check(10.1, 1005.0))
        self.assertFalse(watcher.check(10.2, 1005.1))
