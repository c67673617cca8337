"""Tests that several VMs together keep the rate limit that a server names."""

import itertools
import time

import eventlet

from tests.gateway import node_case

LIMIT_PER_S = 1.0
REQUESTS_PER_S = 40
LOAD_S = 9.0
WINDOW_S = 4.0
NOTICE_S = 0.5
"""Time after which a VM that relayed an answer with a limit must keep it."""


class LimitingPlatform(node_case.Platform):
    """Two servers for each service, of which one may name a limit.

    Attributes:
        limits: Limit in requests per second by server.
        arrivals: Times of all requests, stage calls and calls that free
            results, by server.
        named_at: When a server first named its limit, by server.
    """

    servers = ("desk-1", "desk-2", "lm-1", "lm-2", "prep-1", "prep-2")

    def __init__(self):
        self.limits = {}
        self.arrivals = {name: [] for name in self.servers}
        self.named_at = {}
        super().__init__()

    def server_app(self, name):
        app = super().server_app(name)

        def limited(environ, start_response):
            self.arrivals[name].append(time.monotonic())

            def start(status, fields):
                if name in self.limits:
                    self.named_at.setdefault(name, time.monotonic())
                    limit = ("Server-Limit", str(self.limits[name]))
                    fields = [*fields, limit]
                return start_response(status, fields)

            return app(environ, start)

        return limited

    def worst_window(self, server):
        """Returns the most arrivals in a window from the time of notice on."""
        since = self.named_at[server] + NOTICE_S
        times = [at for at in self.arrivals[server] if at >= since]
        return max(
            sum(start <= at < start + WINDOW_S for at in times)
            for start in [*times, since]
        )


class ServerLimitTest(node_case.NodeCase):
    platform_class = LimitingPlatform
    vm_count = 4

    def setUp(self):
        super().setUp()
        self.numbers = itertools.count()
        self.answers = []

    def _request(self, target):
        number = next(self.numbers)
        fields = [
            ("Savoryspar-Attempt-Id", f"a{number}"),
            ("Savoryspar-Key", "key-1"),
            ("Savoryspar-Deadline-Ms", "3000"),
            ("Savoryspar-Pieces", "1"),
            ("Savoryspar-Piece-Key", "pk"),
        ]
        ports = self.vm_ports[number % self.vm_count]
        self.answers.append(
            self.request(
                "callers", "POST", target, fields, b"%d" % number, ports
            )
        )

    def _load(self, target, duration_s):
        """Sends requests at a steady rate, evenly over all VMs."""
        pool = eventlet.GreenPool(200)
        ends_at = time.monotonic() + duration_s
        while time.monotonic() < ends_at:
            pool.spawn_n(self._request, target)
            eventlet.sleep(1.0 / REQUESTS_PER_S)
        pool.waitall()

    def _check_limit(self, server, target):
        self._load(target, 1.0)
        self.platform.limits[server] = LIMIT_PER_S
        self.answers.clear()
        self._load(target, LOAD_S)
        self.assertLessEqual(
            self.platform.worst_window(server),
            1.5 * LIMIT_PER_S * WINDOW_S + 5,
        )
        served = sum(a.startswith(b"HTTP/1.1 200") for a in self.answers)
        self.assertGreaterEqual(served, 0.95 * len(self.answers))

    def test_fleet_keeps_limit_of_plain_server(self):
        """Guards against VMs that together exceed the limit of a server.

        When the field was ignored, four VMs sent 45 requests in 4 s to a plain
        server that accepts 1 per second, 39 to an engine and 59 to a stage
        server; 11 are allowed.
        """
        self._check_limit("desk-1", "/o/1")

    def test_fleet_keeps_limit_of_engine(self):
        """Guards against streams that exceed the limit of an engine."""
        self._check_limit("lm-1", "/n/1")

    def test_fleet_keeps_limit_of_stage_server(self):
        """Guards against calls that run or free pieces above the limit."""
        self._check_limit("prep-1", "/n/1")
