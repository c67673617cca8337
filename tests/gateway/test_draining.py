"""Tests of what a stopping entry VM passes on, without processes."""

import types

from savoryspar import fleet, routing
from savoryspar.gateway import attempts, draining, model
from tests.gateway import requests, test_attempts

ENDS_AT = 107.6


class Placement(test_attempts.Placement):
    """A placement that records how it ended."""

    def __init__(self):
        super().__init__("s1")
        self.placer = self.reason = ""
        self.outcomes = []

    def finish(self, outcome, facts, now):
        self.outcomes.append(outcome)


def new_job(received_at, deadline_s, **route):
    return model.Job(
        requests.caller_request(),
        requests.route(**route),
        "p",
        "w",
        0,
        received_at,
        received_at + 1.0,
        received_at + deadline_s,
        1,
        "f",
    )


class DrainTest(test_attempts.AttemptsCase):
    def setUp(self):
        super().setUp()
        self.drain = draining.Drain()

    def is_accepted(self, received_at, deadline_s, **route):
        """Returns whether a job is passed on; its deadline is limited."""
        job = new_job(received_at, deadline_s, **route)
        try:
            self.drain.check(job, received_at)
        except model.GatewayError as exc:
            self.assertTrue(exc.status.startswith("503"))
            self.assertGreater(exc.retry_after_s, 0.0)
            return False
        last_at = self.drain.ends_at - draining.ANSWER_MARGIN_S
        self.assertLessEqual(job.abandon_at, last_at)
        is_stream = job.route.kind is fleet.RouteKind.STREAM
        self.assertEqual(
            received_at + deadline_s
            if is_stream
            else min(received_at + deadline_s, last_at),
            job.deadline_at,
        )
        return True

    def test_request_is_accepted_before_a_stop(self):
        """Guards against refusals by a VM that does not stop."""
        for kind in fleet.RouteKind:
            self.assertTrue(self.is_accepted(100.0, 900.0, kind=kind))

    def test_request_whose_deadline_fits_is_accepted(self):
        """Guards against refusals of what surely ends in time."""
        self.drain.start(100.0, ENDS_AT)
        for kind in fleet.RouteKind:
            self.assertTrue(self.is_accepted(106.0, 1.0, kind=kind))

    def test_unsafe_request_needs_its_whole_deadline(self):
        """Guards against work that runs without an answer to its caller."""
        self.drain.start(100.0, ENDS_AT)
        once = {"kind": fleet.RouteKind.ONCE, "objective_s": 0.1}
        for received_at in (100.1, 103.0, 107.5):
            self.assertFalse(self.is_accepted(received_at, 8.0, **once))

    def test_repeatable_request_needs_its_expected_duration(self):
        """Guards against work that another VM would have finished."""
        self.drain.start(100.0, ENDS_AT)
        safe = {"kind": fleet.RouteKind.IDEMPOTENT, "objective_s": 0.2}
        self.assertTrue(self.is_accepted(106.0, 8.0, **safe))
        self.assertFalse(self.is_accepted(107.0, 8.0, **safe))
        for _ in range(10):
            self.drain.durations.record("r", 3.0)
        self.assertTrue(self.is_accepted(104.0, 8.0, **safe))
        self.assertFalse(self.is_accepted(106.0, 8.0, **safe))

    def test_stream_needs_its_expected_duration(self):
        """Guards against streams that break off at the end of the process."""
        self.drain.start(100.0, ENDS_AT)
        self.assertFalse(self.is_accepted(100.1, 30.0))
        for duration_s in [1.0] * 19 + [6.0]:
            self.drain.durations.record("r", duration_s)
        self.assertTrue(self.is_accepted(102.0, 30.0))
        for _ in range(draining.RECENT_DURATIONS):
            self.drain.durations.record("r", 6.0)
        self.assertTrue(self.is_accepted(101.0, 30.0))
        self.assertFalse(self.is_accepted(102.0, 30.0))

    def test_stream_is_not_accepted_late_without_a_deadline(self):
        """Guards against long streams of a route whose others are short."""
        self.drain.start(100.0, ENDS_AT)
        for _ in range(20):
            self.drain.durations.record("r", 0.5)
        self.assertTrue(self.is_accepted(102.4, 30.0))
        self.assertFalse(self.is_accepted(102.6, 30.0))

    def test_request_that_waits_at_the_start_of_a_stop_is_not_sent_late(self):
        """Guards against unsafe requests sent at the end of the grace time.

        Only new requests were checked; one that waited for a permit of a
        server or was refused by a full one was sent at any time.
        """
        job = new_job(99.0, 30.0, kind=fleet.RouteKind.ONCE)
        job.check_stop = self.drain.check
        placement = Placement()
        placer = types.SimpleNamespace(place=lambda *args: placement)
        job_attempts = attempts.Attempts(
            job, self.router, placer, self.blame, self.events, self.clock
        )
        self.assertIs(placement, job_attempts.choose(99.0))
        self.drain.start(100.0, ENDS_AT)
        self.assertRaises(model.GatewayError, job_attempts.choose, 107.0)
        self.assertEqual([routing.Outcome.CANCELLED], placement.outcomes)

    def test_repeat_ends_before_the_process(self):
        """Guards against a repeated request that outlasts the process."""
        self.drain.start(100.0, ENDS_AT)
        job = new_job(99.0, 30.0, kind=fleet.RouteKind.IDEMPOTENT)
        job.sends = 1
        self.drain.check(job, 107.0)
        self.assertLess(job.deadline_at, ENDS_AT)
        self.assertRaises(model.GatewayError, self.drain.check, job, 107.5)
