"""Scenario that replaces all entry processes one by one under load."""

import itertools
import threading
import time

from savoryspar.bench import balancer as balancer_lib
from savoryspar.bench import (
    deployments,
    flows,
    histograms,
    load,
    results,
    tally,
)
from savoryspar.bench import fleet as fleet_lib

ENTRIES = 3
BACKENDS_SHARE = 0.34
BALANCER_DELAY_S = 0.6
DRAIN_NOTICE_S = 2.0
BASELINE_DRAIN_NOTICE_S = 0.0
ROUND_S = 5.0
SETTLE_S = 1.5
STREAM_TOKENS = 240
EXIT_WAIT_S = 15.0
TERMINATED_TWICE = 1
"""Number of the entry process that gets a second SIGTERM."""

FLOWS = (
    flows.chat_flow(
        tally.WorkClass("troupe-andina", "archive-digest", "bulk", 8000),
        6.0,
        max_tokens=STREAM_TOKENS,
    ),
    flows.chat_flow(
        tally.WorkClass("calle-libre", "jury-summary", "standard", 4000),
        4.0,
        max_tokens=20,
        is_streamed=False,
    ),
    flows.pipeline_flow(
        tally.WorkClass("escuela-norte", "status-check", "urgent", 2000), 40.0
    ),
)


def rolling_replacement(seed: int) -> list[results.Row]:
    """Measures the requests that a rolling replacement cuts off."""
    ours = _replace_all(seed, DRAIN_NOTICE_S)
    baseline = _replace_all(seed, BASELINE_DRAIN_NOTICE_S)
    histograms.keep("latency", ours.total().latency)
    row = results.new_row
    return [
        row(
            "rolling", "requests cut off by replacing all entries", "count",
            "== 0", _cut_off(ours), seed, _cut_off(baseline),
        ),
        row(
            "rolling", "whole answers / requests", "share", ">= 0.99",
            ours.total().whole / ours.total().sent, seed,
            baseline.total().whole / baseline.total().sent,
        ),
    ]  # fmt: skip


def _cut_off(report: tally.Report) -> int:
    """Returns the number of requests that got no complete answer.

    A refusal with the run state ``not_run`` does not count, because the
    request did not start.
    """
    total = report.total()
    refused = sum(total.refused.values()) - total.refused.get("not_run", 0)
    return total.failed + refused


def _replace_all(seed: int, notice_s: float) -> tally.Report:
    with fleet_lib.Fleet() as fleet:
        deployments.start(
            deployments.GESTO, fleet, 0, backends_share=BACKENDS_SHARE
        )
        old = [
            _start_entry(fleet, f"old-{number}", number, notice_s)
            for number in range(ENTRIES)
        ]
        fleet.publish_vms()
        fleet.wait_ready(*(entry.name for entry in old))
        balancer = balancer_lib.Balancer(BALANCER_DELAY_S)
        balancer.watch(entry.address for entry in old)
        _wait_in_rotation(balancer, old)
        replacer = threading.Thread(
            target=_replace, args=(fleet, balancer, old, notice_s), daemon=True
        )
        replacer.start()
        report = tally.Report(ROUND_S)
        # The load continues until the last entry process is replaced.
        for round_seed in itertools.count(seed * 100):
            if not replacer.is_alive():
                break
            report.add(
                load.run(
                    FLOWS, (), ROUND_S, round_seed,
                    pick=balancer.pick, reuse_connections=True,
                )
            )  # fmt: skip
        balancer.close()
        codes = [entry.wait(EXIT_WAIT_S) for entry in old]
        if any(codes):
            raise RuntimeError(
                f"the replaced entry processes exited with {codes}"
            )
        return report


def _replace(
    fleet: fleet_lib.Fleet,
    balancer: balancer_lib.Balancer,
    old: list[fleet_lib.Process],
    notice_s: float,
) -> None:
    time.sleep(SETTLE_S)
    for number, entry in enumerate(old):
        replacement = _start_entry(fleet, f"new-{number}", number, notice_s)
        balancer.watch([replacement.address])
        _wait_in_rotation(balancer, [replacement])
        entry.terminate()
        if number == TERMINATED_TWICE and notice_s:
            # The second SIGTERM comes when the balancer has stopped sending
            # requests but streams are still open.
            while balancer.is_ready(entry.address):
                time.sleep(0.05)
            entry.terminate()
        entry.wait(EXIT_WAIT_S)


def _start_entry(
    fleet: fleet_lib.Fleet, name: str, number: int, notice_s: float
) -> fleet_lib.Process:
    region = deployments.GESTO.regions[number % len(deployments.GESTO.regions)]
    settings = {"entry": {"drain_notice_s": notice_s}}
    entry = fleet.start_entry(name, region, f"{region}-a", settings)
    fleet.publish_vms()
    return entry


def _wait_in_rotation(
    balancer: balancer_lib.Balancer, entries: list[fleet_lib.Process]
) -> None:
    deadline_at = time.monotonic() + EXIT_WAIT_S
    while not all(balancer.is_ready(entry.address) for entry in entries):
        if time.monotonic() > deadline_at:
            raise TimeoutError(
                "the entry processes did not become ready in time"
            )
        time.sleep(0.05)
