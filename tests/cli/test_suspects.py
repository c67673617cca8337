"""Tests that crash suspects reach every entry process."""

import json

import testtools

from savoryspar.bench import deployments
from savoryspar.bench import fleet as fleet_lib

MARK = "ENGINE-CRASH"


class ShareSuspectsTest(testtools.TestCase):
    def test_resends_crash_two_engines_at_most(self):
        """Guards against a request that crashes every engine of a pool.

        Its caller resends it to each entry VM in turn, also to one that starts
        after the crashes.
        """
        with fleet_lib.Fleet() as fleet:
            entries = deployments.start(
                deployments.BOKBINDERI, fleet, entries=3, backends_share=0.5
            )
            engines = [
                process
                for name, process in fleet.processes.items()
                if name.startswith("savory-pool-")
            ]
            for engine in engines:
                fleet.control(engine, {"crash_mark": MARK})
            kinds = [
                self.send(fleet, entry) for _ in range(4) for entry in entries
            ]
            late = fleet.start_entry("late", "boras-hall", "boras-hall-a")
            fleet.publish_vms()
            fleet.wait_ready("late")
            kinds.append(self.send(fleet, late))
            crashed = [e for e in engines if e.popen.poll() is not None]
            self.assertLessEqual(len(crashed), 2)
            self.assertEqual("refused_fingerprint", kinds[-1])

    def send(self, fleet, entry):
        """Sends the crashing request; returns the type of the problem."""
        body = {
            "model": "batch-notes",
            "messages": [{"role": "user", "content": f"400 {MARK}"}],
        }
        resp = fleet.http.request(
            "POST",
            f"{entry.url}/v1/chat/completions",
            body=json.dumps(body).encode(),
            headers={"Authorization": "Bearer key-glue-shop"},
        )
        return json.loads(resp.data)["type"].rpartition(":")[2]
