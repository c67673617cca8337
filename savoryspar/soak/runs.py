"""Runs one soak: starts the fleet, injects faults, checks the answers."""

import collections
from collections.abc import Iterator, Sequence
import itertools
import json
import pathlib
import random
import signal
import subprocess
import sys
import time

import eventlet
from eventlet import greenpool

from savoryspar import platform
from savoryspar.soak import (
    callers,
    checker,
    configurations,
    disturbances,
    environment,
    fault_injector,
    faults,
    fleet_checker,
    layout,
    servers,
    store_ports,
    version_checker,
    vms,
)

SERVERS = {
    "orders": 2,
    "lookups": 2,
    "targets-0": 1,
    "targets-1": 1,
    "engines": 3,
    "stages": 2,
}
REPLACED = ("lookups-0", "lookups-1", "orders-0", "engines-0", "stages-0")
"""Servers that others replace after the last fault; all of one service, so that
a VM that does not follow the list serves nothing there as it should."""
FAULT_FREE_S = 8.0
"""Time without faults at the end of a soak."""
LOSS_S = 1.5
"""Time until VMs know what a restored store loses, and until it is written
again."""
LAG_INTERVAL_S = 0.05


class Options:
    """Options of a soak.

    Attributes:
        seed: Determines the faults, the requests and their order, but not the
            timing of the processes.
        duration_s: Time with faults, in seconds.
        vms: Number of entry VMs.
        callers: Number of callers.
        faults: Names of the faults; empty for a random part of all.
        zones: Number of availability zones.
        server_factor: Factor of the numbers of servers.
        config_ms: Time within which a new version must be in force.
        checkout: Directory of the code that the VMs run; empty for that of the
            soak itself.
    """

    __slots__ = (
        "callers",
        "checkout",
        "config_ms",
        "duration_s",
        "faults",
        "seed",
        "server_factor",
        "vms",
        "zones",
    )

    def __init__(
        self,
        seed: int,
        duration_s: float,
        vms: int,
        callers: int,
        faults: Sequence[str] = (),
        zones: int = 2,
        config_ms: int = 2500,
        checkout: str = "",
        server_factor: int = 1,
    ):
        self.seed = seed
        self.duration_s = duration_s
        self.vms = vms
        self.callers = callers
        self.faults = faults
        self.zones = zones
        self.config_ms = config_ms
        self.checkout = checkout
        self.server_factor = server_factor


class Report:
    """Result of a soak.

    Attributes:
        violations: A line for each violation of a rule.
        injected: A line for each injected fault.
        counts: Number of answers by status code.
        judged: Number of answers whose version was judged.
        lag_s: Longest time for which the process of the soak was held up.
        started_s: Time until all VMs had started.
        peak_mb: Largest memory of a VM at the end, in MB.
    """

    __slots__ = (
        "counts",
        "injected",
        "judged",
        "lag_s",
        "peak_mb",
        "started_s",
        "violations",
    )

    def __init__(self, injected: list[str], lag_s: float):
        self.violations: list[str] = []
        self.injected = injected
        self.counts: collections.Counter[int] = collections.Counter()
        self.judged = 0
        self.lag_s = lag_s
        self.started_s = 0.0
        self.peak_mb = 0.0


class Soak:
    """One run: the fleet, what surrounds it, and the checks at its end."""

    def __init__(self, options: Options, folder: pathlib.Path):
        self._options = options
        self._rng = random.Random(options.seed)
        self._weights = faults.choose_faults(self._rng, options.faults)
        self._run_records = environment.RunRecords()
        self._store = environment.Store()
        self._layout = layout.new_layout(options.zones)
        fleet = vms.Fleet(
            self._layout, options.vms, options.config_ms, options.checkout
        )
        self._folder = folder
        self._server_numbers = itertools.count()
        self._servers = [
            self._new_server(f"{service}-{n}", service)
            for service, count in SERVERS.items()
            for n in range(count * options.server_factor)
        ]
        self._store_ports = [
            store_ports.StorePort(self._store) for _ in range(options.vms)
        ]
        self._vms = [
            vms.EntryVm(n, folder, store_port.address, fleet)
            for n, store_port in enumerate(self._store_ports)
        ]
        self._start = time.monotonic()
        self._lag_s = 0.0
        self._started_s = 0.0
        self._peak_mb = 0.0
        self._callers = callers.Callers(self._vms, options.seed, self._start)
        self._published: list[float] = []
        self._disturbances = disturbances.Disturbances(
            [vm.name for vm in self._vms], self._now
        )
        self._injector = fault_injector.FaultInjector(
            self._rng,
            self._store,
            self._store_ports,
            self._vms,
            self._servers,
            self._publish,
            self._disturbances,
            self._now,
        )

    def run(self) -> Report:
        """Runs the soak and checks what was seen."""
        self._publish()
        relays = [*self._start_relays()]
        try:
            pool = greenpool.GreenPool(vms.STARTS_AT_ONCE)
            for _ in pool.imap(self._start_server, self._servers):
                pass
            with self._disturbances.during(disturbances.Effect.DOWN):
                began_at = self._now()
                vms.start_all(self._vms)
                self._started_s = self._now() - began_at
                eventlet.sleep(1.0)
            threads = self._callers.start(self._options.callers)
            lag_meter = eventlet.spawn(self._measure_lag)
            self._injector.run(
                self._now() + self._options.duration_s, self._weights
            )
            gone, judged_from = self._calm_down()
            lag_meter.kill()
            self._callers.stop()
            for thread in threads:
                thread.wait()
            for vm in self._vms:
                vm.count_own_end()
            self._peak_mb = max(vm.peak_mb() for vm in self._vms)
        finally:
            for vm in self._vms:
                vm.send_signal(signal.SIGCONT)
                vm.kill()
            for process in [*self._servers, *relays]:
                process.kill()
        for server in self._servers:
            server.read_records(self._run_records)
        return self._check(gone, judged_from)

    def _calm_down(self) -> tuple[list[servers.BackendServer], float]:
        """Ends all faults, replaces servers and waits.

        Returns:
            The servers that are gone, and the time in seconds of the soak after
            which each VM must have recovered.
        """
        self._callers.is_calm = True
        if "restore_store" in self._weights:
            self._lose_entries()
        copy = self._store.copy()
        gone = [s for s in self._servers if s.entry.name in REPLACED]
        for server in self._servers:
            server.change(is_refusing=False)
            server.set_limit(None)
        for server in gone:
            newcomer = self._new_server(
                f"{server.entry.name}-new", server.entry.service
            )
            newcomer.change(is_refusing=False)
            self._store.write(platform.SERVER_PREFIX + server.entry.name, None)
            self._servers.append(newcomer)
            self._start_server(newcomer)
        judged_from = self._now() + fleet_checker.RECOVERY_TIMEOUT_S
        eventlet.sleep(fleet_checker.RECOVERY_TIMEOUT_S)
        if "restore_store" in self._weights:
            self._list_removed_servers(copy)
        eventlet.sleep(FAULT_FREE_S - fleet_checker.RECOVERY_TIMEOUT_S)
        return gone, judged_from

    def _lose_entries(self) -> None:
        """Restores the store from a copy that has older entries of servers.

        The revisions of all later changes are lower than those of the entries
        that were lost.
        """
        copy = self._store.copy()
        for server in self._servers:
            fault_injector.publish_server(self._store, server)
        eventlet.sleep(LOSS_S)
        self._store.restore(copy)

    def _list_removed_servers(self, copy: environment.StoreCopy) -> None:
        """Restores the store from a copy that has servers which are gone."""
        lost = self._store.changed_since(copy)
        self._store.restore(copy)
        eventlet.sleep(LOSS_S)
        self._store.rewrite(copy, lost, "")

    def _used_servers(self) -> list[servers.BackendServer]:
        """Returns the servers of services that the newest version uses."""
        unused = configurations.moved_service(len(self._published) + 1)
        return [s for s in self._servers if s.entry.service != unused]

    def _new_server(self, name: str, service: str) -> servers.BackendServer:
        number = next(self._server_numbers)
        return servers.BackendServer(
            *(name, service, number, self._layout, self._folder),
            self._options.seed * 1000 + number,
        )

    def _start_server(self, server: servers.BackendServer) -> None:
        server.start()
        fault_injector.publish_server(self._store, server)

    def _start_relays(self) -> Iterator[subprocess.Popen]:
        """Starts a relay for each zone, if links between them are slow."""
        zones = [*self._layout.zone_regions]
        if len({*self._layout.zone_regions.values()}) == 1:
            return
        for n in range(len(zones)):
            indexes = range(n, self._options.vms, len(zones))
            options = {
                "network": self._layout.network,
                "zones": len(zones),
                "hosts": [self._layout.vm_host(index) for index in indexes],
            }
            yield subprocess.Popen(
                [
                    *(sys.executable, "-W", "ignore"),
                    *("-m", "savoryspar.soak.relay_process"),
                    json.dumps(options),
                ],
                cwd=vms.CHECKOUT,
                stdin=subprocess.PIPE,
            )

    def _publish(self) -> None:
        version = len(self._published) + 1
        self._store.write(
            platform.CONFIGURATION_KEY,
            configurations.new_configuration(version),
        )
        self._published.append(self._now())
        self._callers.version = version

    def _now(self) -> float:
        return time.monotonic() - self._start

    def _measure_lag(self) -> None:
        while True:
            due_at = self._now() + LAG_INTERVAL_S
            eventlet.sleep(LAG_INTERVAL_S)
            self._lag_s = max(self._lag_s, self._now() - due_at)

    def _check(
        self, gone: Sequence[servers.BackendServer], judged_from: float
    ) -> Report:
        answers = [*self._callers.answers, *self._callers.probes]
        versions = version_checker.find_version_violations(
            answers,
            self._run_records,
            self._published,
            self._disturbances,
            self._options.config_ms / 1000.0,
        )
        report = Report(self._injector.faults, self._lag_s)
        report.started_s = self._started_s
        report.peak_mb = self._peak_mb
        report.judged = versions.judged
        report.counts.update(answer.status for answer in self._callers.answers)
        report.violations = [
            *checker.find_violations(
                answers, self._run_records, self._disturbances
            ),
            *versions.violations,
            *checker.find_exceeded_limits(self._servers, time.monotonic()),
            *fleet_checker.find_unserved_routes(answers, judged_from),
            *fleet_checker.find_misused_servers(
                self._used_servers(), gone, self._start + judged_from
            ),
            *fleet_checker.find_failed_processes(self._vms),
        ]
        return report


def run_soak(options: Options, folder: pathlib.Path) -> Report:
    """Runs entry VMs and callers under faults, and checks the answers.

    Args:
        options: Options of the run.
        folder: Directory for settings files and logs.

    Raises:
        ValueError: A fault does not exist.
    """
    return Soak(options, folder).run()
