"""Tests of the system checks."""

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
        """A warning on an example would be copied by its readers."""
        self.assertEqual([], self.ids({}))

    def test_host_names_are_refused(self):
        """Names are not resolved, so a name would fail at the first call."""
        found = self.ids(
            {
                ("platform", "config_url"): "http://config.example:80",
                ("entry", "listen_address"): "localhost",
            }
        )
        self.assertEqual(["entry.E001", "platform.E001"], found)

    def test_shared_port_is_refused(self):
        """With SO_REUSEPORT callers would reach the operators' side."""
        self.assertEqual(
            ["entry.E002"], self.ids({("entry", "operator_port"): "8000"})
        )

    def test_slow_settings_are_warned_about(self):
        """Settings that break a promise must not pass unnoticed."""
        found = self.ids(
            {
                ("platform", "vm_list_interval_s"): "30",
                ("entry", "drain_notice_s"): "0",
                ("log", "decision_sample_percent"): "0",
            }
        )
        self.assertEqual(["entry.W001", "log.W001", "platform.W001"], found)
