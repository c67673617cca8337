"""Tests that a graceful shutdown completes all requests in progress."""

import concurrent.futures
import json

import testtools
import urllib3

from savoryspar.bench import deployments
from savoryspar.bench import fleet as fleet_lib

HEADERS = {"Authorization": "Bearer key-calle-libre"}
TOKENS = 60
STREAMS = 12


class DrainTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fleet_lib.Fleet()
        self.addCleanup(self.fleet.close)
        self.http = urllib3.PoolManager(maxsize=STREAMS * 2, retries=False)
        self.entry = deployments.start(
            deployments.GESTO,
            self.fleet,
            entries=1,
            backends_share=0.3,
            settings={"entry": {"drain_notice_s": 0.5}},
        )[0]

    def stream(self, number):
        """Streams a chat; returns whether the complete answer arrived."""
        body = {
            "model": "archive-digest",
            "stream": True,
            "max_tokens": TOKENS,
            "messages": [{"role": "user", "content": f"notas {number}"}],
        }
        resp = self.http.request(
            "POST",
            f"{self.entry.url}/v1/chat/completions",
            body=json.dumps(body).encode(),
            headers=HEADERS,
        )
        return resp.data.count(b'"content"') == TOKENS and (
            b"data: [DONE]" in resp.data
        )

    def test_streams_in_progress_are_finished(self):
        """Guards against a rolling replacement that truncates answers."""
        with concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
            answers = [pool.submit(self.stream, n) for n in range(STREAMS)]
            self.fleet.wait_until(lambda: self.running_calls() >= STREAMS // 2)
            self.entry.terminate()
            self.assertEqual(0, self.entry.wait(30))
        self.assertEqual([True] * STREAMS, [a.result() for a in answers])

    def running_calls(self):
        return sum(
            int(self.http.request("GET", f"{process.url}/load").data.split()[1])
            for name, process in self.fleet.processes.items()
            if name.startswith("jurado-lm")
        )
