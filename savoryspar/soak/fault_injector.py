"""Injects the faults of a soak; a seed determines which, when and where."""

from collections.abc import Callable
import random
import signal
import time

import eventlet

from savoryspar import fleet, platform
from savoryspar.platform import standin
from savoryspar.soak import environment, vms

INTERVAL_S = (0.2, 1.5)
"""Range of the time between the starts of two faults. Most faults last longer,
so they overlap."""
DURATION_S = (0.5, 3.0)
"""Range of the duration of a fault."""
LIMITS_PER_S = (0.0, 0.5, 1.0, 5.0, 20.0)
LIMIT_DURATION_FACTOR = 4.0
"""Limits last longer than faults, so that several faults meet one."""
SETTLING_S = 4.0
"""Time after a fault in which answers may still be truncated: connections that
a fault broke are detected by timeouts of up to 2.5 s."""


class FaultInjector:
    """Injects faults for a given time, then ends them all.

    Attributes:
        stable_from: By VM, the time after which no injected fault may truncate
            an answer, in seconds since the start of the soak.
        faults: A line for each injected fault.
    """

    def __init__(
        self,
        rng: random.Random,
        store: environment.Store,
        fleet_vms: list[vms.EntryVm],
        servers: list[environment.BackendServer],
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
        self.stable_from = dict.fromkeys((vm.name for vm in fleet_vms), 0.0)
        self.faults: list[str] = []

    def run(self, until_s: float) -> None:
        """Injects faults, which may overlap, and waits until all have ended.

        Args:
            until_s: Time after which no fault starts, in seconds since the
                start of the soak.
        """
        faults = (
            self._kill_vm,
            self._kill_vm,
            self._kill_all_vms,
            self._pause_vm,
            self._stop_vm,
            self._disrupt_store,
            self._disrupt_proxy,
            self._disrupt_proxy,
            self._crash_server,
            self._drain_server,
            self._limit_server,
            self._limit_server,
            self._publish_configuration,
            self._publish_configuration,
        )
        threads = []
        while self._now() < until_s:
            fault = self._rng.choice(faults)
            duration_s = self._rng.uniform(*DURATION_S)
            threads.append(eventlet.spawn(fault, duration_s))
            eventlet.sleep(self._rng.uniform(*INTERVAL_S))
        for thread in threads:
            thread.wait()

    def _record(
        self, text: str, duration_s: float, *affected: vms.EntryVm
    ) -> None:
        self.faults.append(
            f"{self._now():7.2f} s for {duration_s:.1f} s: {text}"
        )
        ends_at = self._now() + duration_s + SETTLING_S
        for vm in affected:
            self.stable_from[vm.name] = max(self.stable_from[vm.name], ends_at)

    def _kill_vm(self, duration_s: float) -> None:
        vm = self._rng.choice(self._vms)
        # Streams on its peers are lost too if this VM gathers their stages.
        self._record(f"{vm.name} is killed", duration_s, *self._vms)
        vm.kill()
        eventlet.sleep(duration_s)
        vm.start()

    def _kill_all_vms(self, duration_s: float) -> None:
        self._record("all VMs are killed", duration_s, *self._vms)
        for vm in self._vms:
            vm.kill()
        eventlet.sleep(0.2)
        for vm in self._vms:
            vm.start()

    def _pause_vm(self, duration_s: float) -> None:
        vm = self._rng.choice(self._vms)
        if vm.name in self._paused:
            return
        self._paused.add(vm.name)
        self._record(f"{vm.name} is paused", duration_s, *self._vms)
        vm.send_signal(signal.SIGSTOP)
        eventlet.sleep(duration_s)
        vm.send_signal(signal.SIGCONT)
        self._paused.discard(vm.name)

    def _stop_vm(self, duration_s: float) -> None:
        """Shuts a VM down gracefully, which must truncate no answer."""
        vm = self._rng.choice(self._vms)
        starts = vm.starts
        self._record(f"{vm.name} receives SIGTERM", duration_s)
        vm.send_signal(signal.SIGTERM)
        # Another fault may kill and restart it in the meantime.
        while vm.is_running and vm.starts == starts:
            eventlet.sleep(0.05)
        # Callers cannot connect until the next process listens.
        self._record(f"{vm.name} has ended", 0.0, vm)
        vm.start()

    def _disrupt_store(self, duration_s: float) -> None:
        mode = self._rng.choice(("down", "slow", "forgetful"))
        self._record(f"the store is {mode}", duration_s)
        if mode == "forgetful":
            self._store.compact_history()
            return
        self._store.is_down = mode == "down"
        self._store.delay_s = 1.5 if mode == "slow" else 0.0
        eventlet.sleep(duration_s)
        self._store.is_down = False
        self._store.delay_s = 0.0

    def _disrupt_proxy(self, duration_s: float) -> None:
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
        self._record(f"{server.entry.name}: {faults}", duration_s, *self._vms)
        server.proxy.change(faults)
        eventlet.sleep(duration_s)
        server.held_until.append(time.monotonic())
        server.proxy.change(
            dict.fromkeys(faults, 0.0)
            if "cut" not in faults
            else {"cut": "none"}
        )

    def _crash_server(self, duration_s: float) -> None:
        server = self._rng.choice(self._servers)
        self._record(f"{server.entry.name} crashes", duration_s, *self._vms)
        server.proxy.change({"refuse": True}, is_reset=True)
        eventlet.sleep(duration_s)
        server.proxy.change({"refuse": False})

    def _drain_server(self, duration_s: float) -> None:
        """Marks a server as draining for a while; it continues to serve."""
        server = self._rng.choice(self._servers)
        self._record(f"{server.entry.name} drains and returns", duration_s)
        publish_server(self._store, server, is_draining=True)
        eventlet.sleep(duration_s)
        publish_server(self._store, server)

    def _limit_server(self, duration_s: float) -> None:
        """Makes a server name a rate limit, and end it later."""
        server = self._rng.choice(self._servers)
        limit_per_s = self._rng.choice(LIMITS_PER_S)
        duration_s *= LIMIT_DURATION_FACTOR
        self._record(
            f"{server.entry.name} names a limit of {limit_per_s:g} per second",
            duration_s,
        )
        server.set_limit(limit_per_s)
        eventlet.sleep(duration_s)
        server.set_limit(None)

    def _publish_configuration(self, duration_s: float) -> None:
        self._record("a configuration is written", duration_s)
        self._publish()


def publish_server(
    store: environment.Store,
    server: environment.BackendServer,
    is_draining: bool = False,
) -> None:
    """Writes the entry of a server to the store."""
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
