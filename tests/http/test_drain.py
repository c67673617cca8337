"""Tests of the graceful shutdown."""

import socket
import time
import types
from unittest import mock

import eventlet
import testtools

from savoryspar import http
from savoryspar.bench import deployments, flows, load_client, tally
from savoryspar.bench import fleet as fleet_lib
from savoryspar.http import protocol

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
WORK = tally.WorkClass("calle-libre", "archive-digest", "bulk", 8000)


def new_config():
    """Returns the subset of the settings that the server reads."""
    return types.SimpleNamespace(
        entry=types.SimpleNamespace(listen_address="127.0.0.1", listen_port=0),
        http=types.SimpleNamespace(max_connections=50, read_timeout_s=10.0),
    )


class ServerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.response_delay_s = 0.0
        self.requests = 0
        self.server = http.new_server(self.answer, new_config())
        self.server.start()
        eventlet.sleep(0)

    def answer(self, environ, start_response):
        self.requests += 1
        eventlet.sleep(self.response_delay_s)
        start_response("200 OK", [])
        return [b"complete"]

    def connect(self):
        sock = eventlet.connect(self.server.address)
        self.addCleanup(sock.close)
        return sock

    def read(self, sock):
        return load_client.Connection(sock, time.monotonic).receive()

    def test_connections_in_the_backlog_are_answered(self):
        """Closing the listener would reset connections in its backlog."""
        socks = [self.connect() for _ in range(5)]
        for sock in socks:
            sock.sendall(REQUEST)
        self.server.stop()
        for sock in socks:
            self.assertEqual(b"complete", self.read(sock).body)

    def test_request_on_an_idle_connection_is_answered(self):
        """A request in the buffer of an idle connection must be answered."""
        sock = self.connect()
        sock.sendall(REQUEST)
        self.assertEqual(b"complete", self.read(sock).body)
        sock.sendall(REQUEST)
        self.server.stop()
        self.assertEqual(b"complete", self.read(sock).body)

    def test_request_that_crosses_the_close_of_a_connection_is_not_run(self):
        """Guards against work whose response cannot be written any more.

        A request that arrived between the check of an idle connection and its
        shutdown was read and run, and its response failed.
        """
        sock = self.connect()
        sock.sendall(REQUEST)
        self.assertEqual(b"complete", self.read(sock).body)
        self.requests = 0

        def has_data(own_sock):
            # The request arrives just after the check.
            sock.sendall(REQUEST)
            self.assertTrue(own_sock.fd.recv(1, socket.MSG_PEEK))
            return False

        with mock.patch.object(protocol, "has_data", has_data):
            self.server._close_idle(time.monotonic() + 60.0)
            eventlet.sleep(0.05)
        self.assertEqual(0, self.requests)
        self.assertEqual(0, self.server.connections)

    def test_draining_sends_connection_close(self):
        """Otherwise the shutdown cuts off a balancer's open connection."""
        sock = self.connect()
        sock.sendall(REQUEST)
        self.assertNotIn("connection", self.read(sock).headers)
        self.server.drain()
        sock.sendall(REQUEST)
        self.assertEqual("close", self.read(sock).headers["connection"])

    def test_running_request_is_finished(self):
        """A shutdown during a request must not cut off its response."""
        self.response_delay_s = 0.2
        sock = self.connect()
        sock.sendall(REQUEST)
        eventlet.sleep(0.05)
        self.server.stop()
        self.assertEqual(b"complete", self.read(sock).body)


class SignalTest(testtools.TestCase):
    def test_second_signal_skips_the_drain_notice_but_keeps_streams(self):
        """Guards against a second SIGTERM that cuts off running streams."""
        with fleet_lib.Fleet() as fleet:
            deployments.start(
                deployments.GESTO, fleet, entries=0, backends_share=0.1
            )
            region = deployments.GESTO.regions[0]
            entry = fleet.start_entry(
                "entry", region, f"{region}-a",
                {"entry": {"drain_notice_s": 600}},
            )  # fmt: skip
            fleet.publish_vms()
            fleet.wait_ready("entry")
            conn = load_client.connect(entry.address, 20.0, time.monotonic)
            self.addCleanup(conn.close)
            flow = flows.chat_flow(WORK, 1.0, max_tokens=200)
            conn.send(flow.render(1))
            entry.terminate()
            self.wait_not_ready(fleet, entry)
            entry.terminate()
            answer = conn.receive()
            self.assertTrue(answer.is_whole)
            self.assertEqual(200, len(answer.text().split()))
            self.assertEqual(0, entry.wait())

    def wait_not_ready(self, fleet, entry):
        """Waits until a signal took effect, which /readyz shows."""
        for _ in range(200):
            resp = fleet.http.request("GET", f"{entry.url}/readyz")
            if resp.status == 503:
                return
            time.sleep(0.02)
        self.fail("the entry process is still ready after SIGTERM")
