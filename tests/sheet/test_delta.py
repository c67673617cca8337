"""Tests that applying a delta equals a full build."""

import hypothesis
from hypothesis import strategies
import testtools

from savoryspar import sheet
from savoryspar.bench import deployments

DIGESTS = [letter * 64 for letter in "abcdef"] + ["short"]
WORKSPACES = strategies.tuples(
    strategies.sampled_from(["calle-libre", "w1", "w2", "w3"]),
    strategies.one_of(
        strategies.none(),
        strategies.fixed_dictionaries(
            {
                "share": strategies.sampled_from(["1", "2.5", "0", "x"]),
                "key_digests": strategies.sampled_from(DIGESTS),
            }
        ),
    ),
)
OTHERS = strategies.sampled_from(
    [
        (("rank", "bulk"), {"floor_percent": "30"}),
        (("rank", "bulk"), {"floor_percent": "90"}),
        (("pipeline", "status-check"), None),
        (("pool", "programacion"), None),
        (("nothing", "x"), {"a": "b"}),
    ]
)


def outcome(build, *args):
    """Returns a comparable form of the sheet built, or its error messages."""
    try:
        built = build(*args)
    except ExceptionGroup as group:
        return [str(exc) for exc in group.exceptions]
    return (
        built.revision,
        built.digest,
        built.rows,
        dict(built.workspace_by_key),
        {name: w.share for name, w in built.workspaces.items()},
        sorted(built.pipelines),
    )


class ApplyDeltaTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
    @hypothesis.given(
        strategies.lists(
            strategies.dictionaries(
                strategies.sampled_from(["calle-libre", "w1", "w2", "w3"]),
                WORKSPACES.map(lambda pair: pair[1]),
                max_size=3,
            ),
            max_size=4,
        ),
        strategies.lists(OTHERS, max_size=2),
    )
    def test_delta_equals_a_full_build(self, rounds, others):
        """Nodes that read a delta and nodes that read all rows must agree."""
        current = sheet.parse_csv(deployments.GESTO.sheet_text(), revision=1)
        for workspaces in rounds:
            changes = {("workspace", n): f for n, f in workspaces.items()}
            changes.update(others)
            rows = sheet.apply_changes(current.rows, changes)
            digest = sheet.content_digest(rows)
            revision = current.revision + 1
            full = outcome(sheet.new_sheet, rows, revision, digest)
            delta = outcome(
                sheet.apply_delta, current, changes, revision, digest
            )
            self.assertEqual(full, delta)
            if isinstance(full, tuple):
                current = sheet.apply_delta(current, changes, revision, digest)

    def test_wrong_digest_is_refused(self):
        """A delta computed for other rows must not come into force."""
        current = sheet.parse_csv(deployments.GESTO.sheet_text(), revision=1)
        changes = {("workspace", "w1"): {"share": "2"}}
        exc = self.assertRaises(
            ExceptionGroup, sheet.apply_delta, current, changes, 2, "0" * 64
        )
        self.assertEqual("sheet.E014", exc.exceptions[0].check_id)

    def test_changes_between_turns_old_rows_into_new(self):
        """A node that missed revisions must reach the same rows."""
        old = sheet.read_rows(deployments.GESTO.sheet_text())
        new = sheet.read_rows(deployments.BOKBINDERI.sheet_text())
        changes = sheet.changes_between(old, new)
        self.assertEqual(new, sheet.apply_changes(old, changes))
