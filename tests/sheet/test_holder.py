"""Tests of the sheet holder and of deltas."""

from hypothesis import given, settings
from hypothesis import strategies as st
import testtools

from savoryspar import sheet
from savoryspar.bench import deployments
from savoryspar.membership import rows as rows_lib

BASE = sheet.read_rows(deployments.GESTO.sheet_text())
NAMES = [f"extra-{number}" for number in range(4)]
DIGESTS = [f"{number:064x}" for number in range(3)]

CHANGES = st.dictionaries(
    st.sampled_from(
        [("workspace", name) for name in NAMES]
        + [("work", "status"), ("rank", "bulk"), ("model", "jury-small")]
    ),
    st.one_of(
        st.none(),
        st.fixed_dictionaries(
            {},
            optional={
                "share": st.sampled_from(["1", "2", "many"]),
                "key_digests": st.sampled_from(DIGESTS),
                "floor_percent": st.sampled_from(["5", "90"]),
            },
        ),
    ),
    max_size=4,
)


def new_sheet(revision, share):
    rows = {**BASE, ("workspace", "extra-0"): {"share": share}}
    return sheet.new_sheet(rows, revision, sheet.content_digest(rows))


def build(function):
    """Returns a comparable form of the sheet built, or its error messages."""
    try:
        built = function()
    except ExceptionGroup as group:
        return sorted(map(str, group.exceptions))
    return (
        built.digest,
        built.rows,
        built.workspace_by_key,
        {name: w.share for name, w in built.workspaces.items()},
        {name: r.floor_percent for name, r in built.ranks.items()},
    )


class HolderTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(st.lists(st.tuples(st.integers(1, 5), st.sampled_from("12"))))
    def test_revision_never_decreases(self, offers):
        """A stale service or a late peer must not revert the sheet."""
        holder = sheet.new_sheet_holder()
        first_shares = {}
        for revision, share in offers:
            before = holder.revision
            holder.offer(new_sheet(revision, share), "test", 0.0)
            self.assertGreaterEqual(holder.revision, before)
            if holder.revision > before:
                first_shares[revision] = share
            current = holder.current.workspaces["extra-0"].share
            self.assertEqual(float(first_shares[holder.revision]), current)
        if offers:
            highest = max(revision for revision, _ in offers)
            self.assertEqual(highest, holder.revision)

    def test_conflicting_content_of_a_revision_is_reported(self):
        """Two contents under one revision must not pass unnoticed."""
        holder = sheet.new_sheet_holder()
        holder.offer(new_sheet(3, "1"), "test", 0.0)
        self.assertFalse(holder.offer(new_sheet(3, "2"), "test", 0.0))
        self.assertIn("higher revision", str(holder.conflict))
        self.assertEqual(1.0, holder.current.workspaces["extra-0"].share)

    def test_equal_digest_of_a_peer_is_no_conflict(self):
        """A digest prefix in heartbeats must not be reported as a conflict."""
        holder = sheet.new_sheet_holder()
        holder.offer(new_sheet(3, "1"), "test", 0.0)
        holder.check_digest(3, holder.current.digest[:16])
        self.assertIsNone(holder.conflict)
        holder.check_digest(3, "0" * 16)
        self.assertIsNotNone(holder.conflict)


class DeltaTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(CHANGES, CHANGES)
    def test_delta_equals_the_full_sheet(self, first, second):
        """A peer with the delta and one with all rows must agree.

        They must also refuse an invalid sheet with the same errors.
        """
        base_rows = sheet.apply_changes(BASE, {**first})
        try:
            base = sheet.new_sheet(
                base_rows, 1, sheet.content_digest(base_rows)
            )
        except ExceptionGroup:
            base = sheet.new_sheet(BASE, 1, sheet.content_digest(BASE))
        rows = sheet.apply_changes(base.rows, second)
        digest = sheet.content_digest(rows)
        self.assertEqual(digest, sheet.delta_digest(base, second))
        full = build(lambda: sheet.new_sheet(rows, 2, digest))
        delta = build(lambda: sheet.apply_delta(base, second, 2, digest))
        self.assertEqual(full, delta)

    def test_wrong_digest_is_refused(self):
        """A delta computed for other rows must not come into force."""
        base = new_sheet(1, "1")
        self.assertRaises(
            ExceptionGroup, sheet.apply_delta, base, {}, 2, "0" * 64
        )

    @settings(derandomize=True, deadline=None)
    @given(CHANGES)
    def test_rows_by_bucket_restore_the_sheet(self, changes):
        """A peer that missed deltas must end up with the same rows."""
        rows = sheet.apply_changes(BASE, changes)
        digest = sheet.content_digest(rows)
        old_digest = sheet.content_digest(BASE)
        old = sheet.new_sheet(BASE, 1, old_digest)
        index = rows_lib.BucketIndex(
            sheet.Sheet(2, digest, rows, {}, {}, {}, {}, {}, {})
        )
        reply = index.reply(sheet.bucket_digests(old.rows), 0)
        received = rows_lib.decode_changes(reply["changes"])
        removed = {
            row_id: None
            for row_id in old.rows
            if sheet.bucket_of(row_id) in reply["replaced"]
            and row_id not in received
        }
        restored = sheet.apply_changes(old.rows, {**received, **removed})
        self.assertEqual(rows, restored)
        touched = {sheet.bucket_of(row_id) for row_id in changes}
        self.assertLessEqual(set(reply["replaced"]), touched)
