"""Tests of the checks of the settings."""

import testtools

from savoryspar import checks
from savoryspar.conf import loader
from tests.conf import test_loader


class RunChecksTest(testtools.TestCase):
    def ids(self, changes):
        cfg = loader.convert_settings(
            {**test_loader.example_texts(), **changes}, {}
        )
        return [message.check_id for message in checks.run_checks(cfg)]

    def test_examples_have_no_faults(self):
        """Guards against example settings with faults, which users copy."""
        self.assertEqual([], self.ids({}))

    def test_host_names_are_refused(self):
        """Guards against a host name, which fails at the first call.

        Host names are not resolved.
        """
        found = self.ids(
            {
                ("platform", "config_url"): "http://config.example:80",
                ("entry", "listen_address"): "localhost",
            }
        )
        self.assertEqual(["entry.E001", "platform.E001"], found)

    def test_shared_port_is_refused(self):
        """Guards against callers who reach the operators' endpoints.

        With SO_REUSEPORT both listeners can open the same port.
        """
        self.assertEqual(
            ["entry.E002"], self.ids({("entry", "operator_port"): "8000"})
        )

    def test_slow_settings_are_warned_about(self):
        """Guards against settings that delay drains without a warning."""
        found = self.ids(
            {
                ("platform", "vm_list_interval_s"): "30",
                ("entry", "drain_notice_s"): "0",
                ("log", "decision_sample_percent"): "0",
            }
        )
        self.assertEqual(["entry.W001", "log.W001", "platform.W001"], found)
