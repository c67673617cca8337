"""Runs one soak: starts the fleet, injects faults, checks the answers."""

import itertools
import os
import pathlib
import random
import signal
import socket
import time

import eventlet

from savoryspar import platform
from savoryspar.soak import callers, checker, environment, fault_injector, vms

VMS = 3
CALLERS = 6
SERVERS = {"orders": 2, "lookups": 2, "engines": 3, "stages": 2}
FAULT_FREE_S = 8.0
"""Time without faults at the end of a soak."""
PORTS = range(20_000, 32_000)
"""Ports of VMs; Linux uses 32768 and above for outgoing connections."""
SLICE = 200
"""Ports that one process chooses from, so that tests side by side do not share
ports."""
RECOVERY_TIMEOUT_S = 5.0
"""Time after the last fault from which every VM must serve each route; stricter
than the 12 s that the platform requires."""


class Report:
    """Result of a soak.

    Attributes:
        violations: A line for each violation of a rule.
        injected: A line for each injected fault.
        counts: Number of answers by status code.
    """

    __slots__ = ("counts", "injected", "violations")

    def __init__(
        self, violations: list[str], injected: list[str], counts: dict[int, int]
    ):
        self.violations = violations
        self.injected = injected
        self.counts = counts


def run_soak(seed: int, duration_s: float, folder: pathlib.Path) -> Report:
    """Runs entry VMs and callers under faults, and checks the answers.

    Args:
        seed: Determines the faults, the requests and their order, but not the
            timing of the processes.
        duration_s: Time with faults, in seconds.
        folder: Directory for settings files and logs.
    """
    rng = random.Random(seed)
    run_records = environment.RunRecords()
    store = environment.Store()
    servers = [
        environment.BackendServer(
            f"{service}-{n}", service, run_records, seed * 100 + n
        )
        for service, count in SERVERS.items()
        for n in range(count)
    ]
    for server in servers:
        fault_injector.publish_server(store, server)
    ports = free_ports(4 * VMS)
    fleet_vms = [
        vms.EntryVm(n, folder, store.address, ports) for n in range(VMS)
    ]
    start = time.monotonic()
    all_callers = callers.Callers(fleet_vms, seed, start)
    versions = itertools.count(1)

    def publish() -> None:
        version = next(versions)
        store.write(
            platform.CONFIGURATION_KEY,
            environment.new_configuration(version),
        )
        all_callers.version = version

    def now() -> float:
        return time.monotonic() - start

    publish()
    try:
        for vm in fleet_vms:
            vm.start()
        for vm in fleet_vms:
            vm.wait_listening()
        eventlet.sleep(1.0)
        faults_began_at = now()
        threads = all_callers.start(CALLERS)
        injector = fault_injector.FaultInjector(
            rng, store, fleet_vms, servers, publish, now
        )
        injector.stable_from = dict.fromkeys(
            injector.stable_from, faults_began_at
        )
        injector.run(faults_began_at + duration_s)
        faults_ended_at = now()
        for server in servers:
            server.is_refusing = False
            server.set_limit(None)
        eventlet.sleep(FAULT_FREE_S)
        all_callers.stop()
        for thread in threads:
            thread.wait()
    finally:
        for vm in fleet_vms:
            vm.send_signal(signal.SIGCONT)
            vm.kill()
    violations = checker.find_violations(
        all_callers.answers, run_records, injector.stable_from
    )
    violations += all_callers.regressions
    violations += checker.find_exceeded_limits(servers, time.monotonic())
    violations += _find_unserved_routes(
        all_callers.answers, faults_ended_at + RECOVERY_TIMEOUT_S
    )
    counts: dict[int, int] = {}
    for answer in all_callers.answers:
        counts[answer.status] = counts.get(answer.status, 0) + 1
    return Report(violations, injector.faults, counts)


def _find_unserved_routes(
    answers: list[checker.Answer], after: float
) -> list[str]:
    """Returns a line for each route that a VM did not serve after a time."""
    recent = [a for a in answers if a.started_at >= after]
    served = {
        (a.vm, a.route) for a in recent if a.status == 200 and a.is_complete
    }
    requested = {(a.vm, a.route) for a in recent}
    return [
        f"{vm} did not serve {route} after the last fault"
        for vm, route in sorted(requested - served)
    ]


def free_ports(count: int) -> list[int]:
    """Returns unused TCP ports outside the range of outgoing connections.

    The ports of a killed VM are free until it starts again, and an outgoing
    connection of any process could take one of them.
    """
    start = PORTS.start + os.getpid() % (len(PORTS) // SLICE) * SLICE
    candidates = random.SystemRandom().sample(
        range(start, start + SLICE), SLICE
    )
    return list(itertools.islice(filter(_is_free, candidates), count))


def _is_free(port: int) -> bool:
    # VMs share ports with SO_REUSEPORT, so a socket with it would not notice
    # the VM of another process.
    try:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", port))
    except OSError:
        return False
    return True
