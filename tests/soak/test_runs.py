"""A short soak with a fixed seed, and the stand-in of the store."""

import subprocess
import sys

import testtools

from savoryspar.soak import environment


class StoreTest(testtools.TestCase):
    def test_watch_from_before_compacted_changes_gets_none(self):
        """Guards against a stand-in that keeps changes longer than the store.

        The platform's store refuses watches from a compacted revision.
        """
        store = environment.Store()
        store.write("op/config", b"1")
        self.assertEqual(
            ["op/config"], [i.key for i in store.wait("op/", 1, 0.0)]
        )
        store.compact_history()
        self.assertIsNone(store.wait("op/", 1, 0.0))
        self.assertEqual([], store.wait("op/", store.revision, 0.0))


class SoakTest(testtools.TestCase):
    def test_short_soak(self):
        """Guards against violations that occur only with real processes."""
        completed = subprocess.run(
            f"{sys.executable} -W ignore -m savoryspar soak"
            " --seed 5 --for 6".split(),
            capture_output=True,
            text=True,
            timeout=120.0,
        )
        self.assertEqual(
            0, completed.returncode, completed.stdout + completed.stderr
        )
        self.assertIn("status 200:", completed.stdout)
