"""Tests of the memory of ``savoryspar entry`` beside servers without end."""

import pathlib
import subprocess
import sys

import testtools

from savoryspar.soak import ports as soak_ports
from tests.backends import endless_calls
from tests.gateway import endless_peers

ROOT = pathlib.Path(__file__).resolve().parents[2]


class EndlessCallsTest(testtools.TestCase):
    def test_endless_bodies_do_not_fill_the_memory(self):
        """Guards against a process that keeps all bytes of a faulty server.

        Bodies were read whole, however long, and checked afterwards.
        """
        (port,) = soak_ports.free_ports(1)
        server = endless_peers.PeerProcess("serve", str(port))
        self.addCleanup(server.end)
        run = subprocess.run(
            [
                *(sys.executable, "-W", "ignore", "-m"),
                "tests.backends.endless_calls",
                f"127.0.0.1:{port}",
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        print(run.stdout, run.stderr[-2000:])
        *failed, peak_mb = run.stdout.split()
        self.assertEqual(
            ["cache", "key", "load", "models", "run", "vms"], failed
        )
        self.assertLess(float(peak_mb), endless_calls.MEMORY_BYTES / 2**20)
