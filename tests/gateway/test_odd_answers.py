"""Tests of odd header fields and events, of servers and of callers."""

import socket

import eventlet

from savoryspar.gateway import gathering
from tests.gateway import node_case, odd_store

TIMEOUT_S = 5.0
FIELDS = (
    ("Savoryspar-Load", "\xb2,1,8"),
    ("Savoryspar-Load", "9" * 5000 + ",1,8"),
    ("Savoryspar-Load", ",,"),
    ("Keep-Alive", "timeout=\xb2"),
    ("Keep-Alive", "timeout=" + "9" * 5000),
    ("Server-Limit", "\xb2"),
    ("Server-Limit", "1e999"),
    ("Retry-After", "9" * 5000),
    ("Date", "Fri, 99 Dec 99999 99:99:99 GMT"),
    ("Savoryspar-Seal", "\xb2\xff"),
)
"""Fields of answers with digits that are not ASCII, or numbers too large."""
PREFIX = b"POST /o/1 HTTP/1.1\r\nHost: h.example\r\n"
CHUNKED = PREFIX + b"Transfer-Encoding: chunked\r\n\r\n"
HEADS = (
    b"\x00" * 100,
    b"\xff\xfe\r\n\r\n",
    b"GET\r\n\r\n",
    b"GET /o/1 HTTP/9.9\r\nHost: h.example\r\n\r\n",
    b"GET /o/1 HTTP/1.1\r\n\r\n",
    b"GET /o/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: \xb2\r\n\r\n",
    b"GET /o/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: -1\r\n\r\n",
    b"POST /o/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: "
    + b"9" * 5000
    + b"\r\n\r\n",
    b"GET /o/1 HTTP/1.1\r\nHost: \xed\xa0\x80\r\n\r\n",
    b"GET /o/\xed\xa0\x80%ff%00 HTTP/1.1\r\nHost: h.example\r\n\r\n",
    b"GET /o/1 HTTP/1.1\r\nHost: h.example\r\nX: a\x00b\r\n\r\n",
    b"GET /o/1 HTTP/1.1\r\nHost: h.example\r\n X\r\n: y\r\n\r\n",
    CHUNKED + b"\xb2\r\n",
    CHUNKED + b"f" * 5000 + b"\r\n",
    CHUNKED + b"-5\r\n",
    *(
        b"POST /o/1 HTTP/1.1\r\nHost: h.example\r\nSavoryspar-Key: key-1\r\n"
        b"%s: %s\r\nContent-Length: 0\r\n\r\n" % (name, value)
        for name in (
            b"Savoryspar-Deadline-Ms",
            b"Savoryspar-Token-Count",
            b"Savoryspar-Prefix-Hash",
            b"Savoryspar-Pieces",
            b"Last-Event-Id",
            b"Savoryspar-Attempt-Id",
        )
        for value in (b"\xb2", b"9" * 4000, b"1e999", b"nan", b"-1", b"a:\xb2")
    ),
)
"""Malformed request heads."""


class OddPlatform(node_case.Platform):
    """A server whose answers have a malformed field or event.

    Attributes:
        field: Name and value of the field.
        events: Body of a stream.
    """

    servers = ("desk", "prep", "lm")
    field = ("X-Odd", "1")
    events = b""

    def desk(self, environ, start_response):
        environ["wsgi.input"].read()
        start_response("200 OK", [("Savoryspar-Seal", "s"), self.field])
        return [b"done"]

    def engine(self, environ, start_response):
        environ["wsgi.input"].read()
        start_response("200 OK", [("Savoryspar-Seal", "s")])
        return [self.events]


class OddAnswersTest(node_case.NodeCase):
    platform_class = OddPlatform

    def order(self):
        fields = [("Savoryspar-Key", "key-1")]
        return self.request("callers", "POST", "/o/1", fields, b"1")

    def test_malformed_fields_of_servers_do_not_fail_the_request(self):
        """Guards against an answer that is lost because of a field's digits.

        ``str.isdigit`` accepts digits that ``int`` and ``float`` do not.
        """
        for field in FIELDS:
            self.platform.field = field
            answer = self.order()
            self.assertIn(b" 200 ", answer[:20], field)
            self.assertTrue(answer.endswith(b"done"), (field, answer))

    def test_event_with_a_long_number_is_passed_on(self):
        """Guards against a stream that fails because of the digits of an ID."""
        long = b"id: " + b"9" * 5000 + b"\ndata: x\n\n"
        self.platform.events = b"id: 1\ndata: x\n\n" + long
        fields = [
            ("Savoryspar-Key", "key-1"),
            ("Savoryspar-Pieces", "1"),
            ("Savoryspar-Piece-Key", "k"),
        ]
        answer = self.request("callers", "POST", "/n/1", fields, b"1")
        self.assertIn(b" 200 ", answer[:20])
        self.assertIn(long, answer)

    def test_malformed_heads_of_callers_end_nothing_else(self):
        """Guards against a request head that ends the accept loop."""
        for head in HEADS:
            sock = eventlet.connect(("127.0.0.1", self.ports["callers"]))
            sock.settimeout(TIMEOUT_S)
            sock.sendall(head)
            sock.shutdown(socket.SHUT_WR)
            try:
                while sock.recv(65536):
                    pass
            except ConnectionResetError:
                # The VM need not read a malformed request to its end.
                pass
            sock.close()
            self.assertIsNone(self.process.poll())
        self.assertTrue(self.order().endswith(b"done"))


class OddResultsPlatform(OddPlatform):
    """Stage servers, of which the next answer is malformed.

    Attributes:
        result: Body of the next answer, empty for a valid one.
    """

    events = b"id: 1\ndata: x\n\n"
    result = b""
    servers = ("desk", "prep-1", "prep-2", "lm")

    def stage(self, environ, start_response):
        if not self.result:
            return super().stage(environ, start_response)
        environ["wsgi.input"].read()
        start_response("200 OK", [("Content-Type", "application/json")])
        body, self.result = self.result, b""
        return [body]


class OddResultsTest(node_case.NodeCase):
    platform_class = OddResultsPlatform

    def test_malformed_results_of_a_stage_are_run_again(self):
        """Guards against pieces that are lost with an answer nested too deep.

        The request was refused at the end of its time.
        """
        bodies = (
            odd_store.deep(1500),
            b'{"entries":' + odd_store.deep(1500) + b"}",
            b'{"entries":[{"handle":"\\ud800"}]}',
            b'{"entries":[1e999]}',
        )
        for number, body in enumerate(bodies):
            self.platform.result = body
            fields = [
                ("Savoryspar-Attempt-Id", f"a{number}"),
                ("Savoryspar-Key", "key-1"),
                ("Savoryspar-Pieces", "1"),
                ("Savoryspar-Piece-Key", "k"),
            ]
            answer = self.request("callers", "POST", "/n/1", fields, b"1")
            self.assertIn(b" 200 ", answer[:20], body[:20])
            self.assertEqual(b"", self.platform.result)
            # Both servers may be in a backoff after another answer.
            eventlet.sleep(gathering.MAX_BACKOFF_S)
