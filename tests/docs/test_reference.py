"""Tests that docs/ref is in line with the code."""

import re

import testtools

from tools import write_reference

SOURCES = write_reference.ROOT / "savoryspar"
CHECK_ID = re.compile(r'"((?:conf|sheet)\.[EW]\d{3})"')


class ReferenceTest(testtools.TestCase):
    def test_pages_agree_with_the_code(self):
        """Guards against pages that were not regenerated after a change."""
        for name, page in write_reference.PAGES.items():
            written = (write_reference.REFERENCE / name).read_text("utf-8")
            self.assertEqual(page(), written, f"run make reference: {name}")

    def test_every_check_id_of_files_is_described(self):
        """Guards against an ID in a message that the reference lacks."""
        used = {
            check_id
            for path in SOURCES.rglob("*.py")
            for check_id in CHECK_ID.findall(path.read_text("utf-8"))
        }
        self.assertEqual(set(write_reference.FILE_CHECKS), used)
