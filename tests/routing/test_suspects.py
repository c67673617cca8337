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
        """A crashing request that is not blocked would crash the whole pool."""
        self.suspects.record_crash("w/1", "a", 0.0)
        self.assertEqual(SUSPECT, self.suspects.check("w/1", 0.0))
        self.suspects.record_crash("w/1", "b", 1.0, was_exclusive=True)
        self.assertEqual(BLOCKED, self.suspects.check("w/1", 1.0))

    def test_request_in_flight_during_two_crashes(self):
        """A request that did not cause the crashes must not be blocked."""
        self.suspects.record_crash("w/1", "a", 0.0)
        self.suspects.record_crash("w/1", "b", 1.0)
        self.assertEqual(SUSPECT, self.suspects.check("w/1", 1.0))
        self.suspects.record_success("w/1", 2.0)
        self.assertEqual(CLEAR, self.suspects.check("w/1", 2.0))

    def test_success_does_not_clear_a_blocked_request(self):
        """A late success of another attempt must not unblock the request."""
        self.suspects.record_crash("w/1", "a", 0.0)
        self.suspects.record_crash("w/1", "b", 0.0, was_exclusive=True)
        self.suspects.record_success("w/1", 1.0)
        self.assertEqual(BLOCKED, self.suspects.check("w/1", 1.0))

    def test_each_crash_is_published_to_peers(self):
        """A peer without the records would let two more servers crash."""
        peer = suspects_lib.new_suspects(self.published.append)
        self.suspects.record_crash("w/1", "a", 0.0)
        peer.import_record(self.published.pop(), 0.0)
        self.assertEqual(SUSPECT, peer.check("w/1", 0.0))
        peer.record_crash("w/1", "b", 1.0, was_exclusive=True)
        self.suspects.import_record(self.published.pop(), 1.0)
        self.assertEqual(BLOCKED, self.suspects.check("w/1", 1.0))
        self.assertEqual([], self.published)
        late = suspects_lib.new_suspects()
        for record in peer.records(1.0):
            late.import_record(record, 1.0)
        self.assertEqual(BLOCKED, late.check("w/1", 1.0))

    def test_older_record_of_a_peer_does_not_unblock(self):
        """Records that arrive out of order must not weaken a verdict."""
        self.suspects.record_crash("w/1", "a", 0.0)
        first = self.published[0]
        self.suspects.record_crash("w/1", "b", 0.0, was_exclusive=True)
        self.suspects.import_record(first, 1.0)
        self.assertEqual(BLOCKED, self.suspects.check("w/1", 1.0))

    def test_malformed_record(self):
        """A record of another version must not end the peer link's thread."""
        for record in ({}, {"fingerprint": "w/1", "servers": 3}):
            self.assertRaises(
                ValueError, self.suspects.import_record, record, 0.0
            )

    def test_disabled_ignores_records_of_peers(self):
        """Disabling crash suspects must also ignore the records of peers."""
        off = suspects_lib.new_suspects(is_enabled=False)
        record = {"fingerprint": "w/1", "servers": [], "is_blocked": True}
        off.import_record(record, 0.0)
        off.record_crash("w/1", "a", 0.0)
        self.assertEqual(CLEAR, off.check("w/1", 0.0))

    def test_entries_expire(self):
        """A request must not stay suspected after the engine was fixed."""
        self.suspects.record_crash("w/1", "a", 0.0)
        later = suspects_lib.SUSPECT_TTL_S + 1.0
        self.assertEqual(CLEAR, self.suspects.check("w/1", later))

    def test_expired_crash_does_not_count_as_the_first(self):
        """Two crashes far apart in time do not imply a common cause."""
        self.suspects.record_crash("w/1", "a", 0.0)
        later = suspects_lib.SUSPECT_TTL_S + 1.0
        self.suspects.record_crash("w/1", "b", later, was_exclusive=True)
        self.assertEqual(SUSPECT, self.suspects.check("w/1", later))

    def test_flood_of_one_workspace(self):
        """A flood from one workspace must not evict another's records."""
        for number, server in enumerate("ab"):
            self.suspects.record_crash("w/1", server, 0.0, bool(number))
        for number in range(10000):
            self.suspects.record_crash(f"flood/{number}", "a", 0.0)
        self.assertEqual(BLOCKED, self.suspects.check("w/1", 0.0))
        self.assertLess(len(self.suspects.records(0.0)), 100)

    def test_flood_of_many_workspaces_is_bounded(self):
        """Memory must stay bounded with any number of workspaces."""
        for number in range(6000):
            key = f"w{number % 300}/{number}"
            self.suspects.record_crash(key, "a", 0.0)
        self.assertLessEqual(
            len(self.suspects.records(0.0)), suspects_lib.MAX_ENTRIES
        )

    def test_own_flood_does_not_evict_a_blocked_request(self):
        """A workspace must not unblock its crashing request by a flood."""
        for number, server in enumerate("ab"):
            self.suspects.record_crash("w/1", server, 0.0, bool(number))
        for number in range(2, 500):
            self.suspects.record_crash(f"w/{number}", "a", 0.0)
        self.assertEqual(BLOCKED, self.suspects.check("w/1", 0.0))


class FingerprintTest(testtools.TestCase):
    def test_depends_on_workspace_pipeline_and_body_but_not_streaming(self):
        """A block must not affect another workspace, pipeline or request."""
        body = {"messages": [], "stream": True}
        key = routing.fingerprint("w", "p", body)
        self.assertEqual(key, routing.fingerprint("w", "p", {"messages": []}))
        self.assertNotEqual(key, routing.fingerprint("v", "p", body))
        self.assertNotEqual(key, routing.fingerprint("w", "q", body))
        self.assertNotEqual(key, routing.fingerprint("w", "p", {"a": 1}))
