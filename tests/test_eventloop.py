"""Tests of the shares of the event loop that connections get."""

import gc
import socket
import time

import eventlet
from eventlet import hubs
import testtools

from savoryspar import eventloop

WORK_S = 0.001
READS = 100


def spin(duration_s):
    until = time.monotonic() + duration_s
    while time.monotonic() < until:
        pass


class FairSocketTest(testtools.TestCase):
    def connect(self):
        """Returns a socket whose peer has sent more than a test reads."""
        own, peer = socket.socketpair()
        self.addCleanup(peer.close)
        sock = eventloop.FairSocket(own)
        self.addCleanup(sock.close)
        peer.sendall(b"x" * 2 * READS)
        return sock

    def read(self, sock, work_s=WORK_S, pause_s=0.0):
        for _ in range(READS):
            sock.recv(1)
            spin(work_s)
            if pause_s:
                eventlet.sleep(pause_s)

    def count_turns(self, readers):
        """Returns the turns of another thread while the readers work."""
        turns = 0
        while not all(reader.dead for reader in readers):
            turns += 1
            eventlet.sleep(0)
        return turns

    def test_other_threads_run_while_a_peer_sends_without_pause(self):
        """Guards against a reader that never waits and so holds the loop.

        The limit was 128 KB, whatever work the bytes caused.
        """
        reader = eventlet.spawn(self.read, self.connect())
        turns = self.count_turns([reader])
        self.assertGreater(turns, READS * WORK_S / eventloop.TURN_S / 2)

    def test_many_readers_share_the_time_of_one(self):
        """Guards against rounds that grow with the number of busy readers."""
        readers = [eventlet.spawn(self.read, self.connect()) for _ in range(10)]
        # The first reads are within the share of each.
        eventlet.sleep(10 * 2 * eventloop.TURN_S)
        turns = self.count_turns(readers)
        busy_s = 10 * READS * WORK_S
        self.assertGreater(turns, busy_s / eventloop.TURN_S / 3)

    def test_readers_get_their_turns_in_order(self):
        """Guards against a busy reader that keeps others from their turns."""
        order = []

        def read(name):
            sock = self.connect()
            for _ in range(READS):
                sock.recv(1)
                spin(2 * eventloop.TURN_S)
                order.append(name)

        readers = [eventlet.spawn(read, name) for name in "abc"]
        for reader in readers:
            reader.wait()
        for start in range(3, len(order) - 3, 3):
            self.assertEqual({*"abc"}, {*order[start : start + 3]})

    def test_reader_within_its_share_does_not_wait(self):
        """Guards against sound streams that wait for turns."""
        before = eventloop.read_waits()
        pause_s = 2 * WORK_S / 10 / eventloop.SHARE
        self.read(self.connect(), WORK_S / 10, pause_s)
        self.assertEqual(before, eventloop.read_waits())

    def test_time_of_other_threads_is_not_counted(self):
        """Guards against a reader that pays for what runs while it waits."""
        before = eventloop.read_waits()
        sock = self.connect()
        for _ in range(5):
            sock.recv(1)
            eventlet.spawn(spin, 5 * eventloop.TURN_S)
            eventlet.sleep(0)
            eventlet.sleep(0)
        self.assertEqual(before, eventloop.read_waits())

    def test_wait_for_a_turn_ends_with_the_timeout(self):
        """Guards against a reader that waits for a turn past its deadline."""
        hub = hubs.get_hub()

        def hold():
            while True:
                hub.wait_for_turn(None)
                spin(2 * eventloop.TURN_S)

        holders = [eventlet.spawn(hold) for _ in range(50)]
        eventlet.sleep(0)
        started_at = time.monotonic()
        hub.wait_for_turn(0.02)
        took_s = time.monotonic() - started_at
        for holder in holders:
            holder.kill()
        self.assertLess(took_s, 50 * 2 * eventloop.TURN_S)

    def test_thread_that_ends_while_it_waits_gives_up_its_turn(self):
        """Guards against a loop that resumes a thread which has ended."""
        hub = hubs.get_hub()
        seen = []

        def wait(name):
            hub.wait_for_turn(None)
            seen.append(name)

        threads = [eventlet.spawn(wait, name) for name in "abc"]
        eventlet.sleep(0)
        threads[0].kill()
        threads[1].wait()
        threads[2].wait()
        self.assertEqual(["b", "c"], seen)

    def test_error_of_a_thread_does_not_end_the_turns(self):
        """Guards against readers that wait for ever after another's error."""
        hub = hubs.get_hub()
        self.patch(hub, "debug_exceptions", False)
        seen = []

        def wait(name):
            hub.wait_for_turn(None)
            seen.append(name)
            raise ValueError(name)

        for name in "abc":
            eventlet.spawn_n(wait, name)
        eventlet.sleep(0.05)
        self.assertEqual(["a", "b", "c"], seen)

    def test_adopted_connection_stays_open(self):
        """Guards against a connection that its former socket closes."""
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        peer = eventlet.connect(listener.getsockname())
        self.addCleanup(peer.close)
        conn, _ = listener.accept()
        conn.settimeout(1.5)
        sock = eventloop.adopt(conn)
        self.addCleanup(sock.close)
        del conn
        gc.collect()
        peer.sendall(b"hello")
        self.assertEqual((b"hello", 1.5), (sock.recv(9), sock.gettimeout()))

    def test_accepted_connections_are_fair(self):
        """Guards against callers whose bytes are not counted."""
        listener = eventloop.listen(("127.0.0.1", 0), reuse_port=False)
        self.addCleanup(listener.close)
        peer = eventlet.connect(listener.getsockname())
        self.addCleanup(peer.close)
        conn, _ = listener.accept()
        self.addCleanup(conn.close)
        self.assertIsInstance(conn, eventloop.FairSocket)

    def test_hold_up_of_the_loop_is_measured(self):
        """Guards against an operator who cannot see that a VM is held up."""
        own, peer = socket.socketpair()
        self.addCleanup(peer.close)
        sock = eventloop.FairSocket(own)
        reader = eventlet.spawn(sock.recv, 1)
        eventlet.sleep(0.01)
        spin(0.05)
        peer.sendall(b"x")
        reader.wait()
        self.assertGreaterEqual(eventloop.longest_round_s(), 0.05)


class LongestRoundTest(testtools.TestCase):
    def test_longest_round_is_forgotten_after_two_windows(self):
        """Guards against a metric that shows an old hold-up for ever."""
        rounds = eventloop.LongestRound(0.0)
        rounds.record(0.3, 1.0)
        rounds.record(0.1, 2.0)
        window_s = eventloop.WINDOW_S
        self.assertEqual(0.3, rounds.duration_s(window_s - 1.0))
        rounds.record(0.2, window_s + 1.0)
        self.assertEqual(0.3, rounds.duration_s(window_s + 2.0))
        self.assertEqual(0.2, rounds.duration_s(2 * window_s + 2.0))
        self.assertEqual(0.0, rounds.duration_s(9 * window_s))
