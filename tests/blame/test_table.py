"""Tests of charging crashes to parts of prompts."""

import itertools

import hypothesis
from hypothesis import strategies
import testtools

from savoryspar import blame
from savoryspar.blame import table
from tests.blame import fleets

CLEAR, SUSPECT, BLOCKED = blame.Verdict


class TableTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.recorder = fleets.Recorder()
        self.crash = self.recorder.crash
        self.sound = self.recorder.sound
        self.verdict = self.recorder.verdict

    def block(self, *parts, version="v1", at=10.0):
        """Blocks the parts by a crash and the crash of a trial."""
        self.crash(f"s{at}", at, "sys", *parts, version=version)
        self.crash(f"t{at}", at + 2, *parts, is_trial=True, version=version)

    def test_part_that_crashes_alone_is_blocked(self):
        """Guards against a bad part that ends more than two engines."""
        self.sound(1.0, "sys", "a")
        self.crash("s1", 10.0, "sys", "bad")
        self.assertEqual(SUSPECT, self.verdict(10.1, "sys", "bad"))
        self.crash("s2", 12.0, "bad", is_trial=True)
        self.assertEqual(BLOCKED, self.verdict(12.1, "sys", "bad"))
        self.assertEqual(CLEAR, self.verdict(12.1, "sys", "a"))

    def test_parts_beside_a_crash_are_not_blamed(self):
        """Guards against innocent streams that pay for a bad one."""
        self.sound(1.0, "sys", "old")
        for parts in (("sys", "bad"), ("sys", "old"), ("sys", "new")):
            self.crash("s1", 10.0, *parts)
        self.assertEqual(CLEAR, self.verdict(10.1, "sys", "old"))
        self.assertEqual(SUSPECT, self.verdict(10.1, "sys", "new"))
        self.crash("s2", 12.0, "bad", is_trial=True)
        self.assertEqual(CLEAR, self.verdict(12.1, "sys", "new"))

    def test_sound_run_elsewhere_clears_a_part(self):
        """Guards against a part that stays a suspect without a reason."""
        self.crash("s1", 10.0, "sys", "new")
        self.sound(11.0, "sys", "new")
        self.assertEqual(CLEAR, self.verdict(11.1, "sys", "new"))

    def test_part_that_ran_sound_becomes_a_suspect_after_two_crashes(self):
        """Guards against trust in a part that turned bad later."""
        self.sound(1.0, "a")
        self.crash("s1", 10.0, "a")
        self.assertEqual(CLEAR, self.verdict(10.1, "a"))
        self.crash("s2", 12.0, "a")
        self.assertEqual(SUSPECT, self.verdict(12.1, "a"))

    def test_two_suspects_in_one_trial_are_told_apart(self):
        """Guards against an innocent part blocked with the bad one."""
        self.crash("s1", 10.0, "a", "bad")
        self.crash("s2", 12.0, "a", "bad", is_trial=True)
        self.assertEqual(BLOCKED, self.verdict(12.1, "a", "bad"))
        self.assertEqual(SUSPECT, self.verdict(12.1, "a"))
        self.assertEqual(SUSPECT, self.verdict(12.1, "bad"))
        self.sound(13.0, "a", "b")
        self.assertEqual(CLEAR, self.verdict(13.1, "a"))
        self.assertEqual(BLOCKED, self.verdict(13.1, "bad", "c"))

    def test_one_request_does_not_block_its_parts(self):
        """Guards against parts that are blocked for the fault of a request."""
        self.crash("s1", 10.0, "new", fingerprint="w/x")
        self.crash("s2", 11.5, "new", is_trial=True, fingerprint="w/x")
        self.assertEqual(BLOCKED, self.verdict(12.0, "new", fingerprint="w/x"))
        self.assertEqual(SUSPECT, self.verdict(12.0, "new"))

    def test_one_faulty_server_does_not_block_parts(self):
        """Guards against a server that breaks connections again and again."""
        self.crash("s1", 10.0, "a")
        self.crash("s1", 12.0, "a", is_trial=True)
        self.assertEqual(SUSPECT, self.verdict(12.1, "a"))
        self.crash("s1", 14.0, "a", is_trial=True)
        self.assertEqual(BLOCKED, self.verdict(14.1, "a"))

    def test_version_that_runs_the_part_sound_is_not_blamed(self):
        """Guards against a part refused by a model on which it is sound."""
        self.sound(1.0, "bad", version="v2")
        self.block("bad")
        self.assertEqual(BLOCKED, self.verdict(13.0, "bad"))
        self.assertEqual(CLEAR, self.verdict(13.0, "bad", version="v2"))

    def test_new_version_tries_a_blocked_part_once(self):
        """Guards against a search that starts anew with each version."""
        self.block("bad")
        self.assertEqual(SUSPECT, self.verdict(13.0, "bad", version="v2"))
        self.crash("s9", 14.0, "bad", is_trial=True, version="v2")
        self.assertEqual(BLOCKED, self.verdict(14.1, "bad", version="v2"))

    def test_blame_ends_by_time_but_not_all_at_once(self):
        """Guards against parts blocked for ever, and against a new search."""
        self.block("bad")
        at = 12.0 + table.BLOCK_S
        self.assertEqual(BLOCKED, self.verdict(at - 1.0, "bad"))
        self.assertEqual(SUSPECT, self.verdict(at + 1.0, "bad"))
        self.crash("s9", at + 2.0, "bad", is_trial=True)
        at += 2.0 + 2 * table.BLOCK_S
        self.assertEqual(BLOCKED, self.verdict(at - 1.0, "bad"))
        self.assertEqual(SUSPECT, self.verdict(at + 1.0, "bad"))
        self.recorder.table.expire(at + 1.5 + table.KEEP_S)
        self.assertEqual(CLEAR, self.verdict(at + 2.0 + table.KEEP_S, "bad"))

    def test_crash_of_a_server_by_itself_is_forgotten(self):
        """Guards against blame for an engine that crashed by itself."""
        self.crash("s1", 10.0, "new")
        at = 10.0 + table.SUSPECT_S
        self.assertEqual(SUSPECT, self.verdict(at - 1.0, "new"))
        self.assertEqual(CLEAR, self.verdict(at + 1.0, "new"))

    def test_flood_of_a_workspace_evicts_no_record_of_another(self):
        """Guards against made-up parts that make the fleet forget a bad one."""
        self.block("bad")
        for number in range(3 * table.MAX_REPORTS):
            fields = {"workspace": "flood", "fingerprint": f"flood/{number}"}
            self.crash(f"f{number}", 20.0, f"x{number}", **fields)
            self.crash(
                f"f{number}", 20.0, f"y{number}", is_trial=True, **fields
            )
            self.sound(21.0, f"z{number}", **fields)
        self.assertEqual(BLOCKED, self.verdict(21.0, "bad"))
        reports = self.recorder.table.reports()
        self.assertLessEqual(
            len(reports), 2 * table.MAX_REPORTS_PER_WORKSPACE + 2
        )

    def test_many_parts_of_one_request_are_bounded(self):
        """Guards against memory taken by one request with many parts."""
        work = fleets.work(*map(str, range(1000)), "x" * 1000)
        self.assertEqual(blame.MAX_PARTS, len(work.parts))


PARTS = strategies.sampled_from("abcdefgh")


class SearchTest(testtools.TestCase):
    @hypothesis.settings(
        max_examples=150, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(
        bad=strategies.sets(PARTS, min_size=1, max_size=3),
        requests=strategies.lists(
            strategies.frozensets(PARTS, min_size=1, max_size=4),
            min_size=30,
            max_size=120,
        ),
        known=strategies.sets(PARTS),
    )
    def test_search_spends_few_engines_and_blocks_no_sound_request(
        self, bad, requests, known
    ):
        """Guards against a search that does not end, or that blames others.

        Requests arrive one by one. A suspect runs alone, others beside a
        stream of the request before; a bad part crashes the engine of both.
        """
        recorder = fleets.Recorder()
        for part in known - bad:
            recorder.sound(0.5, part)
        crashes = 0
        previous = None
        for number, parts in enumerate(requests):
            at = 1.0 + 3.0 * number
            fields = {"fingerprint": f"w/q{number}"}
            work = fleets.work(*parts, **fields)
            found = recorder.table.assess(work, "v1", at)
            if found.verdict is blame.Verdict.BLOCKED:
                self.assertTrue(parts & bad, (parts, found.parts))
                continue
            if not parts & bad:
                recorder.sound(at + 1.0, *parts, **fields)
                previous = parts
                continue
            crashes += 1
            is_trial = found.verdict is blame.Verdict.SUSPECT
            charged = parts
            if is_trial:
                charged = {key.rpartition("/")[2] for key in found.parts}
            recorder.crash(
                f"s{number}", at, *charged, is_trial=is_trial, **fields
            )
            if previous is not None and not is_trial:
                recorder.crash(f"s{number}", at, *previous)
                previous = None
        # Each bad part costs a first crash and a trial; a part that is only
        # seen together with a bad one may cost one trial more.
        groups = {frozenset(r & bad) for r in requests if r & bad}
        innocents = {p for r in requests if r & bad for p in r - bad - known}
        self.assertLessEqual(crashes, 2 * len(groups) + len(innocents) + 1)


class OwnedCacheTest(testtools.TestCase):
    @hypothesis.settings(max_examples=100, derandomize=True, database=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("ab"), strategies.integers(0, 30)
            )
        )
    )
    def test_owner_below_its_share_loses_nothing(self, puts):
        """Guards against entries that another owner evicts."""
        cache = table.owned_cache.OwnedCache(8, 4)
        latest = {}
        for owner, number in puts:
            key = f"{owner}{number}"
            cache.put(owner, key, number)
            latest.pop(key, None)
            latest[key] = owner
            for name in "ab":
                own = [k for k in latest if latest[k] == name]
                for kept in itertools.islice(reversed(own), 4):
                    self.assertIn(kept, cache)
        self.assertLessEqual(len(cache), 8)
