"""Tests of crash suspects."""

import testtools

from savoryspar import routing
from savoryspar.routing import suspects as suspects_lib

SUSPECT = routing.Verdict.SUSPECT
CLEAR = routing.Verdict.CLEAR
BLOCKED = routing.Verdict.BLOCKED


class SuspectsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.published = []
        self.suspects = suspects_lib.new_suspects(self.published.append)

    def test_second_crash_alone_blocks(self):
        """A crashing request that stays allowed takes the pool down."""
        self.suspects.record_crash("w/1", "a", 0.0)
        self.assertEqual(SUSPECT, self.suspects.check("w/1", 0.0))
        self.suspects.record_crash("w/1", "b", 1.0, was_alone=True)
        self.assertEqual(BLOCKED, self.suspects.check("w/1", 1.0))

    def test_innocent_beside_two_crashes(self):
        """Requests that were only in flight must not be refused."""
        self.suspects.record_crash("w/1", "a", 0.0)
        self.suspects.record_crash("w/1", "b", 1.0)
        self.assertEqual(SUSPECT, self.suspects.check("w/1", 1.0))
        self.suspects.record_success("w/1", 2.0)
        self.assertEqual(CLEAR, self.suspects.check("w/1", 2.0))

    def test_success_does_not_clear_a_blocked_one(self):
        """A late answer of another attempt must not let it run again."""
        self.suspects.record_crash("w/1", "a", 0.0)
        self.suspects.record_crash("w/1", "b", 0.0, was_alone=True)
        self.suspects.record_success("w/1", 1.0)
        self.assertEqual(BLOCKED, self.suspects.check("w/1", 1.0))

    def test_peer_learns_each_crash(self):
        """A peer that knows nothing lets two more servers crash."""
        peer = suspects_lib.new_suspects(self.published.append)
        self.suspects.record_crash("w/1", "a", 0.0)
        peer.import_record(self.published.pop(), 0.0)
        self.assertEqual(SUSPECT, peer.check("w/1", 0.0))
        peer.record_crash("w/1", "b", 1.0, was_alone=True)
        self.suspects.import_record(self.published.pop(), 1.0)
        self.assertEqual(BLOCKED, self.suspects.check("w/1", 1.0))
        self.assertEqual([], self.published)
        late = suspects_lib.new_suspects()
        for record in peer.records(1.0):
            late.import_record(record, 1.0)
        self.assertEqual(BLOCKED, late.check("w/1", 1.0))

    def test_older_record_of_a_peer_does_not_clear(self):
        """Records that come out of order must not weaken a verdict."""
        self.suspects.record_crash("w/1", "a", 0.0)
        first = self.published[0]
        self.suspects.record_crash("w/1", "b", 0.0, was_alone=True)
        self.suspects.import_record(first, 1.0)
        self.assertEqual(BLOCKED, self.suspects.check("w/1", 1.0))

    def test_damaged_record(self):
        """A peer of another version must not end the link's thread."""
        for record in ({}, {"fingerprint": "w/1", "servers": 3}):
            self.assertRaises(
                ValueError, self.suspects.import_record, record, 0.0
            )

    def test_disabled_takes_no_record_of_peers(self):
        """The emergency setting must also end refusals that peers send."""
        off = suspects_lib.new_suspects(is_enabled=False)
        record = {"fingerprint": "w/1", "servers": [], "is_blocked": True}
        off.import_record(record, 0.0)
        off.record_crash("w/1", "a", 0.0)
        self.assertEqual(CLEAR, off.check("w/1", 0.0))

    def test_entries_expire(self):
        """A repaired engine must serve the request again one day."""
        self.suspects.record_crash("w/1", "a", 0.0)
        later = suspects_lib.SUSPECT_TTL_S + 1.0
        self.assertEqual(CLEAR, self.suspects.check("w/1", later))

    def test_expired_crash_is_no_first_crash(self):
        """Two crashes that are hours apart say little."""
        self.suspects.record_crash("w/1", "a", 0.0)
        later = suspects_lib.SUSPECT_TTL_S + 1.0
        self.suspects.record_crash("w/1", "b", later, was_alone=True)
        self.assertEqual(SUSPECT, self.suspects.check("w/1", later))

    def test_flood_of_one_workspace(self):
        """One workspace must not make room for another's crashes."""
        for number, server in enumerate("ab"):
            self.suspects.record_crash("w/1", server, 0.0, bool(number))
        for number in range(10000):
            self.suspects.record_crash(f"flood/{number}", "a", 0.0)
        self.assertEqual(BLOCKED, self.suspects.check("w/1", 0.0))
        self.assertLess(len(self.suspects.records(0.0)), 100)

    def test_flood_of_many_workspaces_is_bounded(self):
        """Memory must stay bounded whatever the callers do."""
        for number in range(6000):
            mark = f"w{number % 300}/{number}"
            self.suspects.record_crash(mark, "a", 0.0)
        self.assertLessEqual(
            len(self.suspects.records(0.0)), suspects_lib.MAX_ENTRIES
        )

    def test_own_flood_does_not_release_the_blocked(self):
        """A workspace must not free its crashing request by a flood."""
        for number, server in enumerate("ab"):
            self.suspects.record_crash("w/1", server, 0.0, bool(number))
        for number in range(2, 500):
            self.suspects.record_crash(f"w/{number}", "a", 0.0)
        self.assertEqual(BLOCKED, self.suspects.check("w/1", 0.0))


class FingerprintTest(testtools.TestCase):
    def test_differs_by_workspace_and_pipeline_only_where_it_should(self):
        """A refusal must not hit another workspace or pipeline."""
        body = {"messages": [], "stream": True}
        mark = routing.fingerprint("w", "p", body)
        self.assertEqual(mark, routing.fingerprint("w", "p", {"messages": []}))
        self.assertNotEqual(mark, routing.fingerprint("v", "p", body))
        self.assertNotEqual(mark, routing.fingerprint("w", "q", body))
        self.assertNotEqual(mark, routing.fingerprint("w", "p", {"a": 1}))
