"""Tests of /readyz."""

import testtools

from savoryspar.bench import deployments
from savoryspar.bench import fleet as fleet_lib


class ReadinessTest(testtools.TestCase):
    def test_ready_only_with_a_sheet_and_backend_servers(self):
        """Guards against a load balancer that sends requests too early."""
        with fleet_lib.Fleet() as fleet:
            fleet.start_platform()
            entry = fleet.start_entry("e1", "andina-bog", "andina-bog-a")

            def reason():
                return fleet.get_json(entry, "/readyz")["status"]

            self.assertEqual("no configuration", reason())
            fleet.publish_sheet(deployments.GESTO.sheet_text(), revision=1)
            fleet.wait_until(lambda: reason() == "no backend servers")
            fleet.start_backend(
                "pool", "p1", "programacion", "andina-bog", "andina-bog-a"
            )
            fleet.publish_vms()
            fleet.wait_until(lambda: reason() == "ready")
