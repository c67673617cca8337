"""Tests of orders over real processes.

The number of runs is read from the records of the stand-in server.
"""

from concurrent import futures
import time

import testtools

from savoryspar import idempotency
from savoryspar.bench import deployments, order_client
from savoryspar.bench import fleet as fleet_lib
from savoryspar.conf.sections import idempotency as section

SERVICE = "inscripciones-0"
CHECK = "programacion-0"
TTL_S = 4.0


class OrdersFixture:
    ttl_s = 600.0

    def setUp(self):
        super().setUp()
        self.fleet = fleet_lib.Fleet()
        self.addCleanup(self.fleet.close)
        self.entries = deployments.start(
            deployments.GESTO,
            self.fleet,
            entries=3,
            backends_share=0.1,
            settings={"idempotency": {"ticket_ttl_s": self.ttl_s}},
        )
        self.client = order_client.OrderClient(
            "key-calle-libre", "registration"
        )
        self.workers = futures.ThreadPoolExecutor(8)
        self.addCleanup(self.workers.shutdown)
        self.wait_for_peers(*self.entries)

    def wait_for_peers(self, *entries):
        """Waits until each entry VM can reach the first one."""
        ticket = self.client.ticket(entries[0])
        for entry in entries:
            self.fleet.wait_until(
                lambda entry=entry: (
                    self.client.state(entry, ticket).status == 200
                )
            )

    def set_faults(self, name=SERVICE, **faults):
        self.fleet.control(self.fleet.processes[name], faults)

    def runs(self, number):
        records = self.fleet.get_json(self.fleet.processes[SERVICE], "/book")
        return [r for r in records["runs"] if r["input"]["number"] == number]

    def send(self, entry, ticket, number):
        return self.client.send(entry, {"number": number}, ticket)


class OrdersTest(OrdersFixture, testtools.TestCase):
    def test_resends_to_any_process_get_the_one_result(self):
        """A retry on another entry VM must not run the order a second time."""
        ticket = self.client.ticket(self.entries[0])
        self.set_faults(work_ms=200)
        replies = list(
            self.workers.map(
                lambda entry: self.send(entry, ticket, 1), self.entries * 2
            )
        )
        replies.append(self.send(self.entries[1], ticket, 1))
        self.assertEqual({200}, {reply.status for reply in replies})
        runs = {reply.document["output"]["run"] for reply in replies}
        self.assertEqual((1, 1), (len(runs), len(self.runs(1))))
        state = self.client.state(self.entries[2], ticket)
        self.assertEqual("complete", state.run_state)
        other = self.send(self.entries[1], ticket, 2)
        self.assertEqual((422, "not_run"), (other.status, other.run_state))
        stranger = order_client.OrderClient("key-escuela-sur", "registration")
        for reply in (
            stranger.send(self.entries[1], {"number": 1}, ticket),
            stranger.state(self.entries[0], ticket),
            self.send(self.entries[0], ticket[:-4] + "AAAA", 1),
        ):
            self.assertEqual(404, reply.status)
        self.assertEqual(0, len(self.runs(2)))

    def test_order_without_a_ticket_does_not_run(self):
        """A caller without a ticket must get one instead of a second run."""
        entry = self.entries[0]
        plain = self.client.send(entry, {"number": 1}, "")
        self.assertEqual((428, "not_run"), (plain.status, plain.run_state))
        # With a key, an earlier send may have run with another ticket.
        reply = self.client.send(entry, {"number": 1}, "", "key-1")
        ticket = reply.document["ticket"]
        self.assertEqual((428, "unknown"), (reply.status, reply.run_state))
        self.assertEqual(ticket, reply.headers["Order-Ticket"])
        again = self.client.send(entry, {"number": 1}, "", "key-1")
        self.assertEqual(ticket, again.document["ticket"])
        wrong = self.client.send(entry, {"number": 1}, ticket, "key-2")
        self.assertEqual(422, wrong.status)
        self.assertEqual(0, len(self.runs(1)))
        good = self.client.send(self.entries[1], {"number": 1}, ticket, "key-1")
        self.assertEqual((200, 1), (good.status, len(self.runs(1))))

    def test_server_that_supports_keys_gets_the_nonce(self):
        """A server that deduplicates requests needs the same key each time."""
        text = deployments.GESTO.sheet_text()
        changed = text.replace(
            "inscripciones,supports,load",
            "inscripciones,supports,load idempotency-key",
        )
        self.fleet.publish_sheet(changed, 2, text)
        keys = idempotency.new_ticket_signer(
            section.ticket_keys(fleet_lib.TICKET_KEYS), 1.0
        )

        def nonce_arrives():
            ticket = self.client.ticket(self.entries[0])
            self.send(self.entries[1], ticket, 1)
            nonce = keys.verify(ticket).nonce
            return self.runs(1)[-1]["idempotency_key"] == nonce

        self.fleet.wait_until(nonce_arrives)
        records = self.fleet.get_json(self.fleet.processes[CHECK], "/book")
        self.assertEqual({""}, {r["idempotency_key"] for r in records["runs"]})

    def test_failures_before_and_after_the_first_byte(self):
        """A lost answer must stay unknown; an unsent order may be retried."""
        ticket = self.client.ticket(self.entries[0])
        self.set_faults(drop_after=1)
        for entry in self.entries:
            reply = self.send(entry, ticket, 1)
            self.assertEqual("unknown", reply.run_state)
        self.assertEqual(1, len(self.runs(1)))
        vms = self.fleet.vms
        self.fleet.vms = [vm for vm in vms if vm["role"] == "entry"]
        self.fleet.publish_vms()
        for number in range(2, 40):
            # Orders run until the owner applies the VM list. An order that is
            # in progress at that time ends as unknown.
            ticket = self.client.ticket(self.entries[0])
            reply = self.send(self.entries[1], ticket, number)
            if reply.run_state == "not_run":
                break
            time.sleep(0.05)
        reply = self.client.state(self.entries[2], ticket)
        self.assertEqual("not_run", reply.run_state)
        self.assertEqual(0, len(self.runs(number)))
        self.fleet.vms = vms
        self.fleet.publish_vms()
        self.fleet.wait_until(
            lambda: self.send(self.entries[2], ticket, number).status == 200
        )
        self.assertEqual(1, len(self.runs(number)))

    def test_order_of_a_killed_owner_is_unknown(self):
        """No other process may run an order whose owner crashed during it."""
        ticket = self.client.ticket(self.entries[0])
        unused = self.client.ticket(self.entries[0])
        self.set_faults(work_ms=500)
        sent = self.workers.submit(self.send, self.entries[0], ticket, 1)
        self.fleet.wait_until(lambda: self.runs(1))
        self.entries[0].kill()
        self.assertEqual(order_client.BROKEN, sent.result().status)
        for entry in self.entries[1:]:
            for text, number in ((ticket, 1), (unused, 2)):
                reply = self.send(entry, text, number)
                self.assertEqual(
                    (503, "unknown"), (reply.status, reply.run_state)
                )
                self.assertTrue(
                    reply.document["type"].endswith("order_unknown")
                )
        self.assertEqual((1, 0), (len(self.runs(1)), len(self.runs(2))))

    def test_order_of_a_paused_owner_runs_only_there(self):
        """An order must not run elsewhere while its owner is paused."""
        ticket = self.client.ticket(self.entries[0])
        self.entries[0].pause()
        reply = self.send(self.entries[1], ticket, 1)
        self.assertEqual("unknown", reply.run_state)
        self.entries[0].resume()
        self.fleet.wait_until(
            lambda: self.send(self.entries[2], ticket, 1).status == 200
        )
        self.assertEqual(1, len(self.runs(1)))

    def test_rolling_replacement(self):
        """Every ticket must stay usable when all entry VMs are replaced."""
        done = [self.client.ticket(entry) for entry in self.entries]
        unused = [self.client.ticket(entry) for entry in self.entries]
        for number, ticket in enumerate(done):
            self.send(self.entries[number], ticket, number)
        newcomers = []
        for number, old in enumerate(self.entries):
            name = f"new-{number}"
            region = deployments.GESTO.regions[number]
            newcomers.append(
                self.fleet.start_entry(name, region, f"{region}-a")
            )
            self.fleet.publish_vms()
            self.fleet.wait_ready(name)
            self.wait_for_peers(newcomers[0], newcomers[-1])
            old.terminate()
            self.assertEqual(0, old.wait())
        for number in range(3):
            for entry in newcomers:
                for text, order in (
                    (done[number], number),
                    (unused[number], 10 + number),
                ):
                    reply = self.send(entry, text, order)
                    self.assertEqual(200, reply.status, reply.document)
        for order in (0, 1, 2, 10, 11, 12):
            self.assertEqual(1, len(self.runs(order)))


class ExpiryTest(OrdersFixture, testtools.TestCase):
    ttl_s = TTL_S

    def test_owner_paused_past_the_expiry_does_not_send(self):
        """An order must not start after the expiry, even if it was paused."""
        ticket = self.client.ticket(self.entries[0])
        self.set_faults(CHECK, work_ms=700)
        sent = self.workers.submit(self.send, self.entries[0], ticket, 1)
        time.sleep(0.3)
        self.entries[0].pause()
        time.sleep(TTL_S)
        self.entries[0].resume()
        self.assertEqual("unknown", sent.result().run_state)
        unused = self.client.ticket(self.entries[1])
        time.sleep(TTL_S)
        reply = self.send(self.entries[2], unused, 2)
        self.assertEqual((410, "not_run"), (reply.status, reply.run_state))
        self.assertEqual((0, 0), (len(self.runs(1)), len(self.runs(2))))
