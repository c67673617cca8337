"""Tests of connections in a process monkey-patched by eventlet."""

import os
import pathlib
import subprocess
import sys

import testtools

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = """
import eventlet
eventlet.monkey_patch()
import time
from savoryspar import backends, platform
from tests.backends import test_connections as scripted

server = scripted.ScriptedServer(
    *(
        scripted.send(scripted.complete_answer(name, b"1"))
        for name in (b"a", b"b")
    )
)
client = backends.new_connections(platform.decode_answer_facts, time.monotonic)
for name in "ab":
    answer = client.send(
        ("s", server.address), "GET", "/", [], b"", 2.0, name, False
    )
    answer.read_all(time.monotonic() + 2.0)
print(server.connections)
"""


class PatchedConnectionsTest(testtools.TestCase):
    def test_connection_is_reused(self):
        """Guards against a descriptor closed while its socket is in use."""
        run = subprocess.run(
            [sys.executable, "-W", "ignore", "-c", PROGRAM],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            capture_output=True,
            text=True,
            timeout=30,
            check=True,
        )
        self.assertEqual("1", run.stdout.strip())
