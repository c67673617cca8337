"""Tests of the structured log lines on standard output."""

import json
import os
import pathlib
import re
import subprocess
import sys

import testtools

from savoryspar import log

PACKAGE = pathlib.Path(log.__file__).resolve().parents[1]
CALL = re.compile(
    r"\.(?:state_change|decision|failure)\(\s*(.*?),\n?", re.DOTALL
)
NAME = re.compile(r'"([^"]+)"')
PATCHED = """
import eventlet
eventlet.monkey_patch()
import os
from savoryspar import log

reader, writer = os.pipe()
events = log.new_event_log(writer, "vm-1")
with eventlet.Timeout(5.0):
    for step in range(5000):
        events.state_change("start", float(step), text="x" * 200)
print("done")
"""


class EventLogTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        os.set_blocking(self.reader, False)
        self.log = log.new_event_log(self.writer, "vm-1")

    def lines(self):
        data = b""
        while True:
            try:
                data += os.read(self.reader, 65536)
            except BlockingIOError:
                return [json.loads(line) for line in data.splitlines()]

    def test_line_names_request_and_inputs(self):
        """Guards against a line without the inputs of the decision."""
        self.log.decision("server chosen", 5.0, "a1", server="i-1", age_s=2)
        self.assertEqual(
            [
                {
                    "at": 5.0,
                    "node": "vm-1",
                    "event": "server chosen",
                    "request": "a1",
                    "server": "i-1",
                    "age_s": 2,
                }
            ],
            self.lines(),
        )

    def test_successes_do_not_use_up_the_budget_for_failures(self):
        """Guards against a burst of successes after which failures are lost."""
        for number in range(1000):
            self.log.decision("server chosen", 5.0, str(number))
        self.log.failure("request failed", 5.0, "last")
        lines = self.lines()
        self.assertLess(len(lines), 200)
        self.assertEqual("last", lines[-1]["request"])
        self.assertGreater(lines[-1]["left_out"], 800)

    def test_volume_is_bounded_over_time(self):
        """Guards against logging that uses too much CPU under load."""
        for step in range(6000):
            self.log.failure("request failed", step / 1000, "x")
            if step % 50 == 0:
                self.lines()
        self.assertGreater(self.log.left_out, 4500)

    def test_slow_reader_does_not_block(self):
        """Guards against a process blocked by a slow reader of its logs."""
        for step in range(20000):
            self.log.state_change("start", float(step), text="x" * 200)
        self.assertGreater(self.log.left_out, 0)
        for line in self.lines()[:-1]:
            self.assertEqual("start", line["event"])

    def test_slow_reader_does_not_block_a_patched_process(self):
        """Guards against eventlet's write, which blocks on a full pipe."""
        run = subprocess.run(
            [sys.executable, "-W", "ignore", "-c", PATCHED],
            cwd=PACKAGE.parent,
            capture_output=True,
            text=True,
            timeout=30,
            check=True,
        )
        self.assertEqual("done", run.stdout.strip())

    def test_every_event_is_listed(self):
        """Guards against an event that the reference does not list."""
        used = {
            name
            for path in PACKAGE.rglob("*.py")
            for call in CALL.findall(path.read_text("utf-8"))
            for name in NAME.findall(call)
        }
        self.assertEqual(set(log.EVENTS), used)
