"""Tests of following the store."""

import testtools

from savoryspar import platform
from savoryspar.gateway import fleet_watch


class NextRevisionTest(testtools.TestCase):
    def test_empty_answer_moves_nothing(self):
        """Guards against changes skipped by a watch that did not hear them.

        A configuration stayed unknown for 9 s on all VMs after the store had
        dropped its history (haftgarden, store-away-and-replaced.toml --vary
        --seed 192870949659).
        """
        empty = platform.Snapshot([], 90)
        self.assertEqual(68, fleet_watch.next_revision(68, empty))

    def test_changes_are_asked_for_once(self):
        """Guards against the same changes read again and again."""
        item = platform.Item("op/config", b"{}", 70)
        changes = platform.Snapshot([item], 72)
        self.assertEqual(72, fleet_watch.next_revision(68, changes))
