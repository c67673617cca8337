"""Tests of the settings loader."""

import configparser

import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from savoryspar import conf
from savoryspar.bench import deployments
from savoryspar.conf import loader


def example_texts():
    """Returns the texts of the example settings by (section, key)."""
    parser = configparser.ConfigParser()
    parser.read(deployments.EXAMPLES / "gesto" / "entry.ini")
    return {
        (section, key): value
        for section in parser.sections()
        for key, value in parser.items(section)
    }


class LoadSettingsTest(testtools.TestCase):
    def check_ids(self, texts, environ=None):
        exc = self.assertRaises(
            ExceptionGroup, loader.convert_settings, texts, environ or {}
        )
        return sorted(fault.check_id for fault in exc.exceptions)

    def test_examples_load(self):
        """Guards against example settings that do not load."""
        for name in ("gesto", "bokbinderi"):
            path = deployments.EXAMPLES / name / "entry.ini"
            cfg = conf.load_settings(str(path), {})
            self.assertEqual("127.0.0.1", cfg.entry.listen_address)

    def test_all_faults_are_reported_together(self):
        """Guards against operators who find only one fault per start."""
        texts = example_texts()
        texts[("entry", "listen_port")] = "70000"
        texts[("entry", "nmae")] = "x"
        del texts[("entry", "zone")]
        self.assertEqual(
            ["conf.E002", "conf.E003", "conf.E004"], self.check_ids(texts)
        )

    def test_unknown_key_names_the_nearest(self):
        """Guards against a misspelt key that is silently ignored."""
        texts = {**example_texts(), ("log", "levle"): "info"}
        exc = self.assertRaises(
            ExceptionGroup, loader.convert_settings, texts, {}
        )
        self.assertThat(
            str(exc.exceptions[0]), matchers.Contains("[log] level")
        )

    def test_environment_overrides_file(self):
        """Guards against a file that overrides the environment.

        Roll-outs set the zone with an environment variable.
        """
        cfg = loader.convert_settings(
            example_texts(), {"SAVORYSPAR_ENTRY_ZONE": "caribe-ctg-a"}
        )
        self.assertEqual("caribe-ctg-a", cfg.entry.zone)

    def test_unreadable_file(self):
        """Guards against a missing file that is not reported as such."""
        exc = self.assertRaises(
            ExceptionGroup, conf.load_settings, "/nonexistent.ini", {}
        )
        self.assertEqual("conf.E001", exc.exceptions[0].check_id)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(
        strategies.sampled_from(conf.SETTINGS), strategies.text(max_size=12)
    )
    def test_any_text_converts_or_is_a_fault(self, item, text):
        """Guards against a traceback on an unusual value."""
        try:
            item.convert(text)
        except ValueError as exc:
            self.assertNotEqual("", str(exc))
