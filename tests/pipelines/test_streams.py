"""Tests of streams over engines that fail, with real processes."""

import time

import testtools

from savoryspar.standins import engine
from tests.pipelines import fleets

TOKENS = 40
PROMPT = "Guion: la plaza vacia."
MESSAGES = [{"role": "user", "content": PROMPT}]
EXPECTED_ANSWER = (
    [engine.token(MESSAGES, position, 1) for position in range(TOKENS)],
    ["stop", "[DONE]"],
)


class StreamTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fleets.EngineFleet()
        self.addCleanup(self.fleet.close)
        self.fleet.start_all(step_ms=10)

    def running(self):
        return [
            (name, run)
            for name, runs in self.fleet.runs().items()
            for run in runs
            if run["state"] == "running"
        ]

    def wait_idle(self):
        for _ in range(200):
            if not self.running():
                return
            time.sleep(0.02)

    def read_answer(self):
        return fleets.parse_stream(self.fleet.stream(PROMPT, TOKENS).read())

    def test_engine_killed_mid_stream(self):
        """A resumed stream must have each token exactly once, in order."""
        resp = self.fleet.stream(PROMPT, TOKENS)
        received = resp.read(600)
        [(name, run)] = self.running()
        self.assertLess(run["tokens_out"], TOKENS)
        self.fleet.processes[name].kill()
        tokens, other_events = fleets.parse_stream(received + resp.read())
        self.assertEqual(EXPECTED_ANSWER, (tokens, other_events))
        attempts = [
            run["attempt_id"]
            for runs in self.fleet.runs().values()
            for run in runs
        ]
        self.assertEqual(len(attempts), len(set(attempts)))

    def test_engine_that_closes_the_stream_early(self):
        """A clean close before the last event must not end the answer."""
        self.fleet.control_engines(end_after_tokens=25)
        self.assertEqual(EXPECTED_ANSWER, self.read_answer())
        states = [r["state"] for rs in self.fleet.runs().values() for r in rs]
        self.assertIn("ended_early", states)

    def test_every_engine_closes_the_stream_early(self):
        """An incomplete answer must not end with ``[DONE]``."""
        self.fleet.control_engines(end_after_tokens=3)
        tokens, other_events = self.read_answer()
        self.assertLess(len(tokens), TOKENS)
        self.assertNotIn("[DONE]", other_events)
        self.assertEqual(1, len(other_events))

    def test_caller_that_disconnects(self):
        """A generation whose caller disconnected must free its slot."""
        for _ in range(12):
            resp = self.fleet.stream(PROMPT, 2000)
            resp.read(300)
            resp.close()
        self.wait_idle()
        self.assertEqual([], self.running())
        states = [r["state"] for rs in self.fleet.runs().values() for r in rs]
        self.assertEqual(12, states.count("cancelled"))

    def test_caller_that_disconnects_before_the_first_event(self):
        """A call without response headers must be cancelled, too."""
        self.fleet.control_engines(is_paused=True)
        for _ in range(30):
            self.fleet.post_and_disconnect(PROMPT)
        time.sleep(0.3)
        self.fleet.control_engines(is_paused=False)
        self.assertEqual(TOKENS, len(self.read_answer()[0]))
