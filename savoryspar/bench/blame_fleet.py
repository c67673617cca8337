"""Simulated entry VMs that search for a part of prompts that crashes engines.

The decisions are those of ``savoryspar.blame``; VMs, engines, the network
between them and the requests are simulated in virtual time.
"""

from collections.abc import Callable, Iterable, Mapping
import heapq
import itertools
import random

from savoryspar import blame

LATENCY_S = 0.02
"""One-way delay between VMs."""
DOWN_S = 2.0
"""Time for which an engine that crashed refuses requests."""
CRASH_DELAY_S = 0.1
STREAM_S = 0.6
COMPARE_INTERVAL_S = 2.0
TRIAL_POLL_S = 0.05
TRIAL_WAIT_S = 3.0
CONTACT_S = 4.0
"""Time after the fifth crash from which bad requests are counted."""
BAD_AT_S = 5.0
FAULT_AT_S = 5.5
SOUND_PER_VM_S = 3.0
BAD_INTERVAL_S = (0.3, 0.9)
SHARED_PARTS = 8
BAD_PART = "bad"


class _Vm:
    """One entry VM.

    Attributes:
        table: What it knows of crashes.
        is_running: Whether its process runs.
        side: VMs with different sides cannot reach each other.
    """

    def __init__(self) -> None:
        self.table = blame.new_crash_table()
        self.is_running = True
        self.side = 0


class _Engine:
    """One engine.

    Attributes:
        name: Name, another one after each crash.
        up_at: When it accepts requests again.
        streams: Streams that it runs.
    """

    def __init__(self, name: str):
        self.name = name
        self.up_at = 0.0
        self.streams: list[_Stream] = []


class _Stream:
    """One request at an engine.

    Attributes:
        vm: VM that relays it.
        work: The request.
        in_question: Parts in question of a trial, None for another request.
    """

    def __init__(
        self, vm: _Vm, work: blame.Work, in_question: frozenset[str] | None
    ):
        self.vm = vm
        self.work = work
        self.in_question = in_question


class BlameFleet:
    """VMs, engines and a load; construct with ``new_blame_fleet``.

    Attributes:
        crashes: Times of the crashes.
        bad_arrivals: Times at which bad requests reached engines.
        sound: Number of sound requests.
        served: Number of sound requests that were served.
        vms: The VMs.
    """

    def __init__(self, size: int, has_parts: bool, seed: int):
        self.vms = [_Vm() for _ in range(size)]
        self.crashes: list[float] = []
        self.bad_arrivals: list[float] = []
        self.sound = 0
        self.served = 0
        self._has_parts = has_parts
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._engines = [_Engine(f"e{n}") for n in range(max(7, size // 3))]
        self._lanes: dict[int, blame.TrialLane] = {}
        self._queue: list[tuple[float, int, Callable[[float], None]]] = []

    def schedule(self, at: float, action: Callable[[float], None]) -> None:
        """Runs an action at a virtual time."""
        heapq.heappush(self._queue, (at, next(self._numbers), action))

    def run(self, duration_s: float) -> None:
        """Sends requests for a time; bad ones from ``BAD_AT_S`` on."""
        self.schedule(0.0, lambda now: self._send_sound(duration_s, now))
        self.schedule(BAD_AT_S, lambda now: self._send_bad(duration_s, now))
        self.schedule(
            COMPARE_INTERVAL_S, lambda now: self._compare(duration_s, now)
        )
        while self._queue:
            at, _, action = heapq.heappop(self._queue)
            action(at)

    def late_arrivals(self) -> int:
        """Returns the bad requests at engines after the fifth crash."""
        if len(self.crashes) < 5:
            return 0
        since = sorted(self.crashes)[4] + CONTACT_S
        return sum(at > since for at in self.bad_arrivals)

    def restart(self, vm: _Vm) -> None:
        """Replaces the process of a VM, which asks one peer."""
        vm.table = blame.new_crash_table()
        peers = [*self._reachable(vm)]
        if peers:
            self._copy(self._rng.choice(peers), vm, 0.0)

    def _send_sound(self, ends_at: float, now: float) -> None:
        part = f"part-{self._rng.randrange(SHARED_PARTS)}"
        self.sound += 1
        self._admit(self._new_work("system", part), now, now)
        next_at = now + 1.0 / (SOUND_PER_VM_S * len(self.vms))
        if next_at < ends_at:
            self.schedule(next_at, lambda at: self._send_sound(ends_at, at))

    def _send_bad(self, ends_at: float, now: float) -> None:
        self._admit(self._new_work("system", BAD_PART), now, now)
        next_at = now + self._rng.uniform(*BAD_INTERVAL_S)
        if next_at < ends_at:
            self.schedule(next_at, lambda at: self._send_bad(ends_at, at))

    def _new_work(self, *parts: str) -> blame.Work:
        return blame.new_work(f"w/{next(self._numbers)}", "w", "p", "m", parts)

    def _admit(self, work: blame.Work, sent_at: float, now: float) -> None:
        running = [vm for vm in self.vms if vm.is_running]
        self._place(self._rng.choice(running), work, sent_at, now)

    def _place(
        self, vm: _Vm, work: blame.Work, sent_at: float, now: float
    ) -> None:
        """Sends a request to an engine, refuses it or lets it wait."""
        if not vm.is_running:
            return
        found = vm.table.assess(self._known(work), "v1", now)
        engines = [e for e in self._engines if e.up_at <= now]
        if found.verdict is blame.Verdict.BLOCKED or not engines:
            return
        if found.verdict is blame.Verdict.CLEAR:
            self._run(self._rng.choice(engines), _Stream(vm, work, None), now)
            return
        lane = self._lanes.setdefault(vm.side, blame.new_trial_lane())
        if lane.is_free(now):
            lane.begin(work.fingerprint, now)
            engine = min(engines, key=lambda e: len(e.streams))
            self._run(engine, _Stream(vm, work, found.parts), now)
        elif now - sent_at < TRIAL_WAIT_S:
            self.schedule(
                now + TRIAL_POLL_S,
                lambda at: self._place(vm, work, sent_at, at),
            )

    def _known(self, work: blame.Work) -> blame.Work:
        """Returns the part of a request that the policy takes into account."""
        if self._has_parts:
            return work
        return blame.Work(work.fingerprint, work.workspace, frozenset())

    def _run(self, engine: _Engine, stream: _Stream, now: float) -> None:
        engine.streams.append(stream)
        if f"p/m/{BAD_PART}" in stream.work.parts:
            self.bad_arrivals.append(now)
            self.schedule(
                now + CRASH_DELAY_S,
                lambda at: self._crash(engine, stream, at),
            )
        else:
            self.schedule(
                now + STREAM_S, lambda at: self._finish(engine, stream, at)
            )

    def _finish(self, engine: _Engine, stream: _Stream, now: float) -> None:
        if stream not in engine.streams:
            return
        engine.streams.remove(stream)
        self._end_trial(stream, False, now)
        vm = stream.vm
        if not vm.is_running:
            return
        self.served += 1
        work = self._known(stream.work)
        suspected = vm.table.suspected_parts(work, "v1", now)
        if vm.table.record_sound(work, "v1", now) & suspected:
            for peer in self._reachable(vm):
                self.schedule(
                    now + LATENCY_S,
                    lambda at, to=peer: to.table.record_sound(work, "v1", now),
                )

    def _crash(self, engine: _Engine, cause: _Stream, now: float) -> None:
        if cause not in engine.streams:
            return
        self.crashes.append(now)
        streams, engine.streams = engine.streams, []
        name, engine.name = engine.name, f"e{next(self._numbers)}"
        engine.up_at = now + DOWN_S
        for stream in streams:
            self._end_trial(stream, True, now)
            if stream.vm.is_running:
                self._report(stream, name, now)

    def _report(self, stream: _Stream, server: str, now: float) -> None:
        """Records a crash at a VM, and tells those that it reaches."""
        work = self._known(stream.work)
        if stream.in_question is not None:
            work = blame.Work(
                work.fingerprint, work.workspace, stream.in_question
            )
        report_id = f"r{next(self._numbers)}"

        def record(vm: _Vm) -> None:
            report = blame.CrashReport(
                report_id,
                server,
                "v1",
                work,
                now,
                stream.in_question is not None,
                "",
            )
            vm.table.record_crash(report, now)

        record(stream.vm)
        for peer in self._reachable(stream.vm):
            self.schedule(now + LATENCY_S, lambda at, to=peer: record(to))
            self._copy(peer, stream.vm, now, work.parts)

    def _end_trial(
        self, stream: _Stream, has_crashed: bool, now: float
    ) -> None:
        lane = self._lanes.get(stream.vm.side)
        if lane is not None:
            lane.end(stream.work.fingerprint, has_crashed, now)

    def _compare(self, ends_at: float, now: float) -> None:
        """Lets each VM exchange its records with a peer."""
        for vm in self.vms:
            peers = [*self._reachable(vm)]
            if peers and vm.table:
                peer = self._rng.choice(peers)
                self._copy(vm, peer, now)
                self._copy(peer, vm, now)
        if now + COMPARE_INTERVAL_S < ends_at:
            self.schedule(
                now + COMPARE_INTERVAL_S,
                lambda at: self._compare(ends_at, at),
            )

    def _copy(
        self,
        source: _Vm,
        target: _Vm,
        now: float,
        parts: Iterable[str] | None = None,
    ) -> None:
        """Copies the records of a VM, or sound runs of some parts only."""
        reports = source.table.reports() if parts is None else ()
        for report in reports:
            target.table.record_crash(report, now)
        shared = parts or {p for r in reports for p in r.work.parts}
        for part in shared:
            at = source.table.sound_at(part, "v1")
            if at >= 0.0:
                target.table.record_sound_part(part, "v1", "w", at)

    def _reachable(self, vm: _Vm) -> Iterable[_Vm]:
        return (
            peer
            for peer in self.vms
            if peer is not vm and peer.is_running and peer.side == vm.side
        )


def _kill_third(fleet: BlameFleet) -> None:
    for vm in fleet.vms[1::3]:
        vm.is_running = False


def _restart_all(fleet: BlameFleet) -> None:
    for vm in fleet.vms:
        fleet.restart(vm)


def _cut_third(fleet: BlameFleet) -> None:
    for vm in fleet.vms[::3]:
        vm.side = 1


FAULTS: Mapping[str, Callable[[BlameFleet], None]] = {
    "steady": lambda fleet: None,
    "a third killed": _kill_third,
    "all restarted in turn": _restart_all,
    "a third cut off": _cut_third,
}
"""What happens to the fleet soon after the first crash."""


def new_blame_fleet(size: int, has_parts: bool, seed: int) -> BlameFleet:
    """Returns a fleet that knows no crashes.

    Args:
        size: Number of entry VMs.
        has_parts: Whether crashes are charged to parts of prompts; otherwise
            to whole requests only, as before.
        seed: Seed of the load.
    """
    return BlameFleet(size, has_parts, seed)


def play(
    size: int, fault: str, has_parts: bool, duration_s: float, seed: int
) -> BlameFleet:
    """Runs a fleet and returns it.

    Args:
        size: Number of entry VMs.
        fault: Key of ``FAULTS``.
        has_parts: As for ``new_blame_fleet``.
        duration_s: Virtual duration of the load.
        seed: Seed of the load.
    """
    fleet = new_blame_fleet(size, has_parts, seed)
    fleet.schedule(FAULT_AT_S, lambda now: FAULTS[fault](fleet))
    fleet.run(duration_s)
    return fleet
