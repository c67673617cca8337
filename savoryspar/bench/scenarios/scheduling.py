"""Scenarios of overload with real entry processes."""

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


class _FloodMeasures:
    """Measures of one run of a flood.

    Attributes:
        urgent_percent: Urgent requests answered on time.
        floor_percent: Lowest share of tokens of a rank relative to its floor,
            at most 100.
        useful_percent: Tokens of answers on time relative to the peak.
        wasted_percent: Work for requests that missed their deadline.
    """

    def __init__(
        self, run: scheduling_fleet.Run, peak_per_s: float, runs: list
    ):
        self.urgent_percent = 100.0 * run.report.total(rank="urgent").attainment
        total = max(1, run.tokens())
        self.floor_percent = 100.0 * min(
            min(1.0, run.tokens(rank) / total / floor)
            for rank, floor in FLOORS.items()
        )
        self.useful_percent = 100.0 * run.tokens_per_s() / peak_per_s
        self.wasted_percent = run.wasted_percent(runs)


def _flood(seed: int, rank: str, settings: Mapping) -> _FloodMeasures:
    """Floods the pool with work of one rank; other ranks send less."""
    capacity = scheduling_fleet.CAPACITY_PER_S
    rates = {"urgent": 0.4, "standard": 1.0, "bulk": 1.0, rank: FLOOD_FACTOR}
    owners = {
        "urgent": "thread-shop", "standard": "glue-shop", "bulk": "box-shop",
        rank: "hall-shop",
    }  # fmt: skip
    load_flows = [
        scheduling_fleet.flow(owners[name], name, rate * capacity)
        for name, rate in rates.items()
    ]
    # The flood starts when the system already serves the other ranks.
    load_flows[[*rates].index(rank)].start_s = FLOOD_START_S
    with fleet_lib.Fleet() as fleet:
        entries = scheduling_fleet.start(fleet, settings)
        engine = fleet.processes["engine-0"]
        peak_per_s = scheduling_fleet.peak_tokens_per_s(engine)
        run = scheduling_fleet.Run(FLOOD_S, seed)
        run.send(load_flows, [entry.address for entry in entries])
        record = fleet.get_json(fleet.processes["runbook-0"], "/book")
    _warn_if_too_slow(run)
    return _FloodMeasures(run, peak_per_s, record["runs"])


def _warn_if_too_slow(run: scheduling_fleet.Run) -> None:
    if run.report.is_bottleneck():
        print("The load generator was too slow; the results are not reliable.")


def _row(
    scenario: str, seed: int, measure: str, target: str, ours: float,
    baseline: float,
) -> results.Row:  # fmt: skip
    unit = "%" if "ratio" not in measure else "ratio"
    return results.new_row(
        scenario, measure, unit, target, ours, seed, baseline
    )


def bulk_flood(seed: int) -> list[results.Row]:
    """Floods the least urgent rank at ten times the capacity."""
    ours = _flood(seed, "bulk", {})
    baseline = _flood(seed, "bulk", scheduling_fleet.BASELINE_SETTINGS)
    name = "sched-bulk-flood"
    urgent = _row(
        name,
        seed,
        "urgent attainment, 10x bulk",
        ">= 99",
        ours.urgent_percent,
        baseline.urgent_percent,
    )
    return [urgent, *_flood_rows(name, seed, "bulk", ours, baseline)]


def urgent_flood(seed: int) -> list[results.Row]:
    """Floods the most urgent rank at ten times the capacity."""
    ours = _flood(seed, "urgent", {})
    baseline = _flood(seed, "urgent", scheduling_fleet.BASELINE_SETTINGS)
    return _flood_rows("sched-urgent-flood", seed, "urgent", ours, baseline)


def _flood_rows(
    name: str,
    seed: int,
    rank: str,
    ours: _FloodMeasures,
    baseline: _FloodMeasures,
) -> list[results.Row]:
    """Returns the rows that both flood scenarios report."""
    return [
        _row(name, seed, f"floors attained, 10x {rank}", ">= 95",
             ours.floor_percent, baseline.floor_percent),
        _row(name, seed, "useful work of the uncontended maximum", ">= 95",
             ours.useful_percent, baseline.useful_percent),
        _row(name, seed, "work for requests that missed", "<= 3",
             ours.wasted_percent, baseline.wasted_percent),
    ]  # fmt: skip


def _latency_ratio(seed: int, settings: Mapping) -> float:
    """Returns the p95 latency of a small workspace over that of a large one.

    A request of the small workspace without a complete answer counts with its
    deadline as latency, so that refusing its work does not appear as low
    latency.
    """
    capacity = scheduling_fleet.CAPACITY_PER_S
    load_flows = [
        scheduling_fleet.flow("hall-shop", "standard", 4.0 * capacity),
        scheduling_fleet.flow("box-shop", "standard", 0.15 * capacity),
    ]
    with fleet_lib.Fleet() as fleet:
        entries = scheduling_fleet.start(fleet, settings)
        run = scheduling_fleet.Run(SMALL_S, seed)
        run.send(load_flows, [entry.address for entry in entries])
    _warn_if_too_slow(run)
    small, large = (
        run.report.total(workspace=name) for name in ("box-shop", "hall-shop")
    )
    for _ in range(small.sent - small.whole):
        small.latency.record(scheduling_fleet.DEADLINE_MS / 1000.0)
    return small.latency.percentile(95) / large.latency.percentile(95)


def small_and_large(seed: int) -> list[results.Row]:
    """Compares the latency of a small and a large workspace."""
    return [
        _row("sched-small", seed, "small / large workspace p95, ratio",
             "<= 1.1", _latency_ratio(seed, {}),
             _latency_ratio(seed, scheduling_fleet.BASELINE_SETTINGS)),
    ]  # fmt: skip


def _zone_jain(seed: int, settings: Mapping) -> float:
    """Returns Jain's index; one workspace uses only one of the entry VMs."""
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
            threading.Thread(target=run.send, args=(load_flows, targets))
            for run, load_flows, targets in zip(
                runs, (spread, single), (addresses, addresses[:1]), strict=True
            )
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    for run in runs:
        _warn_if_too_slow(run)
    return scheduling_decisions.jain(
        [
            sum(run.tokens(workspace=name) for run in runs) / share
            for name, share in shares.items()
        ]
    )


def zone_fairness(seed: int) -> list[results.Row]:
    """Measures fairness across three entry VMs of a zone."""
    return [
        results.new_row(
            "sched-entries", "Jain's index of weighted service, 3 entry VMs",
            "index", ">= 0.95", _zone_jain(seed, {}), seed,
            _zone_jain(seed, scheduling_fleet.BASELINE_SETTINGS),
        )
    ]  # fmt: skip
