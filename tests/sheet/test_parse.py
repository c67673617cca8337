"""Tests of the CSV parser."""

import testtools

from savoryspar import sheet
from savoryspar.bench import deployments

HEADER = "table,name,field,value\n"


class ParseCsvTest(testtools.TestCase):
    def test_examples_are_valid(self):
        """An example sheet that fails validation would break the demo."""
        for deployment in (deployments.GESTO, deployments.BOKBINDERI):
            parsed = sheet.parse_csv(deployment.sheet_text(), revision=3)
            self.assertEqual(5, len(parsed.workspaces))

    def test_every_error_is_reported_with_its_row(self):
        """Guards against a parser that reports only the first error."""
        text = (
            HEADER
            + "workspace,a,share,-1\n"
            + "work,w,rank,soon\n"
            + "nothing,x,y,z\n"
        )
        exc = self.assertRaises(
            ExceptionGroup, sheet.parse_csv, text, revision=1
        )
        found = {(e.check_id, e.row) for e in exc.exceptions}
        self.assertEqual(
            {
                ("sheet.E004", 4),
                ("sheet.E007", 2),
                ("sheet.E007", 3),
                ("sheet.E006", 3),
            },
            found,
        )

    def test_semicolons_and_byte_order_mark_are_read(self):
        """Spreadsheets in locales with a decimal comma export semicolons."""
        text = "\ufeff" + HEADER.replace(",", ";") + "workspace;a;share;2\n"
        parsed = sheet.parse_csv(text, revision=1)
        self.assertEqual(2.0, parsed.workspaces["a"].share)

    def test_delta_gives_the_published_digest(self):
        """A delta applied to the wrong rows must be detected by its digest."""
        old = sheet.read_rows(HEADER + "workspace,a,share,2\n")
        new = sheet.read_rows(HEADER + "workspace,b,share,2\n")
        rendered = sheet.render_keys(new, 2, 1, old)
        manifest = sheet.decode_manifest(rendered[sheet.MANIFEST_KEY])
        rows = sheet.apply_changes(old, manifest.changes)
        self.assertEqual(manifest.digest, sheet.content_digest(rows))


class UnreadableRowTest(testtools.TestCase):
    def test_row_that_cannot_be_read_is_a_sheet_error(self):
        """Guards against a traceback in place of the row to change."""
        long = "pools,p,kind," + "x" * 200_000
        group = self.assertRaises(
            ExceptionGroup,
            sheet.parse_csv,
            f"table,name,field,value\npools,p,a,b\n{long}\n",
            1,
        )
        self.assertEqual([3], [exc.row for exc in group.exceptions])
        group = self.assertRaises(ExceptionGroup, sheet.parse_csv, long, 1)
        self.assertEqual([1], [exc.row for exc in group.exceptions])
