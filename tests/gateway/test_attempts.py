"""Tests of retries and of requests that crash servers."""

import testtools

from savoryspar import backends, blame, fleet, log, routing
from savoryspar.gateway import attempts, model
from tests.gateway import event_logs, lone_vm, requests


class Placement:
    """A placement on the named server."""

    def __init__(self, name):
        self.server = backends.Server(name, "127.0.0.1:1", "r", "z", "p")
        self.answer_started_at = None


class AttemptsCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.router = routing.new_router(log.new_decision_log(0.0))
        self.events = event_logs.new_event_log(self)
        self.now = 1.0
        self.blame = lone_vm.new_blame(self.router, self.events, self.clock)

    def clock(self):
        return self.now

    def new_attempts(self, job):
        return attempts.Attempts(
            job, self.router, None, self.blame, self.events, self.clock
        )


class CrashTest(AttemptsCase):
    def attempts(self):
        req = requests.caller_request()
        job = model.Job(
            req,
            requests.route(),
            "p",
            "w",
            0,
            0.0,
            1.0,
            8.0,
            1,
            attempts.fingerprint("w", req),
        )
        return self.new_attempts(job)

    def verdict(self):
        work = blame.new_work(
            attempts.fingerprint("w", requests.caller_request()), "w", "p", "m"
        )
        return self.blame.table.assess(work, "", 9.0).verdict

    def test_request_that_crashes_two_servers_is_blocked(self):
        """Guards against a request that crashes one server after another."""
        for name in ("s1", "s2"):
            self.attempts().report_crash(Placement(name), 1.0)
        self.assertEqual(blame.Verdict.BLOCKED, self.verdict())
        self.assertRaises(model.GatewayError, self.attempts().check, 9.0)

    def test_request_that_succeeds_in_between_is_not_blocked(self):
        """Guards against a request blocked for an hour after two power cuts.

        Equal requests for one busy key were in flight at both crashes and
        succeeded in between (soak --seed 19 --for 15).
        """
        self.attempts().report_crash(Placement("s1"), 1.0)
        self.attempts().report_success(Placement("s1"), 2.0)
        self.attempts().report_crash(Placement("s2"), 3.0)
        self.assertEqual(blame.Verdict.CLEAR, self.verdict())
        self.attempts().report_crash(Placement("s3"), 4.5)
        self.assertEqual(blame.Verdict.BLOCKED, self.verdict())


class RepeatTest(AttemptsCase):
    def acquire_retry(self, has_not_run, **route):
        job = model.Job(
            requests.caller_request(),
            requests.route(**route),
            "p",
            "w",
            0,
            0.0,
            1.0,
            8.0,
            1,
            "f",
        )
        job_attempts = self.new_attempts(job)
        self.router.record_call("p")
        if not has_not_run:
            job_attempts.record_send()
        return job_attempts.acquire_retry(
            Placement("s1"), has_not_run, "test", 0.5
        )

    def test_work_that_may_have_run_is_not_run_again(self):
        """Guards against an order that runs twice after a lost answer."""
        once = {"kind": fleet.RouteKind.ONCE, "attempts": 3}
        self.assertFalse(self.acquire_retry(False, **once))
        self.assertTrue(self.acquire_retry(True, **once))

    def test_repeatable_work_is_retried_within_its_attempts(self):
        """Guards against a look-up that fails with its first server."""
        idempotent = {"kind": fleet.RouteKind.IDEMPOTENT}
        self.assertTrue(self.acquire_retry(False, attempts=2, **idempotent))
        self.assertFalse(self.acquire_retry(False, attempts=1, **idempotent))
