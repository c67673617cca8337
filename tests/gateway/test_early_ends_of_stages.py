"""Tests of stage servers and stores whose answers end early."""

import testtools

from savoryspar import fleet, platform
from tests.backends import test_connections

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"


class EarlyEndTest(testtools.TestCase):
    def test_stage_results_that_end_early_are_not_used(self):
        """Guards against the handles of a part of the pieces."""
        body = b'{"entries": [{"handle": "a:1/x"}, {"handle": "a:1/y"}]}'
        self.assertEqual(["a:1/x", "a:1/y"], platform.decode_results(body, 2))
        for cut in range(len(body)):
            self.assertRaises(
                fleet.DocumentError, platform.decode_results, body[:cut], 2
            )

    def test_store_answer_that_ends_early_is_an_error(self):
        """Guards against a list of servers that lacks the last ones."""
        body = b'{"entries": [], "truncated": false, "as-of": 9}'
        for text in (
            HEAD + b"\r\n" + body,
            HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(body), body),
        ):
            for cut in range(len(text)):
                self.assertRaises(fleet.StoreError, self.read, text[:cut])
            self.assertEqual(9, self.read(text).revision)

    def read(self, text):
        server = test_connections.ScriptedServer(
            test_connections.send_and_end(text)
        )
        self.addCleanup(server.close)
        client = platform.new_store_client(server.address, lambda: 0.0)
        return client.read_all("servers/")
