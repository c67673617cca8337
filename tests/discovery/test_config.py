"""Tests of the configuration client against the simulated platform."""

import testtools

from savoryspar import discovery, sheet
from savoryspar.bench import deployments
from savoryspar.bench import fleet as fleet_lib


class ConfigClientTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fleet_lib.Fleet()
        self.addCleanup(self.fleet.close)

    def new_client(self, *options):
        process = self.fleet.start_platform(*options)
        return discovery.new_config_client(process.url, 100, 100)

    def test_watch_returns_a_newer_revision(self):
        """Guards against a waiting watch that misses a change."""
        client = self.new_client()
        self.assertEqual(0, client.watch(after=0, timeout_s=0.1))
        self.fleet.publish_sheet(deployments.GESTO.sheet_text(), revision=4)
        self.assertEqual(4, client.watch(after=0, timeout_s=5))

    def test_outage_and_missing_key_are_errors(self):
        """Guards against treating an outage as an empty configuration."""
        client = self.new_client()
        self.assertRaises(discovery.PlatformError, client.get, "none")
        self.fleet.control(self.fleet.platform, {"is_down": True})
        self.assertRaises(
            discovery.PlatformError, client.get, sheet.MANIFEST_KEY
        )

    def test_rate_limit_is_an_error(self):
        """Guards against silent failures above the shared rate limit."""
        client = self.new_client("--rate", "2")
        self.fleet.publish_sheet(deployments.GESTO.sheet_text(), revision=1)
        keys = [sheet.bucket_key(number) for number in range(10)]
        self.assertRaises(
            discovery.PlatformError, lambda: [client.get(key) for key in keys]
        )
