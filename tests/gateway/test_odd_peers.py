"""Tests of frames of peers that a VM cannot handle."""

import itertools

import cbor2
import eventlet
from websockets.sync import client

from savoryspar.membership import frames, model
from tests.gateway import node_case, odd_store

TIMEOUT_S = 10.0
NESTED = 2_000
HUGE = 2**64 - 1
VALID_HEARTBEAT = [0, b"x" * 8, 0, b"\xff\x01" + bytes(8), 0, b"", []]
VALID_RECORD = ["other", "s", "r", "z1", "127.0.0.1:1", 0, 0, False]
VALUES = (
    *(None, True, -1, HUGE, -HUGE, 10**400, 1.5, float("nan"), float("inf")),
    *("", "x", "x\n\x00", b"", b"\xff", [], [[]], {}, {"a": 1}, {1: {}}),
)
"""Values of another type or out of range."""
RAW_BODIES = (
    b"\x81" * NESTED + b"\x01",
    b"\xa1\x01" * NESTED + b"\x01",
    b"\xc2\x58\x40" + b"\xff" * 64,
    b"\xc4\x82\x1a\x7f\xff\xff\xff\x01",
    b"\xc5\x82\x1a\x7f\xff\xff\xff\x01",
    b"\xd8\x23\x68(a+)+$xx",
    b"\xd8\x1c\x81\xd8\x1d\x00",
    b"\x7f\x61a\xff",
    b"\x9f\x01\xff",
    b"\xbf\x01\x02\xff",
    b"\xf7",
    b"\xf8\xff",
    b"\x65\xed\xa0\x80aa",
    b"\x9b" + b"\xff" * 8,
    b"",
)
"""CBOR with nesting, tags, indefinite lengths, and malformed data."""


def changed(body):
    """Returns the body with each of its items replaced by each value."""
    return [
        [*body[:at], value, *body[at + 1 :]]
        for at, value in itertools.product(range(len(body)), VALUES)
    ]


class OddPeersTest(node_case.NodeCase):
    """Tests of a VM with a link to a peer that sends malformed frames."""

    platform_class = odd_store.OddPlatform

    def connect(self, name="stranger"):
        conn = client.connect(
            f"ws://127.0.0.1:{self.ports['peers']}/",
            compression=None,
            proxy=None,
        )
        self.addCleanup(conn.close)
        self.conn, self.name, self.sequence = conn, name, 0
        record = model.Record(name, name, "r", "z1", "127.0.0.1:1")
        self.send("hello", record.to_body())
        conn.recv(timeout=TIMEOUT_S)

    def send(self, kind, body):
        self.sequence += 1
        self.conn.send(frames.encode(kind, self.name, self.sequence, body))

    def send_raw(self, kind, raw):
        """Sends a frame whose body is encoded already."""
        self.sequence += 1
        head = cbor2.dumps([1, kind, self.name, self.sequence, None])
        self.conn.send(head[:-1] + raw)

    def check_link(self):
        """Checks that the VM still handles requests on the link."""
        number = 10_000 + self.sequence
        self.send("request", [number, "fleet", {"version": 0}])
        with eventlet.Timeout(TIMEOUT_S):
            while True:
                frame = frames.decode(self.conn.recv(timeout=TIMEOUT_S))
                if frame.kind == "reply" and frame.body[0] == number:
                    break
            self.assertEqual("", frame.body[1])
            while frame.kind != "heartbeat":
                frame = frames.decode(self.conn.recv(timeout=TIMEOUT_S))
        self.assertIsNone(self.process.poll())

    def known_kinds(self):
        """Returns the kinds of requests that the VM names."""
        self.send("request", [9, "?", None])
        while True:
            frame = frames.decode(self.conn.recv(timeout=TIMEOUT_S))
            if frame.kind == "reply":
                return frame.body[1].partition("use one of ")[2].split(", ")

    def test_malformed_frames_cost_themselves_only(self):
        """Guards against a link that a malformed frame ends.

        The age of a fact that no float can hold raised OverflowError, which
        ended the reader of the link.
        """
        self.connect()
        for kind in frames.TYPES:
            for raw in RAW_BODIES:
                self.send_raw(kind, raw)
            self.check_link()
            for body in VALUES:
                self.send(kind, body)
            self.check_link()
        for body in changed(VALID_HEARTBEAT):
            self.send("heartbeat", body)
        self.check_link()
        for fact in changed(["stranger", 1, 1, 1, {"scheduling": 1}]):
            self.send("heartbeat", [*VALID_HEARTBEAT[:6], [fact]])
        self.check_link()
        for record in changed(VALID_RECORD):
            if record[0] == "other":
                self.send("members", [1, [record]])
                self.send("leave", record)
        for body in changed([0, {"z1": 1}]) + changed([1, []]):
            self.send("members", body)
        self.check_link()
        for body in changed(["stranger", 7, "limit_report", None]):
            self.send("broadcast", body)
        self.check_link()

    def test_malformed_requests_cost_themselves_only(self):
        """Guards against a VM that stops at a malformed request.

        A decimal fraction with a large exponent in a message about a rate
        limit was converted to an integer, which blocked all green threads.
        """
        self.connect()
        kinds = self.known_kinds()
        self.assertIn("fleet", kinds)
        for kind in kinds:
            for number, body in itertools.product((0, 5), VALUES):
                self.send("request", [number, kind, body])
            for size in range(1, 12):
                for value in VALUES:
                    self.send("request", [0, kind, [value] * size])
            for raw in RAW_BODIES:
                head = b"\x83\x00" + cbor2.dumps(kind)
                self.send_raw("request", head + raw)
                self.send_raw("request", head + b"\x85\x61a\x61b" + 3 * raw)
                self.send_raw("request", head + b"\x89" + 9 * raw)
            self.check_link()
        for body in changed([5, "fleet", {"version": 0}]):
            self.send("request", body)
        for body in changed([5, "", None]):
            self.send("reply", body)
        self.check_link()

    def test_members_at_odd_addresses_do_not_end_dialling(self):
        """Guards against a dial that fails and keeps its place for ever."""
        self.connect("zz")
        for port in (70000, -1, 99999):
            address = f"127.0.0.1:{port}"
            record = [f"zz{port}", "s", "r", "z1", address, 0, 0, False]
            self.send("members", [1, [record]])
        for _ in range(6):
            eventlet.sleep(0.5)
            self.send("heartbeat", VALID_HEARTBEAT)
        dialled = eventlet.listen(("127.0.0.1", 0))
        address = f"127.0.0.1:{dialled.getsockname()[1]}"
        record = ["zzz", "s", "r", "z1", address, 0, 0, False]
        self.send("members", [1, [record]])
        with eventlet.Timeout(TIMEOUT_S):
            dialled.accept()
        self.check_link()

    def test_malformed_record_costs_no_other_record(self):
        """Guards against members that stay unknown beside a malformed one."""
        self.connect("zz")
        dialled = eventlet.listen(("127.0.0.1", 0))
        address = f"127.0.0.1:{dialled.getsockname()[1]}"
        record = ["zzz", "s", "r", "z1", address, 0, 0, False]
        odd = [r for r in changed(VALID_RECORD) if r[0] == "other"]
        self.send("members", [1, [*odd, 7, None, [], {}, record]])
        with eventlet.Timeout(TIMEOUT_S):
            dialled.accept()
        self.check_link()

    def test_malformed_reply_of_a_peer_does_not_end_the_watch(self):
        """Guards against a VM that follows the store no longer.

        While the store was away, the VM asked its peers. A reply without
        versions raised an error that ended the thread which follows the store.
        """
        self.connect()
        self.platform.is_down = True
        row = ["i-x", "desk", "127.0.0.1:9", "z1", 4, False, 0, 5]
        valid = {"document": b"", "servers": [], "versions": {}, "removed": []}
        replies = itertools.cycle(
            [
                *[{**valid, "servers": [row], "versions": []}] * 3,
                {**valid, "servers": [[*row[:7], HUGE]]},
                *({**valid, name: 7} for name in valid),
                *VALUES[:6],
            ]
        )
        replied = 0
        for _ in range(60):
            self.send("heartbeat", VALID_HEARTBEAT)
            replied += self.reply_to_requests(replies)
            eventlet.sleep(0.1)
        self.assertGreater(replied, 0)
        self.platform.is_down = False
        self.platform.put_server("desk-b")
        self.platform.put("servers/i-desk-a", None)
        fields = [("Savoryspar-Key", "key-1")]
        with eventlet.Timeout(TIMEOUT_S):
            while not self.request(
                "callers", "POST", "/o/1", fields, b"1"
            ).endswith(b"desk-b"):
                eventlet.sleep(0.05)

    def reply_to_requests(self, replies):
        """Replies to the requests for servers; returns their number."""
        replied = 0
        while True:
            try:
                frame = frames.decode(self.conn.recv(timeout=0.01))
            except TimeoutError:
                return replied
            if frame.kind == "request" and frame.body[1] == "fleet":
                self.send("reply", [frame.body[0], "", next(replies)])
                replied += 1
