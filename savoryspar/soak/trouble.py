"""Faults of a soak: which, when and where, all drawn from the seed."""

from collections.abc import Callable
import random
import signal

import eventlet

from savoryspar import fleet, platform
from savoryspar.platform import standin
from savoryspar.soak import vms, world

GAP_S = (0.2, 1.5)
"""Pause between the beginnings of two faults; most last longer, so overlap."""
LENGTH_S = (0.5, 3.0)
AFTERMATH_S = 4.0
"""Time after a fault in which an answer may still be cut: connections that a
fault killed are noticed by time-outs of up to 2.5 s."""


class Trouble:
    """Makes faults until its time is over, then ends them all.

    Attributes:
        calm_at: By VM, when the last fault that may cut an answer is over.
        made: A line for each fault.
    """

    def __init__(
        self,
        rng: random.Random,
        store: world.Store,
        fleet_vms: list[vms.EntryVm],
        servers: list[world.BackendServer],
        publish: Callable[[], None],
        now: Callable[[], float],
    ):
        self._rng = rng
        self._store = store
        self._vms = fleet_vms
        self._servers = servers
        self._publish = publish
        self._now = now
        self._paused: set[str] = set()
        self.calm_at = dict.fromkeys((vm.name for vm in fleet_vms), 0.0)
        self.made: list[str] = []

    def run(self, until_s: float) -> None:
        """Makes faults in series and overlapping, and waits for their end."""
        faults = (
            self._kill_vm,
            self._kill_vm,
            self._kill_all,
            self._pause_vm,
            self._stop_vm,
            self._break_store,
            self._break_proxy,
            self._break_proxy,
            self._crash_server,
            self._drain_server,
            self._configure,
            self._configure,
        )
        threads = []
        while self._now() < until_s:
            fault = self._rng.choice(faults)
            length_s = self._rng.uniform(*LENGTH_S)
            threads.append(eventlet.spawn(fault, length_s))
            eventlet.sleep(self._rng.uniform(*GAP_S))
        for thread in threads:
            thread.wait()

    def _note(self, text: str, length_s: float, *cut: vms.EntryVm) -> None:
        self.made.append(f"{self._now():7.2f} s for {length_s:.1f} s: {text}")
        ends_at = self._now() + length_s + AFTERMATH_S
        for vm in cut:
            self.calm_at[vm.name] = max(self.calm_at[vm.name], ends_at)

    def _kill_vm(self, length_s: float) -> None:
        vm = self._rng.choice(self._vms)
        # Streams that its peers gathered stages for are lost with it.
        self._note(f"{vm.name} is killed", length_s, *self._vms)
        vm.end()
        eventlet.sleep(length_s)
        vm.start()

    def _kill_all(self, length_s: float) -> None:
        self._note("all VMs are killed", length_s, *self._vms)
        for vm in self._vms:
            vm.end()
        eventlet.sleep(0.2)
        for vm in self._vms:
            vm.start()

    def _pause_vm(self, length_s: float) -> None:
        vm = self._rng.choice(self._vms)
        if vm.name in self._paused:
            return
        self._paused.add(vm.name)
        self._note(f"{vm.name} is frozen", length_s, *self._vms)
        vm.send(signal.SIGSTOP)
        eventlet.sleep(length_s)
        vm.send(signal.SIGCONT)
        self._paused.discard(vm.name)

    def _stop_vm(self, length_s: float) -> None:
        """Ends a VM in order; it must not cut what it has begun."""
        vm = self._rng.choice(self._vms)
        starts = vm.starts
        self._note(f"{vm.name} is told to end", length_s)
        vm.send(signal.SIGTERM)
        # Another fault may kill and restart it meanwhile.
        while vm.is_running and vm.starts == starts:
            eventlet.sleep(0.05)
        # Until it listens again there is nobody to answer.
        self._note(f"{vm.name} has ended", 0.0, vm)
        vm.start()

    def _break_store(self, length_s: float) -> None:
        how = self._rng.choice(("down", "slow", "forgetful"))
        self._note(f"the store is {how}", length_s)
        if how == "forgetful":
            self._store.forget_history()
            return
        self._store.is_down = how == "down"
        self._store.delay_s = 1.5 if how == "slow" else 0.0
        eventlet.sleep(length_s)
        self._store.is_down = False
        self._store.delay_s = 0.0

    def _break_proxy(self, length_s: float) -> None:
        server = self._rng.choice(self._servers)
        faults = self._rng.choice(
            (
                {"delay_ms": 300.0, "jitter_ms": 200.0},
                {"reset_percent": 50.0},
                {"cut": "up"},
                {"cut": "down"},
                {"cut": "both"},
            )
        )
        self._note(f"{server.entry.name}: {faults}", length_s, *self._vms)
        server.proxy.change(faults)
        eventlet.sleep(length_s)
        server.proxy.change(
            dict.fromkeys(faults, 0.0)
            if "cut" not in faults
            else {"cut": "none"}
        )

    def _crash_server(self, length_s: float) -> None:
        server = self._rng.choice(self._servers)
        self._note(f"{server.entry.name} crashes", length_s, *self._vms)
        server.proxy.change({"refuse": True}, is_reset=True)
        eventlet.sleep(length_s)
        server.proxy.change({"refuse": False})

    def _drain_server(self, length_s: float) -> None:
        """A server tells that it leaves; it goes on serving for a while."""
        server = self._rng.choice(self._servers)
        self._note(f"{server.entry.name} drains and returns", length_s)
        publish_server(self._store, server, is_draining=True)
        eventlet.sleep(length_s)
        publish_server(self._store, server)

    def _configure(self, length_s: float) -> None:
        self._note("a configuration is written", length_s)
        self._publish()


def publish_server(
    store: world.Store, server: world.BackendServer, is_draining: bool = False
) -> None:
    """Writes the entry of a server."""
    entry = server.entry
    changed = fleet.BackendEntry(
        entry.name,
        entry.service,
        entry.address,
        entry.zone,
        entry.slots,
        is_draining,
        entry.started_ms,
        0,
    )
    store.write(
        platform.SERVER_PREFIX + entry.name,
        standin.encode_backend_entry(changed),
    )
