"""Tests of when VMs act on a change that the store has acknowledged.

Each VM has a store address of its own, so calls of one VM can fail alone.
"""

import copy
import json
import signal
import time

import eventlet

from savoryspar.soak import environment
from tests.gateway import node_case, store_fronts

BOUND_S = 2.5
"""Bound of ``config-ms`` and ``drain-ms``."""
CONTACT_S = 4.0
"""Time after a fault for which the bounds do not hold."""
LIMIT_S = 14.0
PROBE_INTERVAL_S = 0.05
WATCH_S = 3.0
"""Longer than a watch in a zone with VMs that do not watch."""
BEGIN_S = 0.5
"""Time in which VMs act on a change and begin to watch again."""
LARGE_BYTES = 1 << 20
"""Size of a large configuration; a frame between VMs may have no more."""
REFUSED = "503 Service Unavailable"


class StorePlatform(node_case.Platform):
    """A store with a front for each VM.

    Attributes:
        contents: Contents of the store.
        arrivals: Server, path and monotonic time of each request.
    """

    servers = ("desk-1", "desk-2", "lm", "prep")

    def __init__(self):
        self.arrivals = []
        super().__init__()
        self.contents = environment.Store()
        self.publish()
        for name in self.servers:
            self.write_server(name)

    def server_app(self, name):
        app = super().server_app(name)

        def recorded(environ, start_response):
            path = environ["PATH_INFO"]
            self.arrivals.append((name, path, time.monotonic()))
            return app(environ, start_response)

        return recorded

    def publish(self, change=lambda configuration: None):
        """Writes the next version of the configuration."""
        self.configuration = copy.deepcopy(self.configuration)
        self.configuration["version"] += 2
        change(self.configuration)
        self.contents.write(
            "op/config", json.dumps(self.configuration).encode()
        )

    def write_server(self, name, state="ready"):
        """Writes the entry of a server."""
        entry = {**json.loads(self._entry(name)), "state": state}
        self.contents.write(f"servers/i-{name}", json.dumps(entry).encode())


def add_route(configuration):
    configuration["routes"].append(
        {
            **configuration["routes"][0],
            "name": "added",
            "prefix": "/added/",
            "route-kind": "safe",
        }
    )


def add_many_routes(configuration):
    """Adds a route, and others so that the document has ``LARGE_BYTES``."""
    add_route(configuration)
    route = configuration["routes"][-1]
    size = len(json.dumps(route)) + 9
    configuration["routes"] += [
        {**route, "name": f"r{number}", "prefix": f"/r{number}/"}
        for number in range(LARGE_BYTES // size - 40)
    ]
    configuration["unknown"] = ""
    padding = "x" * (LARGE_BYTES - len(json.dumps(configuration)))
    configuration["unknown"] = padding


def withdraw_key(configuration):
    configuration["tenants"][0]["api-keys"] = ["key-2"]


class StaleVersionCase(node_case.NodeCase):
    """Measures until when each VM acts on what the store has replaced."""

    platform_class = StorePlatform

    def setUp(self):
        self.fronts = []
        super().setUp()
        self._await_election()
        # Each change completes all watches, so they have just begun after it.
        self.platform.publish()
        self.platform.write_server("desk-2")
        eventlet.sleep(BEGIN_S)
        self.began_at = time.monotonic()

    def start_vm(self, number):
        while len(self.fronts) <= number:
            self.fronts.append(store_fronts.StoreFront(self.platform.contents))
        self.platform.addresses["store"] = self.fronts[number].address
        super().start_vm(number)

    def _await_election(self):
        """Waits until the VMs of the zone agree on which of them watch."""
        count = self.vm_count if self.vm_count <= 3 else 2
        eventlet.sleep(WATCH_S)
        with eventlet.Timeout(LIMIT_S):
            while len(self.watchers()) != count:
                eventlet.sleep(PROBE_INTERVAL_S)

    def watchers(self):
        """Returns the numbers of the VMs that watch the store."""
        return [
            number
            for number, front in enumerate(self.fronts)
            if front.has_watched(WATCH_S)
        ]

    def listeners(self):
        """Returns the numbers of the VMs that do not watch the store."""
        return sorted({*range(self.vm_count)} - {*self.watchers()})

    def probe(self, number, path):
        """Returns the status of a request to a VM, None without an answer."""
        answer = self.request(
            "callers",
            "GET",
            path,
            [("Savoryspar-Key", "key-1")],
            ports=self.vm_ports[number],
        )
        return int(answer.split()[1]) if answer else None

    def times_until(self, status, path="/added/1", numbers=None):
        """Returns by VM how long its answers had another status, in seconds.

        503 is not counted, as it states nothing about a version.
        """
        began_at = time.monotonic()
        numbers = range(self.vm_count) if numbers is None else numbers
        last = dict.fromkeys(numbers, 0.0)

        def follow(number):
            sent_s = 0.0
            while sent_s < LIMIT_S:
                sent_s = time.monotonic() - began_at
                answered = self.probe(number, path)
                if answered == status:
                    return
                if answered != 503:
                    last[number] = sent_s
                eventlet.sleep(PROBE_INTERVAL_S)

        threads = [eventlet.spawn(follow, number) for number in numbers]
        for thread in threads:
            thread.wait()
        return last

    def assert_in_time(
        self, status, path="/added/1", bound_s=BOUND_S, numbers=None
    ):
        times = self.times_until(status, path, numbers)
        self.assertLess(max(times.values()), bound_s, times)

    def assert_server_unused(self, server):
        """Checks that no request reaches a server after the bound."""
        acked_at = time.monotonic()
        while time.monotonic() - acked_at < 2 * BOUND_S:
            for number in range(self.vm_count):
                self.probe(number, f"/o/{number}")
            eventlet.sleep(PROBE_INTERVAL_S)
        ages = {}
        for name, path, at in self.platform.arrivals:
            if name == server and at > acked_at:
                ages[path] = at - acked_at
        self.assertLess(max(ages.values(), default=0.0), BOUND_S, ages)


class ThreeVmsTest(StaleVersionCase):
    """All VMs of a zone of three watch the store."""

    vm_count = 3

    def test_version_known_to_peers_does_not_wait_for_a_silent_watch(self):
        """Guards against a version in force 7 s late at one VM."""
        self.fronts[0].set_mode("silent", "normal")
        self.platform.publish(add_route)
        self.assert_in_time(200)

    def test_version_known_to_peers_does_not_wait_for_the_store(self):
        """Guards against an old version at a VM that the store ignores."""
        self.fronts[0].set_mode("silent")
        self.platform.publish(add_route)
        self.assert_in_time(200)

    def test_large_version_known_to_peers_does_not_wait_for_the_store(self):
        """Guards against a document that does not fit into a peer's frame."""
        self.fronts[0].set_mode("silent")
        self.platform.publish(add_many_routes)
        self.assertEqual(
            LARGE_BYTES, len(json.dumps(self.platform.configuration))
        )
        self.assert_in_time(200)

    def test_withdrawn_key_is_refused_despite_a_silent_watch(self):
        """Guards against a caller served by a key that was withdrawn."""
        self.fronts[0].set_mode("silent", "normal")
        self.platform.publish(withdraw_key)
        self.assert_in_time(401, "/o/1")

    def test_draining_server_is_not_used_despite_a_silent_watch(self):
        """Guards against requests to a draining server."""
        self.fronts[0].set_mode("silent", "normal")
        self.platform.write_server("desk-1", "draining")
        self.assert_server_unused("desk-1")

    def test_removed_server_is_not_used_despite_a_silent_watch(self):
        """Guards against requests to a server whose entry was removed."""
        self.fronts[0].set_mode("silent", "normal")
        self.platform.contents.write("servers/i-desk-1", None)
        self.assert_server_unused("desk-1")

    def test_version_is_in_force_despite_deaf_watches(self):
        """Guards against a store that reports nothing to open watches."""
        for front in self.fronts:
            front.set_mode("deaf", "normal")
        self.platform.publish(add_route)
        self.assert_in_time(200)

    def test_version_is_in_force_despite_silent_watches(self):
        """Guards against VMs that all wait for a watch while reads work."""
        for front in self.fronts:
            front.set_mode("silent", "normal")
        self.platform.publish(add_route)
        self.assert_in_time(200)

    def test_server_is_not_used_despite_deaf_watches(self):
        """Guards against a removal that open watches do not report."""
        for front in self.fronts:
            front.set_mode("deaf", "normal")
        self.platform.contents.write("servers/i-desk-1", None)
        self.assert_server_unused("desk-1")

    def test_version_is_in_force_despite_a_slow_store(self):
        """Guards against a version that waits for several slow answers."""
        for front in self.fronts:
            front.delay_s = 1.5
        self.platform.publish(add_route)
        self.assert_in_time(200)

    def test_version_is_in_force_at_a_vm_that_is_turned_away(self):
        """Guards against a VM that learns only from the store."""
        for mode in (REFUSED, "429 Too Many Requests", "reset", "cut"):
            path = f"/{mode.split()[0]}/"
            self.fronts[0].set_mode(mode)
            self.platform.publish(
                lambda configuration, path=path: configuration["routes"].append(
                    {
                        **configuration["routes"][0],
                        "name": path,
                        "prefix": path,
                    }
                )
            )
            self.assert_in_time(200, f"{path}1")
            eventlet.sleep(CONTACT_S)

    def test_version_is_in_force_after_a_cut_watch(self):
        """Guards against a change lost with the rest of a watch's answer."""
        self.fronts[0].set_mode("cut", "normal")
        self.platform.publish(add_route)
        self.assert_in_time(200)

    def test_change_is_not_read_by_vms_whose_watch_reports_it(self):
        """Guards against a read by each VM for each change."""
        for _ in range(3):
            self.platform.publish()
            self.platform.write_server("desk-2")
            eventlet.sleep(1.0)
        reads = [
            path
            for front in self.fronts
            for path, at in front.calls
            if path != store_fronts.WATCH_PATH and at > self.began_at
        ]
        self.assertEqual([], reads)

    def test_started_vm_without_the_store_asks_several_peers(self):
        """Guards against a VM that serves by no version, or an old one."""
        self.fronts[0].set_mode("silent")
        self.processes[0].kill()
        self.processes[0].wait()
        self.platform.publish(add_route)
        self.start_vm(0)
        self.await_ready(self.vm_ports[0])
        self.assertEqual(200, self.probe(0, "/added/1"))

    def test_woken_vm_acts_on_a_version_that_its_peers_know(self):
        """Guards against an old version at a VM that was frozen."""
        self.processes[0].send_signal(signal.SIGSTOP)
        self.addCleanup(self.processes[0].send_signal, signal.SIGCONT)
        self.fronts[0].set_mode("silent")
        self.platform.publish(add_route)
        eventlet.sleep(6.0)
        self.processes[0].send_signal(signal.SIGCONT)
        self.assert_in_time(200, bound_s=CONTACT_S)


class FiveVmsTest(StaleVersionCase):
    """Two VMs of a zone of five watch the store."""

    vm_count = 5

    def test_version_is_in_force_despite_a_silent_watch(self):
        """Guards against a watching VM that waits for a silent watch."""
        self.fronts[self.watchers()[0]].set_mode("silent", "normal")
        self.platform.publish(add_route)
        self.assert_in_time(200)

    def test_version_is_in_force_at_a_vm_that_the_store_ignores(self):
        """Guards against a VM that waits for a read it is not answered."""
        self.fronts[self.listeners()[0]].set_mode("silent")
        self.platform.publish(add_route)
        self.assert_in_time(200)

    def test_version_is_in_force_although_no_watch_is_answered(self):
        """Guards against VMs that rely on two others whose watches fail."""
        for number in self.watchers():
            self.fronts[number].set_mode("silent", "normal")
        self.platform.publish(add_route)
        self.assert_in_time(200)

    def test_version_is_in_force_although_watching_vms_are_cut_off(self):
        """Guards against VMs that wait for two others without a store."""
        for number in self.watchers():
            self.fronts[number].set_mode("silent")
        self.platform.publish(add_route)
        self.assert_in_time(200)

    def test_version_is_in_force_although_watching_vms_are_frozen(self):
        """Guards against VMs that wait for two others that are frozen."""
        frozen = self.watchers()
        for number in frozen:
            self.processes[number].send_signal(signal.SIGSTOP)
            self.addCleanup(self.processes[number].send_signal, signal.SIGCONT)
        self.platform.publish(add_route)
        others = {*range(self.vm_count)} - {*frozen}
        self.assert_in_time(200, numbers=others)


class NineVmsTest(StaleVersionCase):
    """Two VMs of a zone of nine, with a ring of links, watch the store."""

    vm_count = 9

    def test_version_is_in_force_despite_a_silent_watch(self):
        """Guards against a version that does not cross a ring of VMs."""
        self.fronts[self.watchers()[0]].set_mode("silent", "normal")
        self.fronts[self.listeners()[0]].set_mode("silent")
        self.platform.publish(add_route)
        self.assert_in_time(200)

    def test_version_is_in_force_although_no_watch_is_answered(self):
        """Guards against many VMs that rely on two whose watches fail."""
        for number in self.watchers():
            self.fronts[number].set_mode("silent", "normal")
        self.platform.publish(add_route)
        self.assert_in_time(200)
