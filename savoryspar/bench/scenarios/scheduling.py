"""Scenarios of overload through real entry processes."""

from collections.abc import Mapping
import threading

from savoryspar.bench import fleet as fleet_lib
from savoryspar.bench import flows, results
from savoryspar.bench.scenarios import scheduling_decisions, scheduling_fleet

FLOOD_S = 10.0
FLOOD_START_S = 2.0
FLOOD_FACTOR = 10.0
FLOORS = {"standard": 0.2, "bulk": 0.1}
SMALL_S = 11.0
ZONE_S = 12.0
ZONE_ENTRIES = 3


class _Figures:
    """What one run of a flood gave."""

    def __init__(self, run: scheduling_fleet.Run, peak: float, runs: list):
        self.urgent_percent = 100.0 * run.report.total(rank="urgent").attainment
        total = max(1, run.tokens())
        self.floor_percent = 100.0 * min(
            min(1.0, run.tokens(rank) / total / floor)
            for rank, floor in FLOORS.items()
        )
        self.useful_percent = 100.0 * run.tokens_per_s() / peak
        self.wasted_percent = run.wasted_percent(runs)


def _flood(seed: int, rank: str, settings: Mapping) -> _Figures:
    """Floods the pool with work of one rank; the others ask for less."""
    capacity = scheduling_fleet.CAPACITY_PER_S
    rates = {"urgent": 0.4, "standard": 1.0, "bulk": 1.0, rank: FLOOD_FACTOR}
    owners = {
        "urgent": "thread-shop", "standard": "glue-shop", "bulk": "box-shop",
        rank: "hall-shop",
    }  # fmt: skip
    sent = [
        scheduling_fleet.flow(owners[name], name, rate * capacity)
        for name, rate in rates.items()
    ]
    # The flood meets a system that already runs.
    sent[[*rates].index(rank)].start_s = FLOOD_START_S
    with fleet_lib.Fleet() as fleet:
        entries = scheduling_fleet.start(fleet, settings)
        engine = fleet.processes["engine-0"]
        peak = scheduling_fleet.peak_tokens_per_s(engine)
        run = scheduling_fleet.Run(FLOOD_S, seed)
        run.send(sent, [entry.address for entry in entries])
        book = fleet.get_json(fleet.processes["runbook-0"], "/book")
    _warn(run)
    return _Figures(run, peak, book["runs"])


def _warn(run: scheduling_fleet.Run) -> None:
    if run.report.is_bottleneck():
        print("The load tool was too slow; the figures are not reliable.")


def _row(
    scenario: str, seed: int, measure: str, target: str, ours: float,
    rival: float,
) -> results.Row:  # fmt: skip
    unit = "%" if "ratio" not in measure else "ratio"
    return results.new_row(scenario, measure, unit, target, ours, seed, rival)


def bulk_flood(seed: int) -> list[results.Row]:
    """Floods the least urgent rank with ten times the capacity."""
    ours = _flood(seed, "bulk", {})
    rival = _flood(seed, "bulk", scheduling_fleet.RIVAL)
    name = "sched-bulk-flood"
    urgent = _row(
        name,
        seed,
        "urgent attainment, 10x bulk",
        ">= 99",
        ours.urgent_percent,
        rival.urgent_percent,
    )
    return [urgent, *_flood_rows(name, seed, "bulk", ours, rival)]


def urgent_flood(seed: int) -> list[results.Row]:
    """Floods the most urgent rank with ten times the capacity."""
    ours = _flood(seed, "urgent", {})
    rival = _flood(seed, "urgent", scheduling_fleet.RIVAL)
    return _flood_rows("sched-urgent-flood", seed, "urgent", ours, rival)


def _flood_rows(
    name: str, seed: int, rank: str, ours: _Figures, rival: _Figures
) -> list[results.Row]:
    """Returns the rows that both floods have."""
    return [
        _row(name, seed, f"floors attained, 10x {rank}", ">= 95",
             ours.floor_percent, rival.floor_percent),
        _row(name, seed, "useful work of the uncontended maximum", ">= 95",
             ours.useful_percent, rival.useful_percent),
        _row(name, seed, "work for requests that missed", "<= 3",
             ours.wasted_percent, rival.wasted_percent),
    ]  # fmt: skip


def _small_over_large(seed: int, settings: Mapping) -> float:
    """Returns p95 latency of a small workspace over that of a large one.

    A request without an answer on time counts with its deadline, so that
    refusing the small workspace's work would not look fast.
    """
    capacity = scheduling_fleet.CAPACITY_PER_S
    sent = [
        scheduling_fleet.flow("hall-shop", "standard", 4.0 * capacity),
        scheduling_fleet.flow("box-shop", "standard", 0.15 * capacity),
    ]
    with fleet_lib.Fleet() as fleet:
        entries = scheduling_fleet.start(fleet, settings)
        run = scheduling_fleet.Run(SMALL_S, seed)
        run.send(sent, [entry.address for entry in entries])
    _warn(run)
    small, large = (
        run.report.total(workspace=name) for name in ("box-shop", "hall-shop")
    )
    for _ in range(small.sent - small.whole):
        small.latency.record(scheduling_fleet.DEADLINE_MS / 1000.0)
    return small.latency.percentile(95) / large.latency.percentile(95)


def small_and_large(seed: int) -> list[results.Row]:
    """Compares the latency of a small workspace with a large one's."""
    return [
        _row("sched-small", seed, "small / large workspace p95, ratio",
             "<= 1.1", _small_over_large(seed, {}),
             _small_over_large(seed, scheduling_fleet.RIVAL)),
    ]  # fmt: skip


def _zone_jain(seed: int, settings: Mapping) -> float:
    """Returns Jain's index over entry VMs; one workspace uses one of them."""
    capacity = scheduling_fleet.CAPACITY_PER_S
    shares = {"hall-shop": 3.0, "floor-shop": 3.0, "thread-shop": 1.0}
    spread: list[flows.Flow] = [
        scheduling_fleet.flow(name, "standard", 2.0 * capacity)
        for name in shares
    ]
    single = [scheduling_fleet.flow("box-shop", "standard", capacity)]
    shares["box-shop"] = 1.0
    with fleet_lib.Fleet() as fleet:
        entries = scheduling_fleet.start(fleet, settings, ZONE_ENTRIES)
        addresses = [entry.address for entry in entries]
        runs = [
            scheduling_fleet.Run(ZONE_S, seed),
            scheduling_fleet.Run(ZONE_S, seed + 1),
        ]
        threads = [
            threading.Thread(target=run.send, args=(sent, where))
            for run, sent, where in zip(
                runs, (spread, single), (addresses, addresses[:1]), strict=True
            )
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    for run in runs:
        _warn(run)
    return scheduling_decisions.jain(
        [
            sum(run.tokens(workspace=name) for run in runs) / share
            for name, share in shares.items()
        ]
    )


def zone_fairness(seed: int) -> list[results.Row]:
    """Measures fairness over three entry VMs of one zone."""
    return [
        results.new_row(
            "sched-entries", "Jain's index of weighted service, 3 entry VMs",
            "index", ">= 0.95", _zone_jain(seed, {}), seed,
            _zone_jain(seed, scheduling_fleet.RIVAL),
        )
    ]  # fmt: skip
