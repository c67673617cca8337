"""One soak from a seed: build, trouble, calm, judgement."""

import itertools
import pathlib
import random
import signal
import time

import eventlet

from savoryspar import platform
from savoryspar.soak import callers, judge, trouble, vms, world

VMS = 3
CALLERS = 6
SERVERS = {"orders": 2, "lookups": 2, "engines": 3, "stages": 2}
CALM_S = 8.0
"""Time without faults at the end."""
RECOVERED_S = 5.0
"""Time after the last fault at which each route must be served everywhere; the
platform's bounds ask for 12 s."""


class Report:
    """How a soak ended.

    Attributes:
        broken: A line for each broken rule.
        made: A line for each fault.
        counts: Answers by status.
    """

    __slots__ = ("broken", "counts", "made")

    def __init__(
        self, broken: list[str], made: list[str], counts: dict[int, int]
    ):
        self.broken = broken
        self.made = made
        self.counts = counts


def run_soak(seed: int, length_s: float, folder: pathlib.Path) -> Report:
    """Runs the programs with faults, and judges what came back.

    Args:
        seed: All faults, callers and their order follow from it; the timing of
            the processes does not.
        length_s: Time with faults, in seconds.
        folder: Where settings and logs are written.
    """
    rng = random.Random(seed)
    run_records = world.RunRecords()
    store = world.Store()
    servers = [
        world.BackendServer(
            f"{service}-{n}", service, run_records, seed * 100 + n
        )
        for service, count in SERVERS.items()
        for n in range(count)
    ]
    for server in servers:
        trouble.publish_server(store, server)
    ports = _free_ports(4 * VMS)
    fleet_vms = [
        vms.EntryVm(n, folder, store.address, ports) for n in range(VMS)
    ]
    start = time.monotonic()
    people = callers.Callers(fleet_vms, seed, start)
    versions = itertools.count(1)

    def publish() -> None:
        version = next(versions)
        store.write(
            platform.CONFIGURATION_KEY,
            world.new_configuration(version),
        )
        people.version = version

    def now() -> float:
        return time.monotonic() - start

    publish()
    try:
        for vm in fleet_vms:
            vm.start()
        for vm in fleet_vms:
            vm.wait_listening()
        eventlet.sleep(1.0)
        began = now()
        threads = people.start(CALLERS)
        made = trouble.Trouble(rng, store, fleet_vms, servers, publish, now)
        made.calm_at = dict.fromkeys(made.calm_at, began)
        made.run(began + length_s)
        ended = now()
        for server in servers:
            server.is_choosy = False
        eventlet.sleep(CALM_S)
        people.stop()
        for thread in threads:
            thread.wait()
    finally:
        for vm in fleet_vms:
            vm.send(signal.SIGCONT)
            vm.end()
    broken = judge.broken_rules(people.answers, run_records, made.calm_at)
    broken += people.went_back
    broken += _not_recovered(people.answers, ended + RECOVERED_S)
    counts: dict[int, int] = {}
    for answer in people.answers:
        counts[answer.status] = counts.get(answer.status, 0) + 1
    return Report(broken, made.made, counts)


def _not_recovered(answers: list[judge.Answer], after: float) -> list[str]:
    """Returns the routes that a VM did not serve in the calm at the end."""
    late = [a for a in answers if a.began_at >= after]
    served = {(a.vm, a.route) for a in late if a.status == 200 and a.is_whole}
    asked = {(a.vm, a.route) for a in late}
    return [
        f"{vm} did not serve {route} after the last fault"
        for vm, route in sorted(asked - served)
    ]


def _free_ports(count: int) -> list[int]:
    """Returns ports that nobody listens on."""
    listeners = [eventlet.listen(("127.0.0.1", 0)) for _ in range(count)]
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports
