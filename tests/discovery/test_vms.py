"""Tests of the clients of the platform's services against odd answers."""

import json

import testtools

from savoryspar import discovery
from tests.gateway import odd_store
from tests.platform import test_store

VM = {
    "name": "entry-1",
    "address": "10.0.0.1:80",
    "region": "r",
    "zone": "z",
    "role": "entry",
    "state": "ready",
    "peer_address": "10.0.0.1:81",
}
ODD_VMS = (
    *(7, None, [], "x", {}),
    *({**VM, "name": value} for value in (None, "", 7, "a\n", "\ud800")),
    *({**VM, "address": value} for value in (None, "host:80", "10.0.0.1:0")),
    *({**VM, "peer_address": value} for value in (7, "10.0.0.1:70000")),
    *({**VM, "state": value} for value in (None, [], 7)),
    {**VM, "zone": float("inf")},
)
MALFORMED = (
    *(odd_store.deep(1500), odd_store.deep(100_000), b"\xff", b"", b"7"),
    *(b"[]", b"null", b'{"vms": 3, "revision": 1e999}'),
    b'{"revision": %s, "vms": %s}' % (b"9" * 5000, odd_store.deep(1500)),
    b'{"revision": NaN}',
)


class OddAnswersTest(testtools.TestCase):
    def serve(self, *bodies):
        steps = [test_store.raw_answer(body) for body in bodies]
        return f"http://{test_store.ThreadedServer(steps).address}"

    def test_malformed_entry_costs_no_other_entry_of_the_list(self):
        """Guards against a list of VMs that one malformed entry makes useless.

        Servers that were gone stayed in use.
        """
        entries = [VM, *ODD_VMS, {**VM, "name": "entry-2"}]
        body = json.dumps({"vms": entries}).encode()
        client = discovery.new_vm_list_client(self.serve(body))
        names = [vm.name for vm in client.read()]
        self.assertEqual(["entry-1", "entry-2"], names)

    def test_vm_without_a_port_for_peers_is_listed(self):
        """Guards against backend servers that the list ignores."""
        for peer_address in ("", "127.0.0.1:0", None):
            entry = {**VM, "role": "backend", "peer_address": peer_address}
            body = json.dumps({"vms": [entry]}).encode()
            client = discovery.new_vm_list_client(self.serve(body))
            self.assertEqual([""], [vm.peer_address for vm in client.read()])

    def test_malformed_answers_are_errors_of_the_platform(self):
        """Guards against an error that ends the thread of the client."""
        for body in MALFORMED:
            url = self.serve(*[body] * 2)
            vms = discovery.new_vm_list_client(url)
            self.assertRaises(discovery.PlatformError, vms.read)
            config = discovery.new_config_client(url, 100, 100)
            self.assertRaises(discovery.PlatformError, config.watch, 0, 0.1)

    def test_value_that_is_no_text_is_an_error_of_the_platform(self):
        """Guards against a sheet whose bytes end the watch of the service."""
        config = discovery.new_config_client(self.serve(b"\xff"), 100, 100)
        self.assertRaises(discovery.PlatformError, config.get, "manifest")
