"""Tests of answers that belong to another attempt or arrive too late."""

import socket
import threading

import testtools

from savoryspar import backends


class LateAnswerTest(testtools.TestCase):
    def answer_with(self, attempt_id):
        """Serves one call, without an answer if the attempt ID is empty."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def serve():
            sock, _ = listener.accept()
            self.addCleanup(sock.close)
            sock.recv(65536)
            if attempt_id:
                sock.sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                    b"X-Attempt-Id: %s\r\n\r\n{}" % attempt_id.encode()
                )

        threading.Thread(target=serve, daemon=True).start()
        port = listener.getsockname()[1]
        return backends.Server("s", f"127.0.0.1:{port}", "r", "z", "p")

    def call(self, client, server):
        call = backends.StageCall("a-1", "r-1", "/v1/run", {}, 0.3, 0)
        return client.call(server, call)

    def test_answer_of_another_attempt_is_dropped_and_counted(self):
        """Guards against an answer to another request returned to a caller."""
        client = backends.new_client()
        server = self.answer_with("a-0")
        self.assertRaises(
            backends.CallOutcomeUnknownError, self.call, client, server
        )
        self.assertEqual(1, client.dropped_answers)

    def test_late_answer_is_dropped_and_counted(self):
        """Guards against a timed-out call reported as not run."""
        client = backends.new_client()
        server = self.answer_with("")
        exc = self.assertRaises(
            backends.CallOutcomeUnknownError, self.call, client, server
        )
        self.assertEqual(
            (1, True, False),
            (client.dropped_answers, exc.has_sent, exc.is_crash),
        )

    def test_answer_of_the_attempt_is_accepted(self):
        """Guards against a correct answer rejected by the attempt check."""
        client = backends.new_client()
        result = self.call(client, self.answer_with("a-1"))
        self.assertEqual(({}, 0), (result.output, client.dropped_answers))
