"""Stand-ins of model engines that end under some requests."""

import contextlib
import random
import socket
import struct
import time

import eventlet

from tests.gateway import node_case

DOWN_S = 2.0
"""Time for which an engine that crashed refuses connections."""
CRASH_DELAY_S = 0.08
"""Time from the arrival of a request to the crash of its engine."""
EVENTS = 6
EVENT_INTERVAL_S = 0.08
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Engine:
    """An engine that streams events, and cuts all streams when it crashes.

    Attributes:
        address: ``IP:port``.
        crashed_at: Times of its crashes.
    """

    def __init__(self, platform):
        self._platform = platform
        self._conns = set()
        self._listener = eventlet.listen(("127.0.0.1", 0), reuse_port=False)
        self._port = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{self._port}"
        self.crashed_at = []
        eventlet.spawn(self._accept, self._listener)

    def _accept(self, listener):
        with contextlib.suppress(OSError):
            while True:
                conn, _ = listener.accept()
                eventlet.spawn(self._serve, conn)

    def crash(self):
        """Resets all connections and refuses new ones for a while."""
        if self._listener is None:
            return
        self.crashed_at.append(time.monotonic())
        listener, self._listener = self._listener, None
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        for conn in [*self._conns]:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RD)
            conn.close()
        self._conns.clear()
        eventlet.spawn_after(DOWN_S, self._start)

    def _start(self):
        self._listener = eventlet.listen(("127.0.0.1", self._port))
        eventlet.spawn(self._accept, self._listener)

    def _serve(self, conn):
        self._conns.add(conn)
        with contextlib.suppress(OSError, ValueError, EOFError):
            while fields := read_request(conn):
                self._answer(conn, fields)
        self._conns.discard(conn)
        conn.close()

    def _answer(self, conn, fields):
        attempt_id = fields["savoryspar-attempt-id"]
        parts = fields["savoryspar-prefix-hash"].split(",")
        names = frozenset(part.partition(":")[0] for part in parts[:-1])
        is_bad = self._platform.is_bad(names, fields["savoryspar-model"])
        self._platform.arrivals.append((time.monotonic(), attempt_id, is_bad))
        first = int(fields.get("last-event-id", -1)) + 1
        eventlet.sleep(CRASH_DELAY_S)
        if is_bad:
            self.crash()
            return
        conn.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Savoryspar-Seal: s\r\nTransfer-Encoding: chunked\r\n"
            b"Savoryspar-Attempt-Id: %s\r\n\r\n" % attempt_id.encode()
        )
        for number in range(first, EVENTS):
            event = b"id: %d\ndata: x\n\n" % number
            conn.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            eventlet.sleep(EVENT_INTERVAL_S)
        conn.sendall(b"0\r\n\r\n")


def read_request(conn):
    """Returns the header fields of the next request, empty at the end."""
    data = b""
    while b"\r\n\r\n" not in data:
        received = conn.recv(65536)
        if not received:
            return {}
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    fields = {
        name.strip().lower(): value.strip()
        for line in head.decode().split("\r\n")[1:]
        for name, _, value in [line.partition(":")]
    }
    missing = int(fields.get("content-length", 0)) - len(body)
    while missing > 0:
        missing -= len(conn.recv(missing))
    return fields


class CrashingPlatform(node_case.Platform):
    """Seven engines that crash under parts of prompts.

    Attributes:
        bad: Names of bad parts with the model on which they crash engines,
            empty for any.
        arrivals: Time, attempt and whether it crashed the engine, for each
            request that reached an engine.
        engines: The engines by name.
    """

    servers = tuple(f"lm-{number}" for number in range(1, 8))
    configuration = {
        **node_case.CONFIGURATION,
        "routes": [
            {
                "name": name,
                "host": "h.example",
                "prefix": f"/{name}/",
                "route-kind": "stream",
                "timeout-ms": 6000,
                "goal-ms": 1000,
                "gap-goal-ms": 300,
                "attempts": attempts,
                "resumable": resumable,
                "sticky": True,
                "service": "lm",
            }
            for name, attempts, resumable in (
                ("notes", 1, False),
                ("drafts", 3, True),
            )
        ],
        "tenants": [
            {"name": f"ws{n}", "api-keys": [f"key-{n}"], "priority": 1}
            for n in range(3)
        ],
    }

    def __init__(self):
        self.bad = {}
        self.arrivals = []
        self.engines = {name: Engine(self) for name in self.servers}
        super().__init__()

    def _serve(self, app):
        if isinstance(app, Engine):
            return app.address
        return super()._serve(app)

    def server_app(self, name):
        return self.engines[name]

    def is_bad(self, names, model):
        """Returns whether a request with these parts crashes its engine."""
        return any(self.bad.get(name) in ("", model) for name in names)

    def crash_times(self):
        """Returns the times of all crashes, ordered."""
        return sorted(
            at for engine in self.engines.values() for at in engine.crashed_at
        )

    def bad_arrivals(self, since=0.0):
        """Returns the times at which bad requests reached engines."""
        return [at for at, _, is_bad in self.arrivals if is_bad and at > since]


class Outcome:
    """What a caller got.

    Attributes:
        sent_at, took_s: When it was sent, and how long the answer took.
        kind: Kind of the request, chosen by the test.
        status: Status code, 0 without an answer.
        is_whole: Whether all events arrived, and the end of the answer.
        text: The raw answer.
    """

    def __init__(self, sent_at, kind, text):
        self.sent_at = sent_at
        self.took_s = time.monotonic() - sent_at
        self.kind = kind
        self.text = text
        self.status = int(text[9:12] or 0)
        self.is_whole = (
            self.status == 200
            and text.endswith(b"0\r\n\r\n")
            and text.count(b"id: ") == EVENTS
        )


class CrashCase(node_case.NodeCase):
    """Sends streams with prompt parts to several VMs."""

    platform_class = CrashingPlatform
    vm_count = 4
    sound_per_s = 24

    def setUp(self):
        super().setUp()
        self.rng = random.Random(5)
        self.outcomes = []
        self.pool = eventlet.GreenPool(400)
        self.sent = 0

    def send(
        self, kind, parts, model="m", vm=None, workspace=0, target="/notes/x"
    ):
        """Sends a request in the background."""
        number = self.sent
        self.sent += 1
        vm = self.rng.randrange(self.vm_count) if vm is None else vm
        prefix = [*parts, f"aa{number:06x}"]
        fields = [
            ("Savoryspar-Attempt-Id", f"a{number}"),
            ("Savoryspar-Key", f"key-{workspace}"),
            ("Savoryspar-Deadline-Ms", "6000"),
            ("Savoryspar-Model", model),
            ("Savoryspar-Token-Count", "900,30"),
            ("Savoryspar-Prefix-Hash", ",".join(f"{p}:300" for p in prefix)),
        ]

        def run():
            sent_at = time.monotonic()
            text = self.request(
                "callers",
                "POST",
                target,
                fields,
                b"%d" % number,
                self.vm_ports[vm],
            )
            self.outcomes.append(Outcome(sent_at, kind, text))

        self.pool.spawn_n(run)

    def send_sound(self, **kwargs):
        """Sends a request whose parts no engine crashes on."""
        middle = f"b{self.rng.randrange(8):x}"
        self.send("sound", ["a0", middle], **kwargs)

    def play(self, duration_s, send_bad=None, gap_s=(0.3, 0.9)):
        """Sends sound requests, and bad ones at random intervals.

        Args:
            duration_s: How long.
            send_bad: Sends a bad request; None for none.
            gap_s: Range of the time between two bad requests.
        """
        now = time.monotonic()
        ends_at = now + duration_s
        next_bad_at = now if send_bad else ends_at
        while (now := time.monotonic()) < ends_at:
            self.send_sound()
            if now >= next_bad_at:
                send_bad()
                next_bad_at = now + self.rng.uniform(*gap_s)
            eventlet.sleep(1.0 / self.sound_per_s)

    def share(self, since, until, kind="sound"):
        """Returns the share of requests of a kind that were served whole."""
        found = [
            outcome.is_whole
            for outcome in self.outcomes
            if outcome.kind == kind and since <= outcome.sent_at < until
        ]
        return sum(found) / len(found)
