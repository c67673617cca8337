"""Tests of relaying events in the hub's loop."""

import socket

import eventlet
from eventlet import greenio
import testtools

from savoryspar.backends import framing, pump

EVENT = framing.chunk(b"data: " + b"x" * 1000 + b"\n\n")


def new_pair():
    """Returns two connected sockets of the hub."""
    return [greenio.GreenSocket(sock) for sock in socket.socketpair()]


class PumpTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.engine, self.source = new_pair()
        self.sink, self.caller = new_pair()
        for sock in (self.engine, self.source, self.sink, self.caller):
            self.addCleanup(sock.close)
        self.reader = framing.EventReader()

    def run_pump(self, on_events=lambda data: None):
        transfer = pump.Pump(self.source, self.sink)
        transfer.run(self.reader, on_events)
        return transfer

    def test_each_event_reaches_the_caller_before_the_next_is_sent(self):
        """Guards against tokens buffered and delivered in bursts."""
        thread = eventlet.spawn(self.run_pump)
        for _ in range(5):
            self.engine.sendall(EVENT)
            self.assertEqual(EVENT, self.caller.recv(65536))
        self.engine.sendall(b"0\r\n\r\n")
        transfer = thread.wait()
        self.assertEqual((b"", None), (transfer.unsent, transfer.source_error))
        self.assertTrue(self.reader.is_ended)

    def test_slow_caller_gets_every_byte(self):
        """Guards against lost or reordered bytes at a full socket buffer."""
        count = 2000

        def relay():
            while not self.reader.is_ended:
                transfer = self.run_pump()
                if transfer.unsent:
                    self.sink.sendall(transfer.unsent)
            self.sink.shutdown(socket.SHUT_WR)

        eventlet.spawn(relay)
        sender = eventlet.spawn(
            self.engine.sendall, EVENT * count + b"0\r\n\r\n"
        )
        found = b""
        while data := self.caller.recv(65536):
            found += data
            eventlet.sleep(0)
        sender.wait()
        self.assertEqual(EVENT * count, found)

    def test_end_of_the_engine_connection_is_reported(self):
        """Guards against a truncated stream left open instead of resumed."""
        self.engine.sendall(EVENT[:20])
        self.engine.shutdown(socket.SHUT_WR)
        self.assertTrue(self.run_pump().is_eof)

    def test_silent_engine_times_out(self):
        """Guards against a caller that waits forever for a hung engine."""
        self.source.settimeout(0.05)
        self.assertIsInstance(self.run_pump().source_error, TimeoutError)

    def test_error_of_a_callback_resumes_the_green_thread(self):
        """Guards against a hung stream, as the hub drops callback errors."""

        def fail(data):
            raise KeyError(data)

        self.engine.sendall(EVENT)
        self.assertIsInstance(self.run_pump(fail).source_error, KeyError)

    def test_killed_thread_removes_its_listener(self):
        """Guards against a stale listener blocking the socket's next user."""
        thread = eventlet.spawn(self.run_pump)
        eventlet.sleep(0)
        thread.kill()
        self.engine.sendall(EVENT)
        self.assertEqual(EVENT, self.source.recv(65536))
