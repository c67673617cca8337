"""Tests of the frames that a member rejects on a real link."""

import time

import testtools
from websockets import exceptions as ws_exceptions
from websockets.sync import client

from savoryspar.bench import fleet as fleet_lib
from savoryspar.membership import frames, model

TIMEOUT_S = 10.0


class RejectedFrameTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fleet_lib.Fleet()
        self.addCleanup(self.fleet.close)
        self.member = self.fleet.start_members(
            "m0", settings={"tls": "no", "max_frame_bytes": 4096}
        )
        self.own = model.Record("stranger", "s", "r0", "z0", "127.0.0.1:9")

    def stats(self):
        return self.fleet.get_json(self.member, "/stats")["members"][0]

    def connect(self):
        conn = client.connect(
            f"ws://{self.stats()['address']}/", compression=None, proxy=None
        )
        self.addCleanup(conn.close)
        return conn

    def connect_with_hello(self):
        conn = self.connect()
        conn.send(frames.encode("hello", "stranger", 1, self.own.to_body()))
        frames.decode(conn.recv(timeout=TIMEOUT_S))
        return conn

    def wait_refused(self, reason):
        deadline_at = time.monotonic() + TIMEOUT_S
        while not self.stats()["refusals"].get(reason):
            if time.monotonic() > deadline_at:
                self.fail(f"{reason}: {self.stats()['refusals']}")
            time.sleep(0.05)
        self.assertIn(f"reason={reason}", self.fleet.log_text("m0"))

    def wait_received(self, message):
        deadline_at = time.monotonic() + TIMEOUT_S
        while message not in self.stats()["received"]:
            if time.monotonic() > deadline_at:
                self.fail(f"{message}: {self.stats()['received']}")
            time.sleep(0.05)

    def test_refused_frames_change_nothing_and_keep_the_link(self):
        """Guards against invalid frames that change state or close the link.

        Each must be counted, and the next valid frame handled.
        """
        conn = self.connect_with_hello()
        message = [1, "stranger", 2, ["stranger", 9, "note", "x"]]
        conn.send(frames.cbor2.dumps([7, "broadcast", *message[1:]]))
        self.wait_refused("version")
        conn.send(frames.cbor2.dumps([1, "shout", *message[1:]]))
        self.wait_refused("type")
        conn.send(frames.encode("broadcast", "other", 3, message[3]))
        self.wait_refused("incarnation")
        conn.send(frames.encode("members", "stranger", 4, [1, [["x"]]]))
        self.wait_refused("body")
        self.assertEqual([], self.stats()["received"])
        conn.send(frames.encode("broadcast", "stranger", 5, message[3]))
        conn.send(frames.encode("broadcast", "stranger", 5, message[3]))
        self.wait_refused("replay")
        # Handlers run in order, but after the frame that follows may be read.
        next_message = ["stranger", 10, "note", "y"]
        conn.send(frames.encode("broadcast", "stranger", 6, next_message))
        self.wait_received(["stranger", "y"])
        self.assertEqual(
            [["stranger", "x"], ["stranger", "y"]], self.stats()["received"]
        )
        self.assertEqual(["stranger"], self.stats()["links"])

    def test_oversize_frame_closes_the_link(self):
        """Guards against frames that exhaust the memory."""
        conn = self.connect_with_hello()
        conn.send(frames.encode("broadcast", "stranger", 2, "x" * 9000))
        self.assertRaises(
            ws_exceptions.ConnectionClosed, self.read_to_the_end, conn
        )
        self.wait_refused("oversize")

    def read_to_the_end(self, conn):
        while True:
            conn.recv(timeout=TIMEOUT_S)

    def test_link_starts_with_hello(self):
        """Guards against accepting a member that sent no hello frame."""
        conn = self.connect()
        conn.send(frames.encode("heartbeat", "stranger", 1, []))
        self.wait_refused("hello")
        self.assertEqual([], self.stats()["members"])
