"""Tests of VMs whose store comes back from a copy that is some seconds old.

The store then gives out revisions again, and tells it by its era.
"""

import eventlet

from tests.gateway import test_stale_versions

LOST_CHANGES = 15
"""Changes that the copy lacks; revisions after it are lower than the lost."""


class RestoredStoreCase(test_stale_versions.StaleVersionCase):
    def lose_changes(self, lost=None):
        """Restores the store from a copy that lacks changes all VMs have.

        Args:
            lost: Makes further changes that the copy lacks; by default the
                entry of one server is written again.
        """
        contents = self.platform.contents
        copy = contents.copy()
        for _ in range(LOST_CHANGES):
            self.platform.publish()
            self.platform.write_server("desk-2")
        if lost is None:
            self.platform.write_server("desk-1")
        else:
            lost()
        eventlet.sleep(test_stale_versions.BEGIN_S)
        contents.restore(copy)

    def exceed_lost_revisions(self):
        """Writes until the revisions are higher than those that were lost."""
        for _ in range(2 * LOST_CHANGES + 5):
            self.platform.write_server("desk-2")

    def probe_during(self, seconds, path="/o/1"):
        """Returns the statuses of requests to each VM during a time."""
        statuses = set()
        with eventlet.Timeout(seconds, False):
            while True:
                for number in range(self.vm_count):
                    statuses.add(self.probe(number, path))
                eventlet.sleep(test_stale_versions.PROBE_INTERVAL_S)
        return statuses


class RestoredStoreTest(RestoredStoreCase):
    """All VMs of a zone of three watch the store."""

    vm_count = 3

    def test_version_is_in_force_after_a_restore(self):
        """Guards against versions ignored for their lower revisions."""
        self.lose_changes()
        self.platform.publish(test_stale_versions.add_route)
        self.assert_in_time(200)

    def test_version_is_in_force_if_revisions_pass_the_lost_ones(self):
        """Guards against a watch that goes on where the store went back."""
        self.lose_changes()
        self.platform.publish(test_stale_versions.add_route)
        self.exceed_lost_revisions()
        self.assert_in_time(200)

    def test_server_is_not_used_if_revisions_pass_the_lost_ones(self):
        """Guards against a removal between two watches."""
        self.lose_changes()
        self.platform.contents.write("servers/i-desk-1", None)
        self.exceed_lost_revisions()
        self.assert_server_unused("desk-1")

    def test_version_is_in_force_after_two_restores(self):
        """Guards against a VM that follows one restored store only."""
        self.lose_changes()
        self.lose_changes()
        self.platform.publish(test_stale_versions.add_route)
        self.assert_in_time(200)

    def test_server_is_not_used_after_a_restore(self):
        """Guards against removals ignored for their lower revisions."""
        self.lose_changes()
        self.platform.contents.write("servers/i-desk-1", None)
        self.assert_server_unused("desk-1")

    def test_draining_server_is_not_used_after_a_restore(self):
        """Guards against drains ignored for their lower revisions."""
        self.lose_changes()
        self.platform.write_server("desk-1", "draining")
        self.assert_server_unused("desk-1")

    def test_version_is_in_force_at_a_vm_that_the_store_ignores(self):
        """Guards against a VM that learns of a restore only by itself."""
        self.fronts[0].set_mode("silent")
        self.lose_changes()
        self.platform.publish(test_stale_versions.add_route)
        self.assert_in_time(200)

    def test_server_is_not_used_by_a_vm_that_the_store_ignores(self):
        """Guards against a removal in an era that only peers know."""
        self.fronts[0].set_mode("silent")
        self.lose_changes()
        self.platform.contents.write("servers/i-desk-1", None)
        self.assert_server_unused("desk-1")

    def test_lost_removal_holds(self):
        """Guards against a removed server that the copy lists again."""
        self.lose_changes(
            lambda: self.platform.contents.write("servers/i-desk-1", None)
        )
        self.assert_server_unused("desk-1")

    def test_lost_drain_holds(self):
        """Guards against a draining server that the copy lists as ready."""
        self.lose_changes(
            lambda: self.platform.write_server("desk-1", "draining")
        )
        self.assert_server_unused("desk-1")

    def test_lost_version_holds(self):
        """Guards against a version replaced by the older one of the copy."""
        self.lose_changes(
            lambda: self.platform.publish(test_stale_versions.add_route)
        )
        self.assertEqual({200}, self.probe_during(3.0, "/added/1"))

    def test_server_with_a_lost_entry_keeps_its_traffic(self):
        """Guards against 503 while servers write their entries again."""

        def replace_servers():
            for name in ("desk-1", "desk-2"):
                self.platform.write_server(name)

        for name in ("desk-1", "desk-2"):
            self.platform.contents.write(f"servers/i-{name}", None)
        self.lose_changes(replace_servers)
        self.assertEqual({200}, self.probe_during(1.4))
        replace_servers()
        self.assertEqual({200}, self.probe_during(3.0))


class RestoredStoreFiveVmsTest(RestoredStoreCase):
    """Two VMs of a zone of five watch the store."""

    vm_count = 5

    def test_version_is_in_force_at_listeners_after_a_restore(self):
        """Guards against listeners that wait for a higher revision."""
        self.lose_changes()
        self.platform.publish(test_stale_versions.add_route)
        self.assert_in_time(200)

    def test_server_is_not_used_by_listeners_after_a_restore(self):
        """Guards against changes of peers refused for lower revisions."""
        self.lose_changes()
        self.platform.contents.write("servers/i-desk-1", None)
        self.assert_server_unused("desk-1")
