"""Tests of parts of prompts that crash each engine that answers them."""

import time

from tests.gateway import crashing_engines

CONTACT_S = 4.0
"""Time after the fifth crash from which the platform counts bad requests."""
MAX_LATE_SENDS = 3
MAX_CRASHES = 4
"""Fewer than five engines may be spent on one bad part."""
SOUND_SHARE = 0.95
"""Share of the sound requests that must still be served at the first attempt,
relative to the time before."""
MAX_REFUSAL_S = 0.5
WARM_UP_S = 3.0
PLAY_S = 12.0


class SearchCase(crashing_engines.CrashCase):
    def play_and_check(self, send_bad, max_crashes=MAX_CRASHES):
        """Sends sound requests, then bad ones as well; checks the bounds."""
        started_at = time.monotonic()
        self.play(WARM_UP_S)
        bad_at = time.monotonic()
        self.play(PLAY_S, send_bad)
        ended_at = time.monotonic()
        self.pool.waitall()
        crashes = self.platform.crash_times()
        self.assertTrue(crashes)
        late = []
        if len(crashes) >= 5:
            late = self.platform.bad_arrivals(crashes[4] + CONTACT_S)
        self.assertLessEqual(len(late), MAX_LATE_SENDS)
        self.assertLessEqual(len(crashes), max_crashes)
        # Streams that the first crash cut are not those of before.
        before = self.share(started_at, bad_at - 1.0)
        self.assertGreaterEqual(
            self.share(bad_at + CONTACT_S, ended_at), SOUND_SHARE * before
        )

    def check_refusals(self):
        """Checks that the last bad requests were refused at once."""
        bad = [outcome for outcome in self.outcomes if outcome.kind == "bad"]
        for outcome in bad[-3:]:
            self.assertEqual(503, outcome.status, outcome.text)
            self.assertNotIn(b"Retry-After", outcome.text)
            self.assertLess(outcome.took_s, MAX_REFUSAL_S)


class BadPartTest(SearchCase):
    def test_bad_part_in_the_middle_stops_reaching_engines(self):
        """Guards against one part of prompts that crashes engine after engine.

        Requests that share it were not alike, so no record of one applied to
        the next.
        """
        self.platform.bad = {"bad": ""}
        self.play_and_check(lambda: self.send("bad", ["a0", "bad"]))
        self.check_refusals()

    def test_first_bad_part_stops_reaching_engines(self):
        """Guards against a bad part that only counts where it is not first."""
        self.platform.bad = {"bad": ""}
        self.play_and_check(lambda: self.send("bad", ["bad", "b1"]))


class BadPartCasesTest(SearchCase):
    def test_two_bad_parts_of_several_workspaces_are_found(self):
        """Guards against a search that follows one part or workspace only."""
        self.platform.bad = {"bad": "", "bad2": ""}
        self.play_and_check(
            lambda: self.send(
                "bad",
                ["a0", self.rng.choice(["bad", "bad2"])],
                workspace=self.rng.randrange(3),
            ),
            2 * MAX_CRASHES,
        )

    def test_part_that_is_bad_on_one_model_is_served_on_the_other(self):
        """Guards against sound requests refused for another model's fault."""
        self.platform.bad = {"b1": "m2"}
        self.play_and_check(lambda: self.send("bad", ["a0", "b1"], model="m2"))
        self.check_refusals()

    def test_resumed_streams_and_returning_callers_are_stopped(self):
        """Guards against repeats that crash the next engine at once."""
        self.platform.bad = {"bad": ""}

        def send_twice():
            for _ in range(2):
                self.send("bad", ["a0", "bad"], target="/drafts/x")

        self.play_and_check(send_twice)

    def test_vm_that_restarts_does_not_search_again(self):
        """Guards against a VM that starts and forgets what its peers know."""
        self.platform.bad = {"bad": ""}
        self.play(WARM_UP_S, lambda: self.send("bad", ["a0", "bad"]))
        self.pool.waitall()
        crashes = len(self.platform.crash_times())
        for number in range(self.vm_count):
            self.processes[number].kill()
            self.processes[number].wait()
            self.start_vm(number)
            self.await_ready(self.vm_ports[number])
            self.send("bad", ["a0", "bad"], vm=number)
            self.pool.waitall()
        self.assertEqual(crashes, len(self.platform.crash_times()))
        self.check_refusals()

    def test_engines_that_crash_by_themselves_blame_no_part(self):
        """Guards against sound requests refused after unrelated crashes."""
        started_at = time.monotonic()
        self.play(WARM_UP_S)
        before = self.share(started_at, time.monotonic() - 1.0)
        for engine in [*self.platform.engines.values()][:4]:
            engine.crash()
            self.send("new", ["a0", f"c{self.sent:x}"])
            self.play(1.0)
        settled_at = time.monotonic()
        self.play(3.0)
        self.pool.waitall()
        served = self.share(settled_at, time.monotonic())
        self.assertGreaterEqual(served, SOUND_SHARE * before)
        self.assertNotIn(
            b"crashed the backend servers",
            b"".join(outcome.text for outcome in self.outcomes),
        )


class LargerFleetTest(SearchCase):
    vm_count = 9

    def test_evidence_of_nine_vms_adds_up(self):
        """Guards against a search by each VM for itself."""
        self.platform.bad = {"bad": ""}
        self.play_and_check(lambda: self.send("bad", ["a0", "bad"]))
        self.check_refusals()
