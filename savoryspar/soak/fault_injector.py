"""Injects the faults of a soak; a seed determines which, when and where."""

from collections.abc import Callable, Iterable, Mapping, Sequence
import contextlib
import itertools
import math
import random
import signal
import time
from typing import Any

import eventlet

from savoryspar import fleet, platform
from savoryspar.platform import standin
from savoryspar.soak import (
    disturbances,
    environment,
    faults,
    odd_values,
    servers,
    store_ports,
    vms,
)
from savoryspar.soak.disturbances import Effect


class FaultInjector:
    """Injects faults for a given time, then ends them all.

    Attributes:
        faults: A line for each injected fault.
    """

    def __init__(
        self,
        rng: random.Random,
        store: environment.Store,
        ports: list[store_ports.StorePort],
        fleet_vms: list[vms.EntryVm],
        backend_servers: list[servers.BackendServer],
        publish: Callable[[], None],
        records: disturbances.Disturbances,
        now: Callable[[], float],
    ):
        self._rng = rng
        self._store = store
        self._ports = ports
        self._vms = fleet_vms
        self._servers = backend_servers
        self._publish = publish
        self._during = records.during
        self._now = now
        self._paused: set[str] = set()
        self._busy: set[str] = set()
        self._is_port_faulty = False
        self._is_restoring = False
        self._odd_numbers = itertools.count()
        self.faults: list[str] = []

    def run(self, until_s: float, weights: dict[str, int]) -> None:
        """Injects faults, which may overlap, and waits until all have ended.

        Args:
            until_s: Time after which no fault starts, in seconds since the
                start of the soak.
            weights: Relative frequency by fault.
        """
        threads = []
        while self._now() < until_s:
            (name,) = self._rng.choices([*weights], [*weights.values()])
            duration_s = self._rng.uniform(*faults.DURATION_S)
            threads.append(
                eventlet.spawn(getattr(self, "_" + name), duration_s)
            )
            eventlet.sleep(self._rng.uniform(*faults.INTERVAL_S))
        for thread in threads:
            thread.wait()

    def _record(self, text: str, duration_s: float) -> None:
        self.faults.append(
            f"{self._now():7.2f} s for {duration_s:.1f} s: {text}"
        )

    def _kill_vm(self, duration_s: float) -> None:
        vm = self._rng.choice(self._vms)
        self._record(f"{vm.name} is killed", duration_s)
        self._kill([vm], duration_s)

    def _kill_all_vms(self, duration_s: float) -> None:
        self._record("all VMs are killed", duration_s)
        self._kill(self._vms, 0.2)

    def _kill(self, killed: Iterable[vms.EntryVm], duration_s: float) -> None:
        with contextlib.ExitStack() as stack:
            for vm in killed:
                stack.enter_context(self._during(Effect.DOWN, vm.name))
                vm.kill()
            eventlet.sleep(duration_s)
            vms.start_all(killed)

    def _pause_vm(self, duration_s: float) -> None:
        vm = self._rng.choice(self._vms)
        if vm.name in self._paused:
            return
        self._paused.add(vm.name)
        self._record(f"{vm.name} is paused", duration_s)
        with self._during(Effect.DOWN, vm.name):
            vm.send_signal(signal.SIGSTOP)
            eventlet.sleep(duration_s)
            vm.send_signal(signal.SIGCONT)
        self._paused.discard(vm.name)

    def _starve_vms(self, duration_s: float) -> None:
        """Leaves VMs a part of the time of a processor each."""
        count = math.ceil(faults.STARVED_SHARE * len(self._vms))
        starved = [
            vm
            for vm in self._rng.sample(self._vms, count)
            if vm.name not in self._paused
        ]
        names = {vm.name for vm in starved}
        self._paused |= names
        self._record(f"{', '.join(sorted(names))} are starved", duration_s)
        ends_at = self._now() + duration_s
        with contextlib.ExitStack() as stack:
            for name in names:
                stack.enter_context(self._during(Effect.SLOW, name))
            while self._now() < ends_at:
                for signum, span_s in zip(
                    (signal.SIGSTOP, signal.SIGCONT),
                    faults.STARVED_CYCLE_S,
                    strict=True,
                ):
                    for vm in starved:
                        vm.send_signal(signum)
                    eventlet.sleep(span_s)
        self._paused -= names

    def _stop_vm(self, duration_s: float) -> None:
        vm = self._rng.choice(self._vms)
        self._stop(vm, duration_s, self._rng.choice(faults.STOP_ADDITIONS))

    def _restart_in_turn(self, duration_s: float) -> None:
        """Stops all VMs one after another, without waiting for each."""
        threads = []
        for vm in self._rng.sample(self._vms, len(self._vms)):
            threads.append(eventlet.spawn(self._stop, vm, duration_s, ()))
            eventlet.sleep(self._rng.uniform(*faults.RESTART_INTERVAL_S))
        for thread in threads:
            thread.wait()

    def _stop(
        self,
        vm: vms.EntryVm,
        duration_s: float,
        additions: Iterable[signal.Signals],
    ) -> None:
        """Stops a VM as planned, which must truncate no answer."""
        starts = vm.starts
        kill_at = self._now() + vms.GRACE_S
        names = ", ".join(["SIGTERM", *(signum.name for signum in additions)])
        self._record(f"{vm.name} receives {names}", duration_s)
        with self._during(Effect.STOPPING, vm.name):
            vm.send_signal(signal.SIGTERM)
            for signum in additions:
                eventlet.sleep(duration_s / 2.0)
                if vm.starts == starts:
                    vm.send_signal(signum)
            # Another fault may kill and restart it in the meantime.
            while vm.is_running and vm.starts == starts:
                if self._now() >= kill_at:
                    self._record(f"{vm.name} is killed after its grace", 0.0)
                    vm.kill()
                eventlet.sleep(0.05)
            vm.start()
            vm.wait_listening()

    def _disrupt_store(self, duration_s: float) -> None:
        mode = self._rng.choice(("down", "slow", "forgetful"))
        self._record(f"the store is {mode}", duration_s)
        if mode == "forgetful":
            self._store.compact_history()
            return
        with self._during(Effect.STORE):
            self._store.is_down = mode == "down"
            self._store.delay_s = 1.5 if mode == "slow" else 0.0
            eventlet.sleep(duration_s)
            self._store.is_down = False
            self._store.delay_s = 0.0

    def _restore_store(self, duration_s: float) -> None:
        """Restores the store from a copy; what it lacks is written again."""
        if self._is_restoring:
            return
        self._is_restoring = True
        away_s, *rewrites_s = (
            self._rng.uniform(*span_s) for span_s in faults.RESTORE_SPANS_S
        )
        self._record(
            f"the store comes back from a copy {duration_s + away_s:.1f} s old",
            duration_s + away_s + sum(rewrites_s),
        )
        copy = self._store.copy()
        self._publish_configuration(0.0)
        eventlet.sleep(duration_s)
        with self._during(Effect.STORE):
            self._store.is_down = True
            eventlet.sleep(away_s)
            lost = self._store.changed_since(copy)
            self._store.restore(copy)
            self._store.is_down = False
            for prefix, pause_s in zip(
                (platform.SERVER_PREFIX, platform.CONFIGURATION_PREFIX),
                rewrites_s,
                strict=True,
            ):
                eventlet.sleep(pause_s)
                self._store.rewrite(copy, lost, prefix)
        self._is_restoring = False

    def _reject_vm(self, duration_s: float) -> None:
        """Makes the store turn one VM away."""
        index = self._rng.randrange(len(self._vms))
        fault = self._rng.choice(store_ports.REJECTIONS)
        with self._during(Effect.STORE, self._vms[index].name):
            self._change_ports([index], fault, duration_s)

    def _deafen_watches(self, duration_s: float) -> None:
        """Leaves watches of one VM or all unanswered beside a new version."""
        fault = self._rng.choice(store_ports.WATCH_FAULTS)
        indexes = [self._rng.randrange(len(self._vms))]
        if fault != store_ports.DEAF_AND_SILENT and self._rng.random() < 0.3:
            indexes = [*range(len(self._vms))]
        publish = eventlet.spawn_after(
            self._rng.uniform(0.0, duration_s), self._publish_configuration, 0.0
        )
        with contextlib.ExitStack() as stack:
            if fault == store_ports.DEAF_AND_SILENT:
                name = self._vms[indexes[0]].name
                stack.enter_context(self._during(Effect.SILENT_STORE, name))
            self._change_ports(indexes, fault, duration_s)
        publish.wait()

    def _change_ports(
        self, indexes: Iterable[int], fault: str, duration_s: float
    ) -> None:
        # One at a time, so that the store answers somebody.
        if self._is_port_faulty:
            return
        self._is_port_faulty = True
        names = ", ".join(self._vms[index].name for index in indexes)
        self._record(f"the store to {names}: {fault}", duration_s)
        for index in indexes:
            self._ports[index].change(fault)
        eventlet.sleep(duration_s)
        for index in indexes:
            self._ports[index].change("")
        self._is_port_faulty = False

    def _write_odd_entries(self, duration_s: float) -> None:
        """Writes odd entries among those of the servers; some stay."""
        names = self._rng.sample([*odd_values.ENTRIES], faults.ODD_ENTRIES)
        keys = [
            f"{platform.SERVER_PREFIX}odd-{next(self._odd_numbers)}"
            for _ in names
        ]
        self._record(f"odd entries: {', '.join(names)}", duration_s)
        for key, name in zip(keys, names, strict=True):
            self._store.write(key, odd_values.ENTRIES[name])
        eventlet.sleep(duration_s)
        for key in keys[: self._rng.randrange(faults.ODD_ENTRIES + 1)]:
            self._store.write(key, None)

    def _write_odd_settings(self, duration_s: float) -> None:
        vm = self._rng.choice(self._vms)
        name = self._rng.choice([*odd_values.SETTINGS])
        if not vm.is_listening:
            # A process that starts with such settings ends, as it should.
            return
        self._record(f"the settings of {vm.name} are odd: {name}", duration_s)
        vm.write_settings(odd_values.SETTINGS[name])
        vm.send_signal(signal.SIGHUP)
        eventlet.sleep(duration_s)
        vm.write_settings()

    def _disrupt_link(self, duration_s: float) -> None:
        server = self._rng.choice(self._servers)
        self._change_proxies(
            [server], self._rng.choice(faults.LINK_FAULTS), duration_s
        )

    def _end_answers(self, duration_s: float) -> None:
        """Ends answers of all servers of a service at random bytes."""
        service = self._rng.choice(self._servers).entry.service
        servers = [s for s in self._servers if s.entry.service == service]
        self._change_proxies(
            servers, self._rng.choice(faults.ANSWER_ENDS), duration_s
        )

    def _change_proxies(
        self,
        changed: Sequence[servers.BackendServer],
        values: Mapping[str, Any],
        duration_s: float,
    ) -> None:
        names = ", ".join(server.entry.name for server in changed)
        self._record(f"{names}: {values}", duration_s)
        ended = {name: "none" if name == "cut" else 0.0 for name in values}
        service = changed[0].entry.service
        with contextlib.ExitStack() as stack:
            stack.enter_context(self._during(Effect.LINK, service))
            if values.get("end_percent"):
                stack.enter_context(self._during(Effect.ENDED, service))
            for server in changed:
                server.change_link(values)
            eventlet.sleep(duration_s)
            for server in changed:
                server.held_until.append(time.monotonic())
                server.change_link(ended)

    def _copy_answers(self, duration_s: float) -> None:
        """Makes a server send answers twice, the second time late."""
        self._copy("copy_percent", duration_s)

    def _copy_closed_answers(self, duration_s: float) -> None:
        """Makes answers that end with their connection come twice in it."""
        self._copy("copy_closed_percent", duration_s)

    def _copy(self, option: str, duration_s: float) -> None:
        """Makes about half of the servers of a service send answers twice."""
        server = self._rng.choice(self._servers)
        service = server.entry.service
        copying = [s for s in self._servers if s.entry.service == service]
        copying = copying[:: self._rng.choice((1, 2))]
        self._record(f"{_names(copying)}: {option}", duration_s)
        for server in copying:
            server.change(**{option: faults.COPY_PERCENT})
        eventlet.sleep(duration_s)
        for server in copying:
            server.change(**{option: 0.0})

    def _crash_server(self, duration_s: float) -> None:
        server = self._rng.choice(self._servers)
        self._record(f"{server.entry.name} crashes", duration_s)
        with self._during(Effect.LINK, server.entry.service):
            server.change_link({"refuse": True}, is_reset=True)
            eventlet.sleep(duration_s)
            server.change_link({"refuse": False})

    def _choose_of_service(self) -> list[servers.BackendServer]:
        """Returns servers of a service to kill or pause, of all its servers."""
        free = [s for s in self._servers if s.entry.name not in self._busy]
        service = self._rng.choice(free or self._servers).entry.service
        same = [s for s in free if s.entry.service == service]
        share = self._rng.choice(faults.KILLED_SHARES)
        chosen = self._rng.sample(same, math.ceil(share * len(same)))
        self._busy.update(server.entry.name for server in chosen)
        return chosen

    def _kill_servers(self, duration_s: float) -> None:
        """Kills servers of a service; they start again at their addresses."""
        killed = self._choose_of_service()
        if not killed:
            return
        self._record(f"{_names(killed)} are killed", duration_s)
        with self._during(Effect.LINK, killed[0].entry.service):
            for server in killed:
                server.kill()
            eventlet.sleep(duration_s)
            for server in killed:
                server.start()
                publish_server(self._store, server)
        self._busy.difference_update(s.entry.name for s in killed)

    def _pause_servers(self, duration_s: float) -> None:
        """Pauses servers of a service."""
        paused = self._choose_of_service()
        if not paused:
            return
        self._record(f"{_names(paused)} are paused", duration_s)
        with self._during(Effect.LINK, paused[0].entry.service):
            for server in paused:
                server.send_signal(signal.SIGSTOP)
            eventlet.sleep(duration_s)
            for server in paused:
                server.send_signal(signal.SIGCONT)
                server.held_until.append(time.monotonic())
        self._busy.difference_update(s.entry.name for s in paused)

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
        limit_per_s = self._rng.choice(faults.LIMITS_PER_S)
        duration_s *= faults.LIMIT_DURATION_FACTOR
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


def _names(chosen: Iterable[servers.BackendServer]) -> str:
    return ", ".join(server.entry.name for server in chosen)


def publish_server(
    store: environment.Store,
    server: servers.BackendServer,
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
