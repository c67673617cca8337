"""Tests of malformed entries among those of the backend servers."""

import json
import re

import eventlet

from savoryspar.gateway import watchers
from tests.gateway import node_case, odd_store

CONFIG_S = 2.5
"""Time within which a change has to be in force."""


class OddEntriesCase(node_case.NodeCase):
    platform_class = odd_store.OddPlatform

    def order(self, ports=None, path="/o/1"):
        fields = [("Savoryspar-Key", "key-1")]
        return self.request("callers", "POST", path, fields, b"1", ports)

    def metric(self, name, ports=None):
        text = self.request("metrics", "GET", "/metrics", ports=ports).decode()
        found = re.search(rf"^savoryspar_gateway_{name}\S* (\S+)$", text, re.M)
        return float(found[1]) if found else None

    def await_answer(self, expected, ports=None, path="/o/1"):
        """Waits until an order is answered by the expected server."""
        with eventlet.Timeout(CONFIG_S, False):
            while True:
                answer = self.order(ports, path)
                if answer.endswith(expected):
                    return
                eventlet.sleep(0.05)
        self.fail(f"not {expected!r} within {CONFIG_S} s: {answer[-200:]!r}")

    def replace_server(self):
        """Replaces the server that is in use by the other one."""
        self.platform.put_server("desk-b")
        self.platform.put("servers/i-desk-a", None)

    def put_odd_entries(self):
        for number, value in enumerate(odd_store.ODD_ENTRIES.values()):
            self.platform.put(f"servers/i-odd-{number}", value)
        for key, value in odd_store.ODD_KEYS.items():
            self.platform.put(key, value)


class OddEntriesTest(OddEntriesCase):
    def check_change(self):
        self.replace_server()
        self.await_answer(b"desk-b")
        self.assertIsNone(self.process.poll())
        answers = [self.order() for _ in range(20)]
        self.assertTrue(all(a.endswith(b"desk-b") for a in answers), answers)

    def test_deep_entry_does_not_hide_the_changes_after_it(self):
        """Guards against a watch that one entry nested too deep stops.

        The VM went on to use a server that was gone.
        """
        self.await_answer(b"desk-a")
        deep = odd_store.ODD_ENTRIES["nested 1,500 deep"]
        self.platform.put("servers/i-odd", deep)
        self.check_change()

    def test_odd_entries_do_not_hide_the_changes_after_them(self):
        """Guards against a watch that a malformed entry of any form stops."""
        self.await_answer(b"desk-a")
        self.put_odd_entries()
        self.check_change()

    def test_server_with_an_odd_entry_is_not_used(self):
        """Guards against requests for a server whose entry was overwritten."""
        self.await_answer(b"desk-a")
        self.platform.put_server("desk-b")
        self.await_answer(b"desk-b")
        deep = odd_store.ODD_ENTRIES["nested 1,500 deep"]
        self.platform.put("servers/i-desk-a", deep)
        eventlet.sleep(CONFIG_S)
        answers = [self.order() for _ in range(20)]
        self.assertTrue(all(a.endswith(b"desk-b") for a in answers), answers)
        self.platform.put_server("desk-a")
        self.platform.put("servers/i-desk-b", b"7")
        self.await_answer(b"desk-a")

    def test_odd_items_of_a_watch_do_not_hide_the_changes_after_them(self):
        """Guards against a watch that one malformed item of its page stops."""
        self.await_answer(b"desk-a")
        for item in odd_store.ODD_ITEMS.values():
            if isinstance(item, dict) and isinstance(item.get("revision"), int):
                item = {**item, "revision": self.platform.revision + 1}
            self.platform.add_event(item)
        self.platform.add_event(
            {"key": "servers/i-x", "value": "e30=", "revision": 2**64}
        )
        self.check_change()

    def test_odd_configuration_does_not_hide_the_next_one(self):
        """Guards against a version of 1e999 that stops the watch.

        The following versions never came into force.
        """
        self.await_answer(b"desk-a")
        document = json.dumps({**node_case.CONFIGURATION, "version": "@"})
        self.platform.put(
            "op/config", document.replace('"@"', "1e999").encode()
        )
        eventlet.sleep(0.5)
        moved = json.loads(json.dumps(node_case.CONFIGURATION))
        moved["version"] = 4
        moved["routes"][0]["prefix"] = "/moved/"
        self.platform.put("op/config", json.dumps(moved).encode())
        self.await_answer(b"desk-a", path="/moved/1")
        self.assertIsNone(self.process.poll())


class StartBesideOddEntriesTest(OddEntriesCase):
    """Tests of a VM that starts while malformed entries stand."""

    def setUp(self):
        super().setUp()
        self.await_answer(b"desk-a")

    def restart(self):
        self.process.kill()
        self.process.wait()
        self.start_vm(0)
        self.process = self.processes[0]
        self.await_ready(self.ports)

    def test_vm_that_starts_beside_odd_entries_serves(self):
        """Guards against a VM that finds no server because of one entry."""
        deep = odd_store.ODD_ENTRIES["nested 1,500 deep"]
        self.platform.put("servers/i-odd", deep)
        self.restart()
        self.await_answer(b"desk-a")
        self.put_odd_entries()
        self.restart()
        self.await_answer(b"desk-a")
        self.replace_server()
        self.await_answer(b"desk-b")

    def test_vm_that_reads_a_list_with_odd_items_serves(self):
        """Guards against a list that one malformed item makes useless."""
        self.platform.raw_items = [*odd_store.ODD_ITEMS.values()]
        self.restart()
        self.await_answer(b"desk-a")
        self.replace_server()
        self.await_answer(b"desk-b")


class PeersBesideOddEntriesTest(OddEntriesCase):
    """Tests of a VM that has its servers from a peer."""

    def test_peer_without_the_store_gets_the_other_entries(self):
        """Guards against a text that no frame can carry in an entry.

        The writer of the link failed, which closed it, and the peer got none
        of the entries.
        """
        self.await_answer(b"desk-a")
        for number, field in enumerate(("service", "zone", "version")):
            value = odd_store.entry(**{field: "\ud800"})
            self.platform.put(f"servers/i-odd-{number}", value)
        self.platform.put_server("desk-b")
        self.await_answer(b"desk-b")
        self.platform.addresses["store"] = "127.0.0.1:1"
        first = self.vm_ports[0]
        names = node_case.soak_ports.free_ports(len(first))
        self.vm_ports.append(dict(zip(first, names, strict=True)))
        self.processes.append(None)
        self.start_vm(1)
        self.await_ready(self.vm_ports[1])
        self.await_answer(b"desk-b", self.vm_ports[1])
        self.assertEqual(1.0, self.metric("peers", self.ports))


class ListenersBesideOddEntriesTest(OddEntriesCase):
    """Tests of a zone in which two VMs watch the store for the others."""

    vm_count = 5

    def test_odd_entries_do_not_hide_the_changes_told_by_peers(self):
        """Guards against VMs that miss changes told beside malformed ones."""
        for ports in self.vm_ports:
            self.await_answer(b"desk-a", ports)
        # VMs begin to watch for others once they know each other.
        eventlet.sleep(2 * watchers.SETTLE_S)
        self.put_odd_entries()
        self.replace_server()
        eventlet.sleep(CONFIG_S)
        for ports in self.vm_ports:
            self.assertTrue(self.order(ports).endswith(b"desk-b"))
        self.assertEqual([None] * 5, [p.poll() for p in self.processes])
        peers = [self.metric("peers", ports) for ports in self.vm_ports]
        self.assertEqual([4.0] * 5, peers)
        told = [self.metric("ignored_entries", p) for p in self.vm_ports]
        expected = len(odd_store.ODD_ENTRIES) + len(odd_store.ODD_KEYS)
        self.assertTrue(all(0 < count <= 2 * expected for count in told), told)
