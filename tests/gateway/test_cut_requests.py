"""Tests of requests that end early or are malformed, through a VM process."""

import socket

import eventlet

from tests.gateway import node_case

HEAD = (
    b"POST /o/x HTTP/1.1\r\nHost: h.example\r\nSavoryspar-Key: key-1\r\n"
    b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
)
BODY = b"05\r\nhello\r\n0a;x=y\r\n0123456789\r\n0\r\nX-T: y\r\n\r\n"


class CutRequestTest(node_case.NodeCase):
    def send(self, text):
        """Returns the response to a text after which the caller half-closes."""
        sock = eventlet.connect(("127.0.0.1", self.ports["callers"]))
        sock.settimeout(10.0)
        sock.sendall(text)
        sock.shutdown(socket.SHUT_WR)
        answer = b""
        while part := sock.recv(65536):
            answer += part
        sock.close()
        return answer

    def check_not_run(self, text):
        # Leaves a connection to the server that is sent on without a wait.
        self.request("callers", "POST", "/o/y", [("Savoryspar-Key", "key-1")])
        self.platform.received.clear()
        answer = self.send(text)
        self.assertFalse(answer.startswith(b"HTTP/1.1 200 "), (text, answer))
        self.assertEqual([], self.platform.received, (text, answer))

    def test_request_that_ends_in_its_head_is_not_run(self):
        """Guards against a request with cut fields sent to a server."""
        head = (
            b"GET /o/x?y HTTP/1.1\r\nHost: h.example\r\n"
            b"Savoryspar-Key: key-1\r\nSavoryspar-Attempt-Id: abcdef\r\n"
            b"Savoryspar-Deadline-Ms: 1000\r\n\r\n"
        )
        for cut in range(len(head)):
            self.check_not_run(head[:cut])
        for text in (b"\rX: y", b"\0", b"\r"):
            self.check_not_run(head.replace(b"abcdef", b"abcdef" + text))

    def test_request_that_ends_early_is_not_run(self):
        """Guards against a part of a body sent on as the whole body."""
        for cut in range(len(BODY)):
            self.check_not_run(HEAD + BODY[:cut])

    def test_malformed_chunks_are_not_run(self):
        """Guards against bodies that other readers read differently."""
        for body in (
            b"+5\r\nhello\r\n0\r\n\r\n",
            b"0x5\r\nhello\r\n0\r\n\r\n",
            b" 5\r\nhello\r\n0\r\n\r\n",
            b"-1\r\nhello\r\n0\r\n\r\n",
            b"0_5\r\nhello\r\n0\r\n\r\n",
            b"5\r\nhelloGET /\r\n0\r\n\r\n",
            b"5\r\nhello0\r\n\r\n",
            b"5\r\nhello\r\n-0\r\n\r\n",
            b"5\r\nhello\r\n\r\n",
        ):
            self.check_not_run(HEAD + body)

    def test_nothing_is_read_behind_a_malformed_body(self):
        """Guards against a request smuggled behind a malformed chunk."""
        kept = HEAD.replace(b"Connection: close\r\n", b"")
        for body in (b"5\r\nhelloX\r\n", b"+5\r\nhello\r\n", b"5x\r\n"):
            answer = self.send(kept + body + b"0\r\n\r\n" + HEAD + BODY)
            self.assertTrue(answer.startswith(b"HTTP/1.1 400 "), answer)
            self.assertEqual(1, answer.count(b"HTTP/1.1 "), answer)
            self.assertEqual([], self.platform.received)
