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


class MalformedValuesTest(testtools.TestCase):
    def test_malformed_values_are_sheet_errors(self):
        """Guards against a value that ends the watch of the service."""
        manifest = {
            "revision": 2,
            "previous": 1,
            "digest": "d",
            "changes": [["pools", "p", {"a": "b"}]],
            "buckets": {"0": "ff"},
        }
        text = json.dumps({**manifest, "rows": manifest["changes"]})
        sheet.decode_manifest(text)
        sheet.decode_rows(text)
        deep = "[" * 1500 + "]" * 1500
        for before, after in (
            ("{", deep),
            ("{", "[" * 100_000),
            ('{"a": "b"}', deep),
            ('{"a": "b"}', "7"),
            ('"pools"', "null"),
            ('"b"', '"\\ud800"'),
        ):
            odd = text.replace(before, after)
            for decode in (sheet.decode_manifest, sheet.decode_rows):
                self.assertRaises(sheet.SheetError, decode, odd)
        for value in ("1e999", "NaN", "-1", '"2"', "9" * 5000, "null"):
            odd = text.replace('"revision": 2', f'"revision": {value}')
            self.assertRaises(sheet.SheetError, sheet.decode_manifest, odd)
