"""Tests of the sheet's keys in the configuration service."""

import json

import testtools

from savoryspar import sheet

HEADER = "table,name,field,value\n"


class RenderKeysTest(testtools.TestCase):
    def test_first_revision_has_no_changes(self):
        """A manifest with all rows would exceed the service's value limit."""
        rows = sheet.read_rows(HEADER + "workspace,a,share,2\n")
        rendered = sheet.render_keys(rows, 1, 0, {})
        self.assertEqual(
            [], json.loads(rendered[sheet.MANIFEST_KEY])["changes"]
        )

    def test_short_strings_of_rows_are_interned(self):
        """One copy per row costs megabytes per process with 36,000 rows."""
        text = json.dumps(
            {"rows": [["workspace", n, {"share": "2.5"}] for n in "ab"]}
        )
        first, second = sheet.decode_rows(text).values()
        self.assertIs(first["share"], second["share"])
