"""Simulated entry VMs that share the rate limit of one server.

The limiters are those of entry VMs; the network between them, the server and
the view of live members are simulated in one process, in real time. VMs that
are killed, frozen or cut off stay in the views of the others for a while, as
they do in the membership.
"""

from collections.abc import Callable, Mapping, Sequence
import itertools
import os
import random
import time
from typing import Any

import eventlet

from savoryspar import fleet, log, membership, ratelimits
from savoryspar.gateway import limiting

LATENCY_S = 0.01
"""One-way delay between VMs, and between a VM and the server."""
DETECTION_S = 2.5
"""Time after which a VM that does not respond leaves the views of the others;
a member of a zone is suspected after 1.6 s and dead 0.7 s later."""
JOIN_S = 0.2
"""Time after which a new process is in the views of the others."""
WINDOW_S = 4.0
NOTICE_S = 0.5
"""Time after which a VM that relayed an answer with a limit must keep it."""
SETTLING_S = 3.0
"""Time after the first limit from which its use is measured."""
RANKS = 3
WORKSPACES = 5
ZONES = ("z1", "z2", "z3")
SERVER = ("i-1", "10.0.0.1:80")


class _Members:
    """What a limiter needs of the membership, over the simulated network."""

    def __init__(self, network: "LimitFleet", vm: "_Vm"):
        self.handlers: dict[str, Callable[[str, Any], Any]] = {}
        self.incarnation = vm.incarnation
        self._network = network
        self._vm = vm
        self._live: tuple[membership.Record, ...] = (vm.record,)

    def handle(self, kind: str, handler: Callable[[str, Any], Any]) -> None:
        """Registers a handler."""
        self.handlers[kind] = handler

    def all_members(self, now: float) -> tuple[membership.Record, ...]:
        """Returns the members that this VM considers live."""
        live = self._network.live_records(self._vm, now)
        if live != self._live:
            self._live = live
        return self._live

    def visible_share(self, now: float) -> float:
        """Returns the share of the known VMs that are live."""
        live = {record.name for record in self.all_members(now)}
        return len(live) / len(live | self._network.known_names())

    def request(
        self, incarnation: str, kind: str, body: Any, timeout_s: float
    ) -> Any:
        """Sends a request to a peer and waits for its reply.

        Raises:
            PeerUnreachableError: The peer does not reply in time.
        """
        reply = None
        with eventlet.Timeout(timeout_s, False):
            peer = self._network.reach(self._vm, incarnation)
            eventlet.sleep(LATENCY_S)
            if peer is not None and peer.is_responsive:
                reply = peer.members.handlers[kind](self.incarnation, body)
                eventlet.sleep(LATENCY_S)
            else:
                eventlet.sleep(timeout_s)
        if reply is None or not self._vm.is_running:
            raise membership.PeerUnreachableError(
                f"peer {incarnation} did not reply", "", has_sent=True
            )
        return reply

    def broadcast(self, kind: str, body: Any) -> None:
        """Sends a message to all peers that can be reached."""
        for peer in self._network.reachable(self._vm):
            eventlet.spawn_after(
                2 * LATENCY_S, peer.members.handlers[kind], "peer", body
            )


class _Vm:
    """One simulated entry VM.

    Attributes:
        name, zone: Name and availability zone.
        incarnation: Incarnation of its process.
        is_running: Whether its process runs.
        is_frozen: Whether its process is suspended.
        side: VMs with different sides cannot reach each other.
        changed_at: When it last became unresponsive or started.
    """

    def __init__(
        self, network: "LimitFleet", name: str, zone: str, incarnation: str
    ):
        now = time.monotonic()
        self.name = name
        self.zone = zone
        self.incarnation = incarnation
        self.record = membership.Record(incarnation, name, "r", zone, name)
        self.is_running = True
        self.is_frozen = False
        self.side = 0
        self.changed_at = now
        self.members = _Members(network, self)
        registry = fleet.new_server_registry(network.events)
        registry.put(
            fleet.BackendEntry(
                SERVER[0], "p", SERVER[1], ZONES[0], 8, False, 1, 1
            ),
            "store",
            now,
        )
        self.limiter = limiting.new_fleet_limiter(
            registry, self.members, network.events, time.monotonic
        )
        self.limiter.update({SERVER: 1}, now)

    @property
    def is_responsive(self) -> bool:
        """Whether it answers messages."""
        return self.is_running and not self.is_frozen


class LimitFleet:
    """Entry VMs, one server, and a load; construct with ``new_limit_fleet``.

    Attributes:
        limit_per_s: Limit that the server names, None for none.
        arrivals: Times of the requests that reached the server.
        denied: Number of requests that were denied a permit.
    """

    def __init__(self, size: int, limit_per_s: float, seed: int):
        self.limit_per_s: float | None = limit_per_s
        self.arrivals: list[float] = []
        self.denied = 0
        self.events = log.new_event_log(
            os.open(os.devnull, os.O_WRONLY), "simulation"
        )
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._named_at: float | None = None
        self._ended_at = 0.0
        self._is_ended = False
        self.vms = [self._new_vm(f"vm-{n}") for n in range(size)]
        for vm in self.vms:
            vm.changed_at -= JOIN_S

    def _new_vm(self, name: str) -> _Vm:
        number = next(self._numbers)
        zone = ZONES[int(name.removeprefix("vm-")) % len(ZONES)]
        return _Vm(self, name, zone, f"{self._rng.getrandbits(48):x}-{number}")

    def known_names(self) -> set[str]:
        """Returns the names of all VMs that have not left."""
        return {vm.name for vm in self.vms}

    def live_records(
        self, observer: _Vm, now: float
    ) -> tuple[membership.Record, ...]:
        """Returns the records of the VMs that a VM considers live."""
        return tuple(
            vm.record
            for vm in self.vms
            if vm is observer or self._is_seen(observer, vm, now)
        )

    def _is_seen(self, observer: _Vm, vm: _Vm, now: float) -> bool:
        since = max(vm.changed_at, observer.changed_at)
        if vm.is_responsive and vm.side == observer.side:
            return now - vm.changed_at >= JOIN_S
        return now - since < DETECTION_S

    def reach(self, sender: _Vm, incarnation: str) -> _Vm | None:
        """Returns a VM, or None if the sender cannot reach it."""
        return next(
            (
                vm
                for vm in self.vms
                if vm.incarnation == incarnation and vm.side == sender.side
            ),
            None,
        )

    def reachable(self, sender: _Vm) -> list[_Vm]:
        """Returns the peers that a VM can reach."""
        return [
            vm
            for vm in self.vms
            if vm is not sender and vm.is_responsive and vm.side == sender.side
        ]

    def owner(self) -> _Vm:
        """Returns the VM that owns the limit in the view of the first one."""
        now = time.monotonic()
        incarnation = self.vms[0].limiter.owner(SERVER, now)
        return next(vm for vm in self.vms if vm.incarnation == incarnation)

    def restart(self, vm: _Vm) -> None:
        """Replaces the process of a VM, which knows nothing."""
        vm.is_running = False
        replacement = self._new_vm(vm.name)
        replacement.limiter.start()
        self.vms[self.vms.index(vm)] = replacement

    def kill(self, vm: _Vm) -> None:
        """Ends the process of a VM."""
        vm.is_running = False
        vm.changed_at = time.monotonic()

    def freeze(self, vm: _Vm, duration_s: float) -> None:
        """Suspends a VM for a time."""
        vm.is_frozen = True
        vm.changed_at = time.monotonic()
        eventlet.sleep(duration_s)
        vm.is_frozen = False
        vm.changed_at = time.monotonic()

    def cut(self, vms: Sequence[_Vm]) -> None:
        """Cuts VMs off from all others; they still reach the server."""
        for vm in vms:
            vm.side = 1
            vm.changed_at = time.monotonic()

    def add(self, count: int) -> None:
        """Starts further VMs."""
        for number in range(len(self.vms), len(self.vms) + count):
            self.vms.append(self._new_vm(f"vm-{number}"))
            self.vms[-1].limiter.start()

    def remove(self, count: int) -> None:
        """Stops VMs that announce that they leave."""
        for vm in self.vms[-count:]:
            vm.is_running = False
        del self.vms[-count:]

    def run(
        self, requests_per_s: float, duration_s: float, burst: int = 1
    ) -> None:
        """Sends requests to VMs drawn at random, in bursts."""
        pool = eventlet.GreenPool(10_000)
        self._ended_at = time.monotonic() + duration_s
        while time.monotonic() < self._ended_at:
            for _ in range(burst):
                pool.spawn_n(self._request, self._rng.choice(self.vms))
            eventlet.sleep(burst / requests_per_s)
        self._is_ended = True
        pool.waitall()

    def _request(self, vm: _Vm) -> None:
        if not vm.is_responsive:
            return
        req = ratelimits.PermitRequest(
            self._rng.randrange(RANKS),
            f"w{self._rng.randrange(WORKSPACES)}",
            patience_s=0.5,
        )
        now = time.monotonic()
        try:
            vm.limiter.acquire(SERVER, req, now)
        except ratelimits.LimitReachedError:
            self.denied += 1
            return
        if not vm.is_responsive:
            return
        sent_at = time.monotonic()
        eventlet.sleep(LATENCY_S)
        self.arrivals.append(time.monotonic())
        limit_per_s = self.limit_per_s
        if limit_per_s is not None and self._named_at is None:
            self._named_at = time.monotonic()
        eventlet.sleep(LATENCY_S)
        vm.limiter.record_answer(
            SERVER, limit_per_s, "", sent_at, time.monotonic()
        )

    def excess(self, limit_per_s: float) -> float:
        """Returns the worst window as a ratio of what the limit allows."""
        since = self._named_at + NOTICE_S
        times = [at for at in self.arrivals if since <= at < self._ended_at]
        worst = max(
            (
                sum(start <= at < start + WINDOW_S for at in times)
                for start in times
            ),
            default=0,
        )
        return worst / (1.5 * limit_per_s * WINDOW_S + 5.0)

    def use(self, limit_per_s: float) -> float:
        """Returns the share of the limit that was used once it was settled."""
        since = self._named_at + SETTLING_S
        count = sum(since <= at < self._ended_at for at in self.arrivals)
        return count / (self._ended_at - since) / limit_per_s


def new_limit_fleet(size: int, limit_per_s: float, seed: int) -> LimitFleet:
    """Returns a fleet that does not know the limit yet.

    Args:
        size: Number of entry VMs, in three availability zones.
        limit_per_s: Limit that the server names, in requests per second.
        seed: Seed of the load and of the incarnations.
    """
    return LimitFleet(size, limit_per_s, seed)


def _kill_owner(simulated: LimitFleet) -> None:
    simulated.kill(simulated.owner())


def _restart_owner(simulated: LimitFleet) -> None:
    simulated.restart(simulated.owner())


def _restart_all_in_turn(simulated: LimitFleet) -> None:
    for number in range(len(simulated.vms)):
        simulated.restart(simulated.vms[number])
        eventlet.sleep(0.7)


def _freeze_owner(simulated: LimitFleet) -> None:
    simulated.freeze(simulated.owner(), 3.0)


def _cut_owner(simulated: LimitFleet) -> None:
    simulated.cut([simulated.owner()])


def _cut_zone(simulated: LimitFleet) -> None:
    simulated.cut([vm for vm in simulated.vms if vm.zone == ZONES[0]])


def _double_then_halve(simulated: LimitFleet) -> None:
    simulated.add(len(simulated.vms))
    eventlet.sleep(4.0)
    simulated.remove(len(simulated.vms) // 2)


def _kill_third(simulated: LimitFleet) -> None:
    for vm in simulated.vms[::3]:
        simulated.kill(vm)


FAULTS: Mapping[str, Callable[[LimitFleet], None]] = {
    "steady": lambda simulated: None,
    "owner killed": _kill_owner,
    "owner restarted": _restart_owner,
    "all restarted in turn": _restart_all_in_turn,
    "owner frozen for 3 s": _freeze_owner,
    "owner cut off": _cut_owner,
    "zone cut off": _cut_zone,
    "doubled, then halved": _double_then_halve,
    "a third killed": _kill_third,
}
"""What happens to the fleet some seconds after the limit is named."""

FAULT_AT_S = 4.0


def play(
    size: int, limit_per_s: float, fault: str, duration_s: float, seed: int
) -> LimitFleet:
    """Runs a fleet at ten times the limit and returns it.

    Args:
        size: Number of entry VMs.
        limit_per_s: Limit that the server names, in requests per second.
        fault: Key of ``FAULTS``.
        duration_s: Duration of the load.
        seed: Seed of the load.
    """
    simulated = new_limit_fleet(size, limit_per_s, seed)
    eventlet.spawn_after(FAULT_AT_S, FAULTS[fault], simulated)
    simulated.run(max(10.0, 10.0 * limit_per_s), duration_s)
    return simulated
