"""Tests that several VMs together keep the rate limit that a server names."""

import itertools
import time

import eventlet

from tests.gateway import node_case

LIMIT_PER_S = 1.0
REQUESTS_PER_S = 40
LOAD_S = 9.0
WINDOW_S = 4.0
BOUND = 1.5 * LIMIT_PER_S * WINDOW_S + 5
"""Requests that the platform allows in a window."""
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


class LimitCase(node_case.NodeCase):
    """Sends requests to several VMs and collects the answers."""

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

    def load(self, target, duration_s):
        """Sends requests at a steady rate, evenly over all VMs."""
        pool = eventlet.GreenPool(200)
        ends_at = time.monotonic() + duration_s
        while time.monotonic() < ends_at:
            pool.spawn_n(self._request, target)
            eventlet.sleep(1.0 / REQUESTS_PER_S)
        pool.waitall()


class ServerLimitTest(LimitCase):
    platform_class = LimitingPlatform
    vm_count = 4

    def _check_limit(self, server, target):
        self.load(target, 1.0)
        self.platform.limits[server] = LIMIT_PER_S
        self.answers.clear()
        self.load(target, LOAD_S)
        self.assertLessEqual(self.platform.worst_window(server), BOUND)
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


class SingleServerPlatform(LimitingPlatform):
    """One server for each service."""

    servers = ("desk", "lm", "prep")


class AllServersLimitedTest(LimitCase):
    """The only server of a service names a limit, so work must be refused."""

    platform_class = SingleServerPlatform
    vm_count = 3

    def _check_refusals(self, server, target):
        self.load(target, 1.0)
        self.platform.limits[server] = LIMIT_PER_S
        self.load(target, 1.0)
        self.answers.clear()
        self.load(target, LOAD_S)
        self.assertLessEqual(self.platform.worst_window(server), BOUND)
        served = 0
        for text in self.answers:
            head = text.partition(b"\r\n\r\n")[0]
            if head.startswith(b"HTTP/1.1 200"):
                served += 1
                continue
            self.assertTrue(head.startswith(b"HTTP/1.1 503"), head)
            self.assertIn(b"\r\nRetry-After: ", head)
        return served

    def test_plain_requests_above_the_limit_are_refused(self):
        """Guards against requests that are held, lost or sent all the same."""
        served = self._check_refusals("desk", "/o/1")
        self.assertGreaterEqual(served, 0.8 * LIMIT_PER_S * LOAD_S)

    def test_streams_above_the_limit_are_refused(self):
        """Guards against streams that are held, lost or sent all the same."""
        served = self._check_refusals("lm", "/n/1")
        self.assertGreaterEqual(served, 0.8 * LIMIT_PER_S * LOAD_S)

    def test_pieces_above_the_limit_are_refused(self):
        """Guards against pieces that are held, lost or sent all the same.

        A call has up to four pieces, so more requests are served than calls
        are allowed.
        """
        served = self._check_refusals("prep", "/n/1")
        self.assertGreaterEqual(served, 2.0 * LIMIT_PER_S * LOAD_S)

    def test_work_resumes_when_the_limit_ends(self):
        """Guards against a limit that outlasts its server's need for it."""
        self.platform.limits["desk"] = LIMIT_PER_S
        self.load("/o/1", 3.0)
        del self.platform.limits["desk"]
        self.load("/o/1", 2.0)
        self.answers.clear()
        self.load("/o/1", 2.0)
        served = [a.startswith(b"HTTP/1.1 200") for a in self.answers]
        self.assertGreaterEqual(sum(served), 0.95 * len(served))

    def test_malformed_limits_change_nothing(self):
        """Guards against a server that stops traffic by a malformed field."""
        for text in ("", "-1", "nan", "9" * 400, "1e400"):
            self.platform.limits["desk"] = text
            self.load("/o/1", 0.5)
        served = [a.startswith(b"HTTP/1.1 200") for a in self.answers]
        self.assertEqual(len(served), sum(served))
