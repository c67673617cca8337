"""Measures how CPU, bytes and memory grow with the load.

``docs/CAPACITY.md`` extrapolates from these slopes, so each is a straight line
fitted to measurements at three or more sizes.
"""

from collections.abc import Callable, Iterator, Sequence
import contextlib
import os
import time
from typing import TextIO

from savoryspar import log
from savoryspar.bench import fleet as fleet_lib
from savoryspar.bench import (
    flows,
    load,
    procfs,
    relay_fleet,
    stream_reader,
    tally,
)
from savoryspar.bench.scenarios import state

STREAM_COUNTS = (56, 112, 224)
STREAM_STEP_MS = 50.0
STREAM_S = 4.0
WARM_UP_S = 1.0
STAGE_COUNTS = (1, 2, 4, 6)
STAGE_REQUESTS_PER_S = 80.0
STAGE_S = 4.0
IN_FLIGHT_COUNTS = (100, 200, 400)
WORKSPACE_COUNTS = (1_000, 9_000, 18_000, 36_000)
LOG_LINES = (2_000, 8_000, 32_000)
KILOBYTE = 1e3


class Slope:
    """A straight line fitted to measurements at several sizes.

    Attributes:
        name: What was measured.
        per: Unit of the sizes, for example token.
        unit: Unit of the measured values.
        points: Measurements as (size, value).
    """

    __slots__ = ("name", "per", "points", "unit")

    def __init__(
        self,
        name: str,
        per: str,
        unit: str,
        points: Sequence[tuple[float, float]],
    ):
        self.name = name
        self.per = per
        self.unit = unit
        self.points = points

    def fit(self) -> tuple[float, float]:
        """Returns (slope, value at size 0) by least squares."""
        count = len(self.points)
        mean_x = sum(x for x, _ in self.points) / count
        mean_y = sum(y for _, y in self.points) / count
        spread = sum((x - mean_x) ** 2 for x, _ in self.points)
        slope = (
            sum((x - mean_x) * (y - mean_y) for x, y in self.points) / spread
        )
        return slope, mean_y - slope * mean_x

    def line(self) -> str:
        """Returns the slope and its points as one line of text."""
        slope, base = self.fit()
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in self.points)
        return (
            f"{self.name}: {slope:.4g} {self.unit} per {self.per},"
            f" {base:.4g} {self.unit} at 0 ({points})"
        )


def measure_lines(seed: int) -> Iterator[str]:
    """Measures all slopes and yields a line of text for each."""
    for measure in MEASURES:
        for slope in measure(seed):
            yield slope.line()


def relay_slopes(seed: int) -> list[Slope]:
    """Measures CPU and bytes by relayed tokens, and memory by open streams."""
    del seed
    cpu_points, bytes_points, memory_points = [], [], []
    with fleet_lib.Fleet() as fleet:
        source = relay_fleet.start_sources(fleet, 1, STREAM_STEP_MS, 16)[0]
        proxy = fleet.insert_proxy(source)
        fleet.publish_vms()
        entry = relay_fleet.start_entries(fleet, "entry", 1, "hub")[0]
        for streams in STREAM_COUNTS:
            pid = entry.popen.pid
            readers = _start_readers(entry, streams)
            time.sleep(WARM_UP_S)
            cpu_s, proxied_bytes = (
                procfs.cpu_seconds(pid),
                _read_proxied_bytes(fleet, proxy),
            )
            time.sleep(STREAM_S)
            cpu_s = procfs.cpu_seconds(pid) - cpu_s
            proxied_bytes = _read_proxied_bytes(fleet, proxy) - proxied_bytes
            stats = readers.finish()
            cpu_points.append((stats.tokens / STREAM_S, cpu_s / STREAM_S * 1e6))
            bytes_points.append((stats.tokens, proxied_bytes))
        for streams in IN_FLIGHT_COUNTS:
            readers = _start_readers(entry, streams)
            time.sleep(WARM_UP_S)
            rss = procfs.memory_bytes(entry.popen.pid)
            memory_points.append((streams, rss / KILOBYTE))
            readers.finish()
    return [
        Slope("relay CPU", "token", "us", cpu_points),
        Slope("relay bytes from the engine", "token", "B", bytes_points),
        Slope("memory of streams in flight", "request", "KB", memory_points),
    ]


def _start_readers(
    entry: fleet_lib.Process, streams: int
) -> stream_reader.Readers:
    task = relay_fleet.stream_task(
        [entry.address], streams, WARM_UP_S, STREAM_S
    )
    readers = stream_reader.Readers([task])
    readers.wait_open()
    return readers


def _read_proxied_bytes(
    fleet: fleet_lib.Fleet, proxy: fleet_lib.Process
) -> int:
    return fleet.control(proxy, {})["passed_bytes"]


def stage_slopes(seed: int) -> list[Slope]:
    """Measures CPU and bytes per request by the number of its stages."""
    cpu_points, bytes_points = [], []
    with fleet_lib.Fleet() as fleet:
        fleet.start_platform()
        fleet.publish_sheet(_stages_sheet(), revision=1)
        for number in range(4):
            fleet.start_backend(
                "pool", f"work-{number}", "work", *relay_fleet.ZONE
            )
        proxies = [fleet.insert_proxy(p) for p in _backends(fleet)]
        entry = fleet.start_entry("entry", *relay_fleet.ZONE)
        fleet.publish_vms()
        fleet.wait_ready("entry")
        for stages in STAGE_COUNTS:
            work = tally.WorkClass(
                "relay", f"stages-{stages}", "standard", 60_000
            )
            flow = flows.pipeline_flow(work, STAGE_REQUESTS_PER_S)
            before = sum(_read_proxied_bytes(fleet, proxy) for proxy in proxies)
            cpu_s = procfs.cpu_seconds(entry.popen.pid)
            report = load.run([flow], [entry.address], STAGE_S, seed)
            cpu_s = procfs.cpu_seconds(entry.popen.pid) - cpu_s
            proxied_bytes = (
                sum(_read_proxied_bytes(fleet, proxy) for proxy in proxies)
                - before
            )
            whole = report.total().whole
            cpu_points.append((stages, cpu_s / whole * 1e6))
            bytes_points.append((stages, proxied_bytes / whole))
    return [
        Slope("CPU of a request", "stage", "us", cpu_points),
        Slope(
            "bytes of a request to and from backends",
            "stage",
            "B",
            bytes_points,
        ),
    ]


def _backends(fleet: fleet_lib.Fleet) -> list[fleet_lib.Process]:
    return [
        process
        for name, process in fleet.processes.items()
        if name.startswith("work-")
    ]


def _stages_sheet() -> str:
    lines = [
        "pool,work,kind,retriever",
        "work,steps,rank,standard",
        "work,steps,deadline_ms,60000",
    ]
    for count in STAGE_COUNTS:
        stages = " ".join(f"step-{number}=work" for number in range(count))
        lines += [
            f"pipeline,stages-{count},work,steps",
            f"pipeline,stages-{count},stages,{stages}",
        ]
    return relay_fleet.sheet_text() + "\n".join(lines) + "\n"


def workspace_slopes(seed: int) -> list[Slope]:
    """Measures memory by the number of workspaces in the sheet."""
    del seed
    memory_points = []
    for count in WORKSPACE_COUNTS:
        with fleet_lib.Fleet() as fleet:
            fleet.start_platform()
            entry = state.start_with_sheet(fleet, count)
            rss = procfs.memory_bytes(entry.popen.pid)
            memory_points.append((count, rss / KILOBYTE))
    return [Slope("memory of the sheet", "workspace", "KB", memory_points)]


def log_slopes(seed: int) -> list[Slope]:
    """Measures CPU by number of decision lines, written or left out."""
    del seed
    slopes = []
    for name, percent in (("written", 100.0), ("not sampled", 0.0)):
        points = [(n, _log_cpu_us(n, percent)) for n in LOG_LINES]
        slopes.append(Slope(f"decision line, {name}", "line", "us", points))
    return slopes


def _log_cpu_us(lines: int, sample_percent: float) -> float:
    decisions = log.new_decision_log(sample_percent)
    with open(os.devnull, "w") as null, _logging_to(null):
        cpu_s = time.process_time()
        for number in range(lines):
            decisions.record(
                log.Decision(
                    "routing", f"req-{number:016x}", "generate", "standard",
                    "workspace-00001", 40, "engine-17", "lowest_cost",
                )
            )  # fmt: skip
        return (time.process_time() - cpu_s) * 1e6


@contextlib.contextmanager
def _logging_to(stream: TextIO) -> Iterator[None]:
    handler = log.new_handler(stream, "info", "plain")
    handler.push_application()
    try:
        yield
    finally:
        handler.pop_application()


MEASURES: Sequence[Callable[[int], list[Slope]]] = (
    relay_slopes,
    stage_slopes,
    workspace_slopes,
    log_slopes,
)
