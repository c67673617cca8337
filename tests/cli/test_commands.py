"""Tests of the commands as separate processes."""

import json
import pathlib
import subprocess
import sys
import tempfile

import testtools
from testtools import matchers

from savoryspar.bench import deployments
from savoryspar.bench import fleet as fleet_lib

SHEET = str(deployments.EXAMPLES / "gesto" / "sheet.csv")


def run(*arguments):
    """Runs a command; returns its exit code, output and errors."""
    done = subprocess.run(
        [sys.executable, "-m", "savoryspar", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
    )
    return done.returncode, done.stdout, done.stderr


class SheetCommandsTest(testtools.TestCase):
    def test_check_prints_every_fault_and_fails(self):
        """Guards against a faulty sheet that scripts accept as valid.

        Scripts that validate sheets rely on the exit code.
        """
        path = self.csv_file("table,name,field,value\nwork,w,rank,x\n")
        code, _, errors = run("sheet", "check", path)
        self.assertEqual(1, code)
        self.assertThat(errors, matchers.Contains("sheet.E006"))
        self.assertThat(errors, matchers.Contains("sheet.E007"))

    def test_diff_names_changed_fields(self):
        """Guards against a change that a review of the new sheet misses."""
        text = deployments.GESTO.sheet_text()
        changed = text.replace("deadline_ms,2000", "deadline_ms,9")
        path = self.csv_file(changed)
        code, output, _ = run("sheet", "diff", SHEET, path)
        self.assertEqual(
            (0, "work status deadline_ms: '2000' -> '9'\n"), (code, output)
        )

    def test_export_renders_the_keys(self):
        """Guards against a published manifest without the revision."""
        code, output, _ = run("sheet", "export", SHEET, "--revision", "7")
        manifest = json.loads(json.loads(output)["manifest"])
        self.assertEqual((0, 7), (code, manifest["revision"]))

    def csv_file(self, text):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "sheet.csv"
        path.write_text(text, "utf-8")
        return str(path)


class OperatorCommandsTest(testtools.TestCase):
    def test_status_decisions_and_drain(self):
        """Guards against operators unable to see decisions or to drain."""
        with fleet_lib.Fleet() as fleet:
            entry = deployments.start(
                deployments.GESTO, fleet, entries=1, backends_share=0.1
            )[0]
            url = fleet.operator_url(entry)
            fleet.http.request(
                "POST",
                f"{entry.url}/v1/pipelines/status-check",
                body=b"{}",
                headers={"Authorization": "Bearer key-calle-libre"},
            )
            _, output, _ = run("status", url, "--json")
            self.assertEqual(1, json.loads(output)["sheet"]["revision"])
            _, output, _ = run("decisions", url, "--stage", "find")
            self.assertThat(output, matchers.Contains("workspace=calle-libre"))
            code, output, _ = run("drain", url)
            self.assertEqual((0, "Draining.\n"), (code, output))
            self.assertEqual(0, entry.wait())

    def test_unreachable_process_is_named(self):
        """Guards against a traceback when the port is wrong."""
        code, _, errors = run("status", "http://127.0.0.1:1")
        self.assertEqual(1, code)
        self.assertThat(errors, matchers.Contains("operators' port"))
