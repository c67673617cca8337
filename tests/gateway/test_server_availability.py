"""Tests that an entry VM process acts on availability that servers report."""

import itertools

import eventlet

from tests.gateway import node_case

PAUSE_S = 1.5


class AvailabilityPlatform(node_case.Platform):
    """Servers that announce that they leave, or refuse requests for a time."""

    def __init__(self):
        self.availability_fields = {}
        self.request_counts = {"desk": 0, "lm": 0, "prep": 0}
        super().__init__()

    def set_availability(self, service, *availability_fields):
        self.availability_fields[service] = availability_fields

    def _answer(self, service, app, environ, start_response):
        if environ["PATH_INFO"] != "/-/stage-free":
            self.request_counts[service] += 1
        availability_fields = self.availability_fields.get(service, ())
        if any(name == "Retry-After" for name, _ in availability_fields):
            start_response(
                "503 Busy", [*availability_fields, ("Savoryspar-Not-Run", "1")]
            )
            return [b""]

        def start(status, fields):
            return start_response(status, [*fields, *availability_fields])

        return app(environ, start)

    def desk(self, environ, start_response):
        return self._answer("desk", super().desk, environ, start_response)

    def engine(self, environ, start_response):
        return self._answer("lm", super().engine, environ, start_response)

    def stage(self, environ, start_response):
        return self._answer("prep", super().stage, environ, start_response)


class ServerAvailabilityTest(node_case.NodeCase):
    """Each service has a single server, so no other can mask a fault."""

    platform_class = AvailabilityPlatform

    def setUp(self):
        super().setUp()
        self.numbers = itertools.count()

    def _request(self, target):
        fields = [
            ("Savoryspar-Attempt-Id", f"a{next(self.numbers)}"),
            ("Savoryspar-Key", "key-1"),
            ("Savoryspar-Deadline-Ms", "3000"),
            ("Savoryspar-Pieces", "1"),
            ("Savoryspar-Piece-Key", "pk"),
        ]
        return self.request("callers", "POST", target, fields, b"x")

    def _requests_after(self, service, target, availability_fields):
        """Returns the answers and request count once the fields are set."""
        self._request(target)
        self.platform.set_availability(service, *availability_fields)
        self._request(target)
        eventlet.sleep(0.5)
        before = self.platform.request_counts[service]
        answers = [self._request(target) for _ in range(10)]
        return answers, self.platform.request_counts[service] - before

    def test_leaving_server_gets_no_request(self):
        """Guards against requests to a server that announced that it leaves.

        When the field was ignored, 34 of 60 plain requests, 33 of 60 streams
        and 50 stage calls reached such a server, the only one of its service.
        """
        availability_fields = [("Server-Leaving", "1")]
        for service, target in (("desk", "/o/1"), ("lm", "/n/1")):
            answers, reached = self._requests_after(
                service, target, availability_fields
            )
            self.assertEqual(0, reached, service)
            for text in answers:
                self.assertTrue(text.startswith(b"HTTP/1.1 503"), text)
                self.assertNotIn(b"Server-Leaving", text)

    def test_leaving_stage_server_gets_no_pieces(self):
        """Guards against pieces sent to a stage server that leaves."""
        availability_fields = [("Server-Leaving", "1")]
        answers, reached = self._requests_after(
            "prep", "/n/1", availability_fields
        )
        self.assertEqual(0, reached)
        self.assertTrue(answers[0].startswith(b"HTTP/1.1 503"), answers[0])

    def test_server_gets_no_request_before_retry_after(self):
        """Guards against requests before the end of a server's Retry-After.

        When the field was ignored, 25 of 31 plain requests, 24 streams and 46
        stage calls for 3 requests reached such a server; two are allowed.
        """
        availability_fields = [("Retry-After", str(PAUSE_S))]
        for service, target in (
            ("desk", "/o/1"),
            ("lm", "/n/1"),
            ("prep", "/n/1"),
        ):
            answers, reached = self._requests_after(
                service, target, availability_fields
            )
            self.assertLessEqual(reached, 2, service)
            for text in answers:
                self.assertTrue(text.startswith(b"HTTP/1.1 503"), text)
                self.assertIn(b"Retry-After", text)
            self.platform.set_availability(service)
            eventlet.sleep(PAUSE_S)
            text = self._request(target)
            self.assertTrue(text.startswith(b"HTTP/1.1 200"), text)
