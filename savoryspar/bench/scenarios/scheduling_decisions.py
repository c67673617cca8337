"""Scenarios of schedulers without a fleet: decision time, memory, fairness."""

import collections
from collections.abc import Sequence
import gc
import heapq
import itertools
import json
import random
import time
import tracemalloc

from savoryspar import conf, scheduling, sheet
from savoryspar.bench import results
from savoryspar.scheduling import entries

WORKSPACES = 36_000
BACKLOGGED = 2_000
SLOTS = 64
DECISIONS = 30_000
STATE_BYTES_TARGET = 128 * 2**20
FLOORS = (
    "table,name,field,value\n"
    "rank,standard,floor_percent,20\n"
    "rank,bulk,floor_percent,10\n"
)
LATER_STAGES = (
    scheduling.RemainingStage("retrieve", "", 1.0),
    scheduling.RemainingStage("rerank", "", 1.0),
    scheduling.RemainingStage("generate", "m", 128.0),
)


def new_scheduler(
    slots: int, own: str = "", peers: Sequence[str] = (), **changes: str
) -> scheduling.Scheduler:
    """Returns a scheduler with rank floors and the same slots in each pool.

    Args:
        slots: Slots of each pool.
        own: Name of the scheduler's own VM.
        peers: Names of all VMs; empty for a scheduler without peers.
        **changes: Settings of section ``[scheduling]`` that differ from the
            defaults.
    """
    scheduler = scheduling.new_scheduler(
        lambda pool, now: slots,
        conf.default_section("scheduling", **changes),
        own,
        (lambda now: peers) if peers else None,
    )
    scheduler.configure(sheet.parse_csv(FLOORS, 1), 0.0)
    return scheduler


def _new_job(
    generator: random.Random, workspace: int, deadline_at: float
) -> scheduling.Job:
    return scheduling.Job(
        f"r{workspace}",
        f"workspace-{workspace}",
        1.0 + workspace % 3,
        generator.choice(sheet.RANKS),
        "encode",
        1.0,
        deadline_at,
        "",
        LATER_STAGES,
    )


class _Workload:
    """Keeps ``BACKLOGGED`` workspaces waiting and times the decisions."""

    def __init__(self, scheduler: scheduling.Scheduler, seed: int):
        self.scheduler = scheduler
        self.generator = random.Random(seed)
        self.now = 0.0
        self.durations_ns: list[int] = []
        self.running: collections.deque[entries.Entry] = collections.deque()
        self.waiting: dict[int, entries.Entry] = {}

    def serve_all_once(self) -> None:
        """Serves one job of every workspace, which is idle afterwards."""
        for number in range(WORKSPACES):
            self.now += 0.001
            job = _new_job(self.generator, number, self.now + 4.0)
            entry = self.scheduler.submit(job, self.now)
            self.scheduler.release(entry, self.now + 0.0005, True)

    def run(self, decisions: int) -> None:
        """Refills the queue and releases a slot, once for each decision."""
        for _ in range(decisions):
            self.now += 0.001
            self._fill()
            if self.running:
                entry = self.running.popleft()
                self._time_call(self.scheduler.release, entry, self.now, True)

    def _fill(self) -> None:
        missing = BACKLOGGED - len(self.waiting)
        for _ in range(missing):
            number = self.generator.randrange(WORKSPACES)
            if number in self.waiting:
                continue
            job = _new_job(self.generator, number, self.now + 1e6)
            entry = self._time_call(self.scheduler.submit, job, self.now)
            if entry.is_waiting:
                entry.notify = lambda number=number: self.on_granted(number)
                self.waiting[number] = entry
            else:
                self.running.append(entry)

    def on_granted(self, number: int) -> None:
        """Moves a job from the waiting to the running jobs."""
        self.running.append(self.waiting.pop(number))

    def _time_call(self, decide, *arguments):
        started_ns = time.perf_counter_ns()
        result = decide(*arguments)
        self.durations_ns.append(time.perf_counter_ns() - started_ns)
        return result


def _p99_ms(policy: str, seed: int) -> float:
    workload = _Workload(new_scheduler(SLOTS, policy=policy), seed)
    workload.serve_all_once()
    workload.run(DECISIONS)
    ordered = sorted(workload.durations_ns)
    return ordered[len(ordered) * 99 // 100] / 1e6


def _state_bytes(seed: int) -> tuple[int, int]:
    """Returns the memory with all workspaces idle, and with the backlog."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    workload = _Workload(new_scheduler(SLOTS), seed)
    workload.serve_all_once()
    gc.collect()
    idle = tracemalloc.get_traced_memory()[0] - before
    workload.run(DECISIONS // 4)
    workload.durations_ns = []
    gc.collect()
    backlogged = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return idle, backlogged


def run_decisions(seed: int) -> list[results.Row]:
    """Measures the time of a decision and the memory of the scheduler."""
    idle, backlogged = _state_bytes(seed)
    name = "sched-decisions"
    return [
        results.new_row(
            name,
            "p99 of a decision, 2000 of 36000 backlogged",
            "ms",
            "<= 1",
            _p99_ms("fair", seed),
            seed,
            _p99_ms("fifo", seed),
        ),
        results.new_row(
            name,
            "state, 36000 workspaces idle",
            "bytes",
            f"<= {STATE_BYTES_TARGET}",
            idle,
            seed,
        ),
        results.new_row(
            name,
            "state, 2000 of 36000 backlogged",
            "bytes",
            f"<= {STATE_BYTES_TARGET}",
            backlogged,
            seed,
        ),
    ]


class _Flow:
    """A workspace that always has jobs waiting at the given entry VMs."""

    __slots__ = ("depth", "share", "vms", "workspace")

    def __init__(
        self, workspace: str, share: float, depth: int, vms: Sequence[str]
    ):
        self.workspace = workspace
        self.share = share
        self.depth = depth
        self.vms = vms


class _ZoneSimulation:
    """Schedulers of several VMs that share a pool, in simulated time."""

    STEP_S = 0.02
    REPORT_S = 0.5
    UNIT_S = 0.01

    def __init__(self, seed: int, vms: int, slots: int, **changes: str):
        self.generator = random.Random(seed)
        names = [f"vm{number}" for number in range(vms)]
        self.schedulers = {
            name: new_scheduler(slots, name, names, **changes) for name in names
        }
        self.used: dict[str, float] = {}
        self.report_bytes = 0
        self._now = 0.0
        self._running: list[tuple[float, int, str, entries.Entry]] = []
        self._waiting: dict[tuple[str, str], int] = {}
        self._tie_breaker = itertools.count()

    def run(
        self, flows: Sequence[_Flow], duration_s: float, has_exchange: bool
    ) -> None:
        """Keeps the flows backlogged for a duration of simulated time."""
        reported_at = 0.0
        for step in range(int(duration_s / self.STEP_S)):
            self._now = step * self.STEP_S
            self._finish()
            for flow in flows:
                for name in flow.vms:
                    self._fill(flow, name)
            if has_exchange and self._now - reported_at >= self.REPORT_S:
                self._exchange_reports()
                reported_at = self._now

    def _fill(self, flow: _Flow, name: str) -> None:
        key = (flow.workspace, name)
        while self._waiting.get(key, 0) < flow.depth:
            cost = self.generator.uniform(5.0, 40.0)
            job = scheduling.Job(
                "r", flow.workspace, flow.share, "bulk", "p", cost, 1e9
            )
            self._waiting[key] = self._waiting.get(key, 0) + 1
            entry = self.schedulers[name].submit(job, self._now)
            if entry.is_waiting:
                entry.notify = lambda e=entry: self._start(e, name)
            else:
                self._start(entry, name)

    def _start(self, entry: entries.Entry, name: str) -> None:
        self._waiting[(entry.job.workspace, name)] -= 1
        until = self._now + entry.job.cost * self.UNIT_S
        heapq.heappush(
            self._running, (until, next(self._tie_breaker), name, entry)
        )

    def _finish(self) -> None:
        while self._running and self._running[0][0] <= self._now:
            _, _, name, entry = heapq.heappop(self._running)
            job = entry.job
            self.used[job.workspace] = (
                self.used.get(job.workspace, 0.0) + job.cost / job.share
            )
            self.schedulers[name].release(entry, self._now, True)

    def _exchange_reports(self) -> None:
        reports = {
            name: scheduler.service_report(self._now)
            for name, scheduler in self.schedulers.items()
        }
        for name, scheduler in self.schedulers.items():
            for other, report in reports.items():
                size = len(json.dumps(report, separators=(",", ":")))
                self.report_bytes = max(self.report_bytes, size)
                if other != name:
                    scheduler.store_peer_report(other, report, self._now)


def jain(values: Sequence[float]) -> float:
    """Returns Jain's fairness index of the values."""
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 0.0


def _jain_of_zone(seed: int, has_exchange: bool) -> float:
    vms = 4
    # Without an exchange each VM uses an equal part of the 32 slots.
    zone = _ZoneSimulation(seed, vms, 32, admission="none")
    everywhere = [*zone.schedulers]
    flows = [
        _Flow("large", 1.0, 40, everywhere),
        _Flow("heavy", 3.0, 40, everywhere),
        _Flow("one-vm", 1.0, 20, everywhere[:1]),
        _Flow("two-vms", 1.0, 20, everywhere[1:3]),
        _Flow("other-vm", 3.0, 20, everywhere[3:]),
    ]
    zone.run(flows, 30.0, has_exchange)
    return jain([zone.used.get(flow.workspace, 0.0) for flow in flows])


def run_zone(seed: int) -> list[results.Row]:
    """Measures fairness across the entry VMs of a zone, in one process.

    Five workspaces are always backlogged, some at one VM only and some at all
    four. The baseline divides the slots equally and exchanges no reports.
    """
    return [
        results.new_row(
            "sched-zone",
            "Jain's index of weighted service, 4 VMs",
            "index",
            ">= 0.95",
            _jain_of_zone(seed, True),
            seed,
            _jain_of_zone(seed, False),
        )
    ]
