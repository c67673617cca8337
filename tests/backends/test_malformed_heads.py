"""Tests of answers whose head or framing is malformed."""

import time

import testtools

from savoryspar import backends, platform
from tests.backends import test_connections

HEAD = b"HTTP/1.1 200 OK\r\nSavoryspar-Attempt-Id: a\r\nSavoryspar-Seal: x\r\n"
LENGTH = b"Content-Length: 10\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"a\r\n0123456789\r\n0\r\n\r\n"


class MalformedHeadTest(testtools.TestCase):
    """Servers end the connection after each answer, so cuts look complete."""

    def fetch(self, text):
        server = test_connections.ScriptedServer(
            test_connections.send_and_end(text)
        )
        self.addCleanup(server.close)
        conns = backends.new_connections(
            platform.decode_answer_facts, time.monotonic
        )
        answer = conns.send(
            ("s", server.address), "GET", "/", [], b"", 2.0, "a"
        )
        return answer.read_all(time.monotonic() + 2.0)

    def check_rejected(self, text):
        exc = self.assertRaises(
            backends.CallOutcomeUnknownError, self.fetch, text
        )
        self.assertEqual("malformed", exc.end, text)
        # Bytes that are no answer do not show that the server crashed.
        self.assertFalse(exc.is_crash, text)

    def test_malformed_line_does_not_hide_the_framing(self):
        """Guards against a cut body that lost its length to a bad line."""
        for line in (
            b"garbage",
            b"Bad Name: x",
            b"Bad-Name : x",
            b": x",
            b"\xff\xfe",
            b"From x",
            b" folded",
            b"X: a\rb",
            b"X: a\rContent-Length: 4",
            b"X: a\r",
            b"X: a\r\n folded",
            b"X: a\0b",
        ):
            for rest in (
                LENGTH + b"\r\n0123",
                CHUNKED + b"\r\n" + CHUNKS,
                LENGTH + b"\r\n0123456789",
            ):
                self.check_rejected(HEAD + line + b"\r\n" + rest)
        for kind in (b"multipart/x; boundary=b", b"multipart/x", b"message/x"):
            self.check_rejected(
                HEAD
                + b"Content-Type: "
                + kind
                + b"\r\ngarbage\r\n"
                + LENGTH
                + b"\r\n"
            )
        self.check_rejected(b"HTTP/1.1 200 OK\r\nFrom x\r\n" + LENGTH + b"\r\n")
        self.check_rejected(b"HTTP/1.1 200 OK\r\n X: y\r\n" + LENGTH + b"\r\n")

    def test_ambiguous_length_is_rejected(self):
        """Guards against a body that ends at one of several lengths."""
        for value in (
            b"10\r\nContent-Length: 4",
            b"4\r\nContent-Length: 10",
            b"4, 10",
            b"-1",
            b"ten",
            b"+4",
            b"0_4",
            b"0x4",
            b"4.0",
            b"",
            b"4\r\nTransfer-Encoding: chunked",
        ):
            self.check_rejected(
                HEAD + b"Content-Length: " + value + b"\r\n\r\n0123"
            )

    def test_unknown_transfer_coding_is_rejected(self):
        """Guards against chunk sizes passed on as a part of the body."""
        for value in (
            b"gzip, chunked",
            b"xchunked",
            b"identity",
            b"identity\r\nTransfer-Encoding: chunked",
            b"chunked\r\nTransfer-Encoding: chunked",
            b"",
        ):
            self.check_rejected(
                HEAD + b"Transfer-Encoding: " + value + b"\r\n\r\n" + CHUNKS
            )
        old = HEAD.replace(b"HTTP/1.1", b"HTTP/1.0")
        self.check_rejected(old + CHUNKED + b"\r\n" + CHUNKS)

    def test_malformed_chunk_is_rejected(self):
        """Guards against chunk sizes that other readers read differently."""
        for size in (b"+a", b"0xa", b" a", b"-1", b"0_a", b"", b"g", b"a,"):
            self.check_rejected(HEAD + CHUNKED + b"\r\n" + size + CHUNKS[1:])
        for last in (b"-0", b"0x0", b"+0"):
            self.check_rejected(
                HEAD + CHUNKED + b"\r\n" + CHUNKS[:-5] + last + b"\r\n\r\n"
            )
        self.check_rejected(
            HEAD + CHUNKED + b"\r\n" + CHUNKS.replace(b"9\r\n", b"9XX")
        )

    def test_malformed_status_line_is_rejected(self):
        """Guards against bytes that are no answer taken for a success."""
        for line in (
            b"HTTP/1.1 20",
            b"HTTP/1.1 2",
            b"HTTP/1.1 +200 OK",
            b"HTTP/1.1 2_00 OK",
            b"HTTP/1.1 0200 OK",
            b"HTTP/0.9 200 OK",
            b"HTTP/1.x 200 OK",
            b"HTTP/2 200 OK",
            b"HTTP/1.1200 OK",
            b"HTTP/1.1 101 Switching Protocols",
            b"200 OK",
        ):
            self.check_rejected(
                line + b"\r\nSavoryspar-Seal: x\r\nContent-Length: 0\r\n\r\n"
            )

    def test_interim_answers_are_skipped(self):
        """Guards against an interim answer taken for the final one."""
        final = HEAD + LENGTH + b"\r\n0123456789"
        for line in (b"100 Continue", b"102 Processing", b"103 Early Hints"):
            interim = b"HTTP/1.1 %s\r\nSavoryspar-Seal: y\r\n\r\n" % line
            self.assertEqual(b"0123456789", self.fetch(interim * 2 + final))
            for cut in range(1, len(interim) + 1):
                self.assertRaises(
                    backends.CallOutcomeUnknownError, self.fetch, interim[:cut]
                )

    def test_valid_heads_are_accepted(self):
        """Guards against complete answers taken for malformed ones."""
        for text in (
            HEAD + LENGTH + b"\r\n0123456789",
            (HEAD + LENGTH + b"\r\n").replace(b"\r\n", b"\n") + b"0123456789",
            HEAD.replace(b" OK", b"") + LENGTH + b"\r\n0123456789",
            HEAD.replace(b" OK", b" ") + LENGTH + b"\r\n0123456789",
            HEAD.replace(b"1.1", b"1.0") + LENGTH + b"\r\n0123456789",
            HEAD + LENGTH * 2 + b"\r\n0123456789",
            HEAD + b"Content-Length:10 \r\n\r\n0123456789",
            HEAD + b"X:\r\nY: \xe9\x85\x0b\r\n" + LENGTH + b"\r\n0123456789",
            HEAD + b"Content-Type: multipart/x; boundary=b\r\n\r\n0123456789",
            HEAD + b"Content-Type: multipart/x\r\n\r\n0123456789",
            HEAD
            + b"Content-Transfer-Encoding: base64\r\n"
            + b"Content-Type: multipart/x; boundary=b\r\n\r\n0123456789",
            HEAD + b"\r\n0123456789",
            HEAD + CHUNKED + b"\r\n" + CHUNKS,
            HEAD + b"transfer-encoding: Chunked\r\n\r\n0" + CHUNKS.upper(),
            HEAD + CHUNKED + b"\r\n" + CHUNKS.replace(b"a", b"a ;x=\xe9"),
            HEAD + CHUNKED + b"\r\n" + CHUNKS[:-2] + b"X-T: y\r\n\r\n",
        ):
            self.assertEqual(b"0123456789", self.fetch(text), text)
