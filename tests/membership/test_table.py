"""Tests of the merge of records, of liveness and of the confirmed view."""

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st
import testtools

from savoryspar.membership import evidence, model, table

NAMES = ("own", "a", "b", "c")


def new_record(incarnation, state=0, version=0, is_leaving=False):
    return model.Record(
        incarnation, incarnation, "r", "z", f"{incarnation}:1", version,
        model.State(state), is_leaving,
    )  # fmt: skip


def new_table(names=NAMES):
    members = table.MemberTable(new_record(names[0]), 0.0)
    members.merge(map(new_record, names[1:]), 0.0)
    return members


def contents(members):
    return {
        incarnation: record.precedence()
        for incarnation, record in members.records.items()
    }


RECORDS = st.lists(
    st.builds(
        new_record,
        st.sampled_from(NAMES[1:]),
        st.integers(0, 3),
        st.integers(0, 3),
        st.booleans(),
    ),
    max_size=8,
)


class MergeTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(RECORDS, st.randoms(use_true_random=False))
    def test_merge_is_independent_of_order_and_repetition(
        self, records, random
    ):
        """Guards against divergence of members that merge in another order."""
        one, other = new_table(), new_table()
        one.merge(records, 1.0)
        shuffled = records * 2
        random.shuffle(shuffled)
        for record in shuffled:
            other.merge([record], 2.0)
        self.assertEqual(contents(one), contents(other))
        self.assertEqual(one.view_digest(), other.view_digest())

    @settings(derandomize=True, deadline=None)
    @given(RECORDS, RECORDS)
    def test_views_converge_after_a_partition(self, left, right):
        """Guards against records lost when a partition heals."""
        one, other = new_table(), new_table()
        one.merge(left, 1.0)
        other.merge(right, 1.0)
        before = contents(one)
        one.merge(list(other.records.values()), 2.0)
        other.merge(list(one.records.values()), 2.0)
        self.assertEqual(contents(one), contents(other))
        for incarnation, precedence in before.items():
            self.assertGreaterEqual(contents(one)[incarnation], precedence)

    def test_own_suspicion_is_refuted(self):
        """Guards against declaring a live process dead."""
        members = new_table()
        changed = members.merge([new_record("own", 2, 4)], 1.0)
        self.assertEqual([5], [record.version for record in changed])
        self.assertEqual(model.State.ALIVE, members.own_record.state)

    def test_state_left_is_final(self):
        """Guards against a late record that revives a member that left."""
        members = new_table()
        members.merge([new_record("a", 3)], 1.0)
        self.assertEqual([], members.merge([new_record("a", 0, 9)], 2.0))
        self.assertNotIn("a", [r.incarnation for r in members.live_peers()])


class DeathTest(testtools.TestCase):
    def test_silent_neighbour_is_dead_within_three_seconds(self):
        """Guards against a paused process that stays live for 3 s or more."""
        members = new_table()
        now = 0.0
        while members.records["a"].is_live() and now < 9.0:
            now += 0.1
            for other in ("b", "c"):
                members.record_received(other, now)
            silent = members.silent(["a", "b", "c"], {}, 0.0, now)
            members.suspect(silent, now)
            members.expire(0.0, now)
        self.assertLess(now, 3.0)
        self.assertTrue(members.records["b"].is_live())

    def test_busy_process_waits_longer(self):
        """Guards against a delayed process that declares its peers dead."""
        members = new_table()
        self.assertEqual(["a"], members.silent(["a"], {}, 0.0, 2.0))
        self.assertEqual([], members.silent(["a"], {}, 0.5, 2.0))

    def test_refused_connection_is_suspected_immediately(self):
        """Guards against a killed watcher replaced only after a timeout."""
        members = new_table()
        silent = members.silent(["a", "b"], {"a:1": 0.2}, 0.0, 0.3)
        self.assertEqual(["a"], silent)

    def test_resumed_process_restarts_timeouts(self):
        """Guards against declaring peers dead after a pause of this process."""
        members = new_table()
        members.restart_timeouts(50.0)
        self.assertEqual([], members.silent(NAMES[1:], {}, 0.0, 50.1))

    def test_members_of_other_zones_are_not_suspected(self):
        """Guards against declaring members dead across a zone partition."""
        members = new_table()
        remote = model.Record("x", "x", "r", "other", "x:1")
        members.merge([remote], 0.0)
        self.assertEqual([], members.suspect(["x"], 99.0))


class ConfirmedTest(testtools.TestCase):
    def contact(self, members, names, at):
        for name in names:
            members.record_contact(name, at)

    def test_confirmed_view_needs_a_majority(self):
        """Guards against a view confirmed by the minority of a partition."""
        members = new_table(("own", "a", "b", "c", "d"))
        self.contact(members, "a", 9.0)
        self.assertFalse(evidence.is_confirmed(members, -1.0, 10.0))
        self.contact(members, "b", 9.0)
        self.assertTrue(evidence.is_confirmed(members, -1.0, 10.0))

    def test_dead_members_still_count_for_the_majority(self):
        """Guards against an isolated member that is its own majority."""
        members = new_table()
        members.merge([new_record(name, 2) for name in "abc"], 5.0)
        self.assertFalse(evidence.is_confirmed(members, -1.0, 10.0))

    def test_contact_before_a_pause_is_ignored(self):
        """Guards against a view confirmed by contact from before a pause."""
        members = new_table()
        self.contact(members, "abc", 9.0)
        self.assertFalse(evidence.is_confirmed(members, 9.5, 10.0))

    def test_one_direction_confirms_neither_side(self):
        """Guards against a view confirmed by one-way contact.

        Frames from a peer do not show that it receives those of this process.
        """
        members = new_table(("own", "a", "b"))
        for now in itertools.takewhile(lambda t: t < 8, itertools.count()):
            members.record_received("a", now)
            members.record_received("b", now)
        self.assertFalse(evidence.is_confirmed(members, -1.0, 8.0))

    def test_ages_in_another_order_are_skipped(self):
        """Guards against ages that are credited to another member."""
        members, other = new_table(), new_table(("a", "own", "b", "x"))
        self.contact(other, ("own", "b", "x"), 9.9)
        checksum, ages = evidence.render_ages(other, "z", 10.0)
        evidence.apply_ages(members, "z", checksum, ages, 10.0)
        self.assertEqual({}, members.contact_at)

    def test_evidence_of_zones_crosses_other_zones(self):
        """Guards against losing zones without a direct link from the view."""
        members = new_table()
        other = table.MemberTable(model.Record("x", "x", "r", "zx", "x:1"), 0.0)
        far = model.Record("y", "y", "r", "zy", "y:1")
        others = [far, other.own_record, *members.records.values()]
        members.merge(others, 0.0)
        other.merge(others, 0.0)
        other.record_received("y", 50.0)
        checksum, ages = evidence.render_ages(other, "z", 51.0)
        evidence.apply_ages(members, "zx", checksum, ages, 51.0)
        self.assertAlmostEqual(
            50.0, members.zone_last_heard_at("zy"), delta=0.2
        )
        self.assertEqual({}, members.contact_at)

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.floats(0, 40), min_size=3, max_size=3))
    def test_forwarded_evidence_does_not_become_newer(self, ages):
        """Guards against forwarded evidence that appears newer than it is."""
        members, other = new_table(), new_table(("a", "own", "b", "c"))
        for name, age in zip(("own", "b", "c"), ages, strict=True):
            other.record_contact(name, 100.0 - age)
        checksum, raw = evidence.render_ages(other, "z", 100.0)
        evidence.apply_ages(members, "z", checksum, raw, 100.0)
        for name in ("b", "c"):
            got = members.contact_at.get(name, 0.0)
            self.assertLessEqual(got, other.contact_at[name] + 1e-6)


class DecodeTest(testtools.TestCase):
    def new_body(self, **fields):
        body = new_record("a", **fields).to_body()
        return [*body[:4], "10.0.0.1:1", *body[5:]]

    def test_record_that_many_peers_send_is_decoded_once(self):
        """Guards against decoding a record once for each peer that sends it.

        While a fleet starts, each record arrives from many peers.
        """
        body = self.new_body(version=3)
        first = model.decode_record(body)
        self.assertIs(first, model.decode_record([*body]))
        self.assertEqual(body, first.to_body())

    def test_invalid_record_is_refused_each_time(self):
        """Guards against an invalid body that hits the cache of records."""
        body = self.new_body()
        self.assertEqual(body, model.decode_record(body).to_body())
        for invalid in (
            *(body[:7], [*body[:5], -1, 0, False], [[], *body[1:]]),
            *([*body[:4], a, *body[5:]] for a in ("a:1", "10.0.0.1:70000")),
            *([*body[:5], version, 0, False] for version in (2**63, "1", 1.0)),
            *(["a\n", *body[1:]], [*body[:6], 4, False]),
        ):
            for _ in range(2):
                self.assertRaises(
                    (ValueError, TypeError), model.decode_record, invalid
                )
