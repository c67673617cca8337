"""Tests of responses to requests of which a VM leaves bytes unread."""

import eventlet

from tests.gateway import node_case

BODY_BYTES = 16_000_000
"""More than the buffers of a connection hold."""
PIPELINED = b"GET /o/next HTTP/1.1\r\nHost: h.example\r\n\r\n"


class UnreadRequestTest(node_case.NodeCase):
    """A close with unread bytes resets a connection and what is on its way."""

    def exchange(self, *parts, pause_s=0.0):
        """Sends all parts, and reads the response after a pause.

        Returns:
            The response, and the error that ended sending or reading, or None.
        """
        sock = eventlet.connect(("127.0.0.1", self.ports["callers"]))
        self.addCleanup(sock.close)
        sock.settimeout(10.0)
        found, error = b"", None
        try:
            for part in parts:
                sock.sendall(part)
        except OSError as exc:
            error = exc
        eventlet.sleep(pause_s)
        while True:
            try:
                part = sock.fd.recv(65536)
            except BlockingIOError:
                eventlet.sleep(0.01)
                continue
            except OSError as exc:
                return found, exc
            if not part:
                return found, error
            found += part

    def head(self, target, *lines):
        return b"\r\n".join(
            (
                b"POST %s HTTP/1.1" % target,
                b"Host: h.example",
                b"Connection: close",
                b"Savoryspar-Key: key-1",
                *lines,
                b"",
                b"",
            )
        )

    def test_refusals_arrive_although_the_body_is_not_read(self):
        """Guards against a reset in place of the reason of a refusal."""
        length = b"Content-Length: %d" % BODY_BYTES
        body = b"x" * BODY_BYTES
        chunks = b"10\r\n0123456789abcdef\r\n" * (BODY_BYTES // 16)
        for status, *parts in (
            (b"413", self.head(b"/o/x", length), body),
            (
                b"413",
                self.head(b"/o/x", b"Transfer-Encoding: chunked"),
                chunks + b"0\r\n\r\n",
            ),
            (
                b"431",
                self.head(b"/o/x", length, *[b"X: " + b"x" * 5000] * 4),
                body,
            ),
            (b"400", self.head(b"/o/x", length, length), body),
            (
                b"400",
                self.head(b"/o/x", b"Transfer-Encoding: chunked"),
                b"?" + chunks,
            ),
            (b"400", b"\0\r\n\r\n" + body),
        ):
            found, exc = self.exchange(*parts)
            self.assertTrue(
                found.startswith(b"HTTP/1.1 %s " % status),
                (status, found[:99], exc),
            )
            self.assertIsNone(exc, status)

    def test_response_is_whole_although_more_bytes_follow(self):
        """Guards against a response destroyed by a request behind it."""
        for rest in (b"", b"\r\n", PIPELINED, PIPELINED * 1000):
            found, exc = self.exchange(
                self.head(b"/o/large", b"Content-Length: 0") + rest,
                pause_s=0.5,
            )
            body = found.partition(b"\r\n\r\n")[2]
            self.assertEqual(
                (None, node_case.LARGE_BYTES, rest[:9]),
                (exc, len(body), rest[:9]),
            )

    def test_no_request_is_served_behind_a_closing_response(self):
        """Guards against a request that runs although its caller was told.

        A response with "Connection: close" states that no further request of
        the connection is served, so callers send it again elsewhere.
        """
        size = 5_000_000
        refused = self.head(b"/o/x", b"Content-Length: %d" % size)
        found, exc = self.exchange(
            refused.replace(b"Connection: close\r\n", b"") + b"x" * size,
            self.head(b"/o/next", b"Content-Length: 0"),
        )
        self.assertTrue(found.startswith(b"HTTP/1.1 413 "), found[:99])
        self.assertEqual(
            (None, 1, 1),
            (
                exc,
                found.count(b"HTTP/1.1 "),
                found.count(b"Connection: close"),
            ),
        )
        self.assertEqual([], self.platform.received)
