"""Tests of the command that prints the log lines of a request."""

import json
import pathlib
import tempfile

from cleo.testers import command_tester
import testtools

from savoryspar.cli import explain

LINES = [
    {"at": 1.0, "node": "b", "event": "stage call", "request": "x,a1"},
    {"at": 9.0, "node": "a", "event": "request admitted", "request": "a1"},
    {"at": 9.5, "node": "a", "event": "store lost", "cause": "down"},
    {"at": 9.9, "node": "a", "event": "request failed", "request": "a1"},
    {"at": 9.9, "node": "a", "event": "request failed", "request": "a2"},
]


class ExplainTest(testtools.TestCase):
    def explain(self, arguments):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "log")
            text = "".join(f"  1.0 vm {json.dumps(line)}\n" for line in LINES)
            path.write_text(text + "not a line\n", "utf-8")
            tester = command_tester.CommandTester(explain.ExplainCommand())
            code = tester.execute(f"{arguments} {path}")
            return code, tester.io.fetch_output()

    def test_lines_of_all_vms_start_with_the_admitting_vm(self):
        """Guards against output without the calls made by other VMs."""
        code, text = self.explain("a1")
        self.assertEqual(0, code)
        self.assertEqual(
            ["a", "request admitted:", "request failed:", "b", "stage call:"],
            [line.split("  ")[-1].strip() for line in text.splitlines()],
        )

    def test_state_changes_are_shown_on_demand(self):
        """Guards against hiding the state change that caused a failure."""
        self.assertNotIn("store lost", self.explain("a1")[1])
        self.assertIn("store lost", self.explain("--beliefs a1")[1])

    def test_unknown_request_fails(self):
        """Guards against empty output and success for a mistyped ID."""
        self.assertEqual(1, self.explain("a9")[0])
