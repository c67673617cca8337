"""Tests that bad input is rejected clearly and the process keeps serving."""

import json
import socket

import testtools
from testtools import matchers

from savoryspar.bench import deployments
from savoryspar.bench import fleet as fleet_lib

CHAT = "/v1/chat/completions"
STATUS = "/v1/pipelines/status-check"
MESSAGES = [{"role": "user", "content": "hola"}]


class BadInputTest(testtools.TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.fleet = fleet_lib.Fleet()
        cls.addClassCleanup(cls.fleet.close)
        cls.entry = deployments.start(
            deployments.GESTO,
            cls.fleet,
            entries=1,
            backends_share=0.1,
            settings={
                "http": {"max_body_bytes": 5000, "read_timeout_s": 1},
            },
        )[0]

    def tearDown(self):
        status, _ = self.send(STATUS, b"{}")
        self.assertEqual(200, status, "the process no longer serves")
        super().tearDown()

    def send(self, path, body, headers=()):
        resp = self.fleet.http.request(
            "POST",
            self.entry.url + path,
            body=body,
            headers={
                "Authorization": "Bearer key-calle-libre",
                **dict(headers),
            },
        )
        return resp.status, json.loads(resp.data)

    def send_raw(self, data):
        """Sends bytes and returns all bytes received until the close."""
        with socket.create_connection(
            ("127.0.0.1", self.entry.port), timeout=10
        ) as sock:
            sock.sendall(data)
            received = b""
            while chunk := sock.recv(65536):
                received += chunk
        return received

    def assert_problem(self, expected_status, kind, answer):
        status, document = answer
        self.assertEqual(expected_status, status, document)
        self.assertEqual(f"urn:savoryspar:problem:{kind}", document["type"])
        self.assertEqual("not_run", document["run_state"])
        self.assertThat(document["detail"], matchers.Contains("; "))

    def test_malformed_json(self):
        """A truncated or malformed body must not run a pipeline."""
        for body in (b"{", b"[1, 2", b"{'a': 1}", b"", b"{} {}", b"nil"):
            self.assert_problem(400, "bad_request", self.send(STATUS, body))

    def test_duplicate_keys(self):
        """Parsers differ in which of the duplicate values they keep."""
        answer = self.send(STATUS, b'{"entry": 1, "entry": 2}')
        self.assert_problem(400, "bad_request", answer)

    def test_nan_in_json(self):
        """NaN is not JSON and breaks strict parsers of backend servers."""
        answer = self.send(STATUS, b'{"entry": NaN}')
        self.assert_problem(400, "bad_request", answer)

    def test_deep_nesting(self):
        """A deeply nested body must not overflow the stack."""
        answer = self.send(STATUS, b"[" * 2400 + b"]" * 2400)
        self.assert_problem(400, "bad_request", answer)

    def test_body_that_is_not_an_object(self):
        """Stages read members of the body, so it must be an object."""
        for body in (b"[]", b"1", b'"x"', b"null"):
            self.assert_problem(400, "bad_request", self.send(STATUS, body))

    def test_invalid_utf8(self):
        """Bytes that are not UTF-8 must be rejected, not replaced."""
        answer = self.send(STATUS, b'{"entry": "\xff\xfe"}')
        self.assert_problem(400, "bad_request", answer)

    def test_wrong_types(self):
        """A wrong type must be reported, not fail inside a stage."""
        bodies = (
            {"model": 7, "messages": MESSAGES},
            {"model": "jury-summary"},
            {"model": "jury-summary", "messages": []},
            {"model": "jury-summary", "messages": [{"role": "user"}]},
            {"model": "jury-summary", "messages": MESSAGES, "stream": "yes"},
            {"model": "jury-summary", "messages": MESSAGES, "max_tokens": 0},
            {"model": "jury-summary", "messages": MESSAGES, "max_tokens": True},
        )
        for body in bodies:
            answer = self.send(CHAT, json.dumps(body).encode())
            self.assert_problem(422, "bad_request", answer)

    def test_unknown_pipeline(self):
        """An unknown pipeline must not fall back to another."""
        self.assert_problem(
            404, "not_found", self.send("/v1/pipelines/none", b"{}")
        )

    def test_oversize_body(self):
        """A large body must be rejected before it is read."""
        answer = self.send(STATUS, b'{"a": "%s"}' % (b"x" * 6000))
        self.assert_problem(413, "body_too_large", answer)

    def test_oversize_headers(self):
        """Large headers must not exhaust the memory."""
        received = self.send_raw(
            b"GET /healthz HTTP/1.1\r\nX-Long: " + b"x" * 100_000 + b"\r\n\r\n"
        )
        self.assertThat(received, matchers.StartsWith(b"HTTP/1."))
        self.assertThat(received.split()[1], matchers.StartsWith(b"4"))

    def test_missing_length(self):
        """Without a length the end of the body is unknown."""
        for framing in (b"", b"Transfer-Encoding: chunked\r\n"):
            received = self.send_raw(
                b"POST " + STATUS.encode() + b" HTTP/1.1\r\nHost: a\r\n"
                b"Authorization: Bearer key-calle-libre\r\n"
                b"Connection: close\r\n" + framing + b"\r\n0\r\n\r\n"
            )
            self.assertThat(received, matchers.Contains(b" 411 "))

    def test_invalid_or_conflicting_framing(self):
        """Guards against request smuggling by invalid or duplicate framing."""
        for framing in (
            b"Content-Length: -1\r\n",
            b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
        ):
            received = self.send_raw(
                b"POST " + STATUS.encode() + b" HTTP/1.1\r\nHost: a\r\n"
                b"Connection: close\r\n" + framing + b"\r\n{}"
            )
            self.assertThat(received, matchers.Contains(b" 400 "))

    def test_slow_body(self):
        """A body that never ends must not keep its connection open forever."""
        received = self.send_raw(
            b"POST " + STATUS.encode() + b" HTTP/1.1\r\nHost: a\r\n"
            b"Authorization: Bearer key-calle-libre\r\n"
            b"Content-Length: 100\r\n\r\n{"
        )
        self.assertThat(received, matchers.Contains(b" 408 "))

    def test_slow_headers(self):
        """Headers that never end must not keep the connection open forever."""
        received = self.send_raw(b"GET /healthz HTTP/1.1\r\nHost: a\r\n")
        self.assertThat(received, matchers.Contains(b" 408 "))

    def test_invalid_rank_and_deadline(self):
        """An invalid header must be rejected, not ignored."""
        for header in (("X-Rank", "first"), ("X-Deadline-Ms", "-5")):
            answer = self.send(STATUS, b"{}", [header])
            self.assert_problem(400, "bad_request", answer)

    def test_missing_and_unknown_api_keys(self):
        """An unauthenticated caller must not learn if a pipeline exists."""
        for value in ("", "Bearer", "Bearer x", "Basic a2V5", "Bearer \xe9"):
            answer = self.send(STATUS, b"{}", [("Authorization", value)])
            self.assert_problem(401, "unauthorized", answer)

    def test_disconnect_cancels_the_stages(self):
        """Work for a disconnected caller would take slots from others."""
        body = json.dumps(
            {
                "model": "archive-digest",
                "messages": MESSAGES,
                "max_tokens": 1000,
                "stream": True,
            }
        ).encode()
        for is_stream in (True, False):
            data = body if is_stream else body.replace(b"true", b"false")
            with socket.create_connection(
                ("127.0.0.1", self.entry.port), timeout=10
            ) as sock:
                sock.sendall(
                    b"POST " + CHAT.encode() + b" HTTP/1.1\r\nHost: a\r\n"
                    b"Authorization: Bearer key-calle-libre\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (len(data), data)
                )
                self.fleet.wait_until(lambda: self.running_requests() == 1)
            self.fleet.wait_until(lambda: self.running_requests() == 0)

    def running_requests(self):
        engine = self.fleet.processes["jurado-lm-0"]
        text = self.fleet.http.request("GET", engine.url + "/load").data
        return int(text.split()[1])
