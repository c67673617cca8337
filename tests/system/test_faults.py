"""Tests a seeded mix of sends, resends and faults with real processes.

After each answer, the test compares it with the runs that the plain services
have recorded.
"""

import json
import random

import testtools
import urllib3

from savoryspar.bench import deployments
from savoryspar.bench import fleet as fleet_lib

STEPS = 90
MAX_KILLS = 3
MAX_PAUSES = 3
HEADERS = {
    "Authorization": "Bearer key-escuela-sur",
    "X-Deadline-Ms": "1000",
}
SHEET_TEXT = deployments.GESTO.sheet_text()


class Order:
    """An order and the outputs of its successful sends."""

    def __init__(self, number, ticket):
        self.number = number
        self.ticket = ticket
        self.outputs = []


class FaultsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fleet_lib.Fleet()
        self.addCleanup(self.fleet.close)
        self.entries = deployments.start(
            deployments.GESTO, self.fleet, entries=3, backends_share=0.6
        )
        self.http = urllib3.PoolManager(
            maxsize=8, retries=False, timeout=urllib3.Timeout(total=2.0)
        )
        self.orders = []
        self.paused = []
        self.revisions = {}
        self.revision = 1
        self.start_count = len(self.entries)
        self.violations = []

    def post(self, entry, path, body, **headers):
        """Returns the status and document of the answer; None if it failed."""
        try:
            resp = self.http.request(
                "POST",
                entry.url + path,
                body=json.dumps(body).encode(),
                headers={**HEADERS, **headers},
            )
        except urllib3.exceptions.HTTPError:
            return None
        return resp.status, json.loads(resp.data)

    def count_runs(self, order):
        return sum(
            run["input"].get("number") == order.number
            for name, process in self.fleet.processes.items()
            if name.startswith("inscripciones")
            for run in self.fleet.get_json(process, "/book")["runs"]
        )

    def check_answer(self, order, answer):
        runs = self.count_runs(order)
        if runs > 1:
            self.violations.append(f"order {order.number} ran {runs} times")
        if answer is None:
            return
        status, document = answer
        if status == 200:
            order.outputs.append(document["output"])
            if runs != 1 or order.outputs[0] != document["output"]:
                self.violations.append(
                    f"order {order.number}: {document}, {runs}"
                )
        elif document["run_state"] == "not_run" and runs:
            self.violations.append(
                f"order {order.number}: {runs} runs, but {document}"
            )

    def step_new_order(self, rng):
        issuer, entry = rng.choice(self.entries), rng.choice(self.entries)
        body = {"pipeline": "registration"}
        issued = self.post(issuer, "/v1/tickets", body)
        if issued is None or issued[0] != 201:
            return
        order = Order(len(self.orders), issued[1]["ticket"])
        self.orders.append(order)
        self.send(order, entry)

    def step_resend(self, rng):
        if self.orders:
            self.send(rng.choice(self.orders[-8:]), rng.choice(self.entries))

    def send(self, order, entry):
        answer = self.post(
            entry,
            "/v1/pipelines/registration",
            {"number": order.number},
            **{"Order-Ticket": order.ticket},
        )
        self.check_answer(order, answer)

    def step_status_check(self, rng):
        answer = self.post(
            rng.choice(self.entries), "/v1/pipelines/status-check", {}
        )
        if answer is not None and answer[0] == 200:
            document = answer[1]
            if document["output"]["request_id"] != document["request_id"]:
                self.violations.append(
                    f"answer belongs to another request: {document}"
                )

    def step_kill(self, rng):
        if self.start_count >= 3 + MAX_KILLS:
            return
        victim = rng.choice(self.entries)
        self.entries.remove(victim)
        victim.kill()
        self.fleet.vms = [
            vm for vm in self.fleet.vms if vm["name"] != victim.name
        ]
        name = f"replacement-{self.start_count}"
        self.start_count += 1
        region = rng.choice(deployments.GESTO.regions)
        entry = self.fleet.start_entry(name, region, f"{region}-a")
        self.fleet.publish_vms()
        self.entries.append(entry)

    def step_pause(self, rng):
        if self.paused:
            self.paused.pop().resume()
        else:
            victim = rng.choice(self.entries)
            victim.pause()
            self.paused.append(victim)

    def step_outage(self, rng):
        is_down = rng.random() < 0.5
        self.fleet.control(self.fleet.platform, {"is_down": is_down})

    def step_publish(self, rng):
        is_stale = rng.random() < 0.3
        text = SHEET_TEXT.replace(
            "bulk,floor_percent,10",
            f"bulk,floor_percent,{10 + self.revision % 9}",
        )
        if not is_stale:
            self.revision += 1
        self.fleet.publish_sheet(text, 1 if is_stale else self.revision)

    def check_revisions(self):
        for entry in self.entries:
            if entry in self.paused:
                continue
            try:
                url = self.fleet.operator_url(entry)
                status = self.http.request("GET", f"{url}/status").json()
            except (urllib3.exceptions.HTTPError, TimeoutError):
                continue
            revision = status["sheet"]["revision"]
            if revision < self.revisions.get(entry.name, 0):
                self.violations.append(
                    f"{entry.name} returned to revision {revision}"
                )
            self.revisions[entry.name] = revision

    def test_mixed_faults(self):
        """Guards against combined faults that duplicate or undo an order."""
        rng = random.Random(20261204)
        steps = (
            (self.step_new_order, 8),
            (self.step_resend, 10),
            (self.step_status_check, 6),
            (self.step_kill, 1),
            (self.step_pause, 2),
            (self.step_outage, 1),
            (self.step_publish, 2),
        )
        functions, weights = zip(*steps, strict=True)
        for step in rng.choices(functions, weights, k=STEPS):
            step(rng)
            self.check_revisions()
        for process in self.paused:
            process.resume()
        self.fleet.control(self.fleet.platform, {"is_down": False})
        for order in self.orders:
            self.send(order, self.entries[0])
        self.check_revisions()
        self.assertEqual([], self.violations)
        self.assertGreater(sum(bool(o.outputs) for o in self.orders), 0)
