"""The relay: CPU of a chunk and the gap that it adds between tokens."""

import time

from savoryspar.bench import fleet as fleet_lib
from savoryspar.bench import (
    histograms,
    procfs,
    relay_fleet,
    results,
    stream_reader,
)

WARM_UP_S = 1.5
COST_STREAMS = 224
COST_STEP_MS = 50.0
"""224 streams with a token every 50 ms are the load of one of 4 processes."""
COST_S = 5.0
GAP_STREAMS = 895
GAP_STEP_MS = 50.0
"""895 streams with a token every 50 ms are 17,900 tokens/s."""
GAP_S = 6.0
GAP_ENTRIES = 4
GAP_SOURCES = 2
GAP_READERS = 2
GROUPS = 16


def relay_cost(seed: int) -> list[results.Row]:
    """Compares the CPU of a relayed chunk with a plain relay's.

    Both relays run at the same time, so that other load on the machine slows
    them alike.
    """
    with fleet_lib.Fleet() as fleet:
        sources = relay_fleet.start_sources(fleet, 2, COST_STEP_MS, GROUPS)
        target = f"--target={sources[0].address}"
        plain = fleet.start("plain", ["standin", "plain-relay", target])
        thread = relay_fleet.start_entries(fleet, "thread", 1, "thread")[0]
        hub = relay_fleet.start_entries(fleet, "hub", 1, "hub")[0]
        plain_us, hub_us = chunk_costs_us([plain, hub])
        other_us, thread_us = chunk_costs_us([plain, thread])
    return [
        results.new_row(
            "relay-cost", "CPU of a chunk / plain relay's", "ratio",
            "<= 0.35", hub_us / plain_us, seed, thread_us / other_us,
        ),
        results.new_row(
            "relay-cost", "CPU of a chunk, 0.35 of the plain relay's", "us",
            f"<= {0.35 * plain_us:.1f}", hub_us, seed, plain_us,
        ),
    ]  # fmt: skip


def chunk_costs_us(processes: list[fleet_lib.Process]) -> list[float]:
    """Returns the CPU of one relayed chunk of each process in microseconds."""
    readers = [
        stream_reader.Readers(
            [
                relay_fleet.stream_task(
                    [process.address], COST_STREAMS, WARM_UP_S, COST_S
                )
            ]
        )
        for process in processes
    ]
    for reader in readers:
        reader.wait_open()
    time.sleep(WARM_UP_S)
    pids = [process.popen.pid for process in processes]
    before_s = [procfs.cpu_seconds(pid) for pid in pids]
    time.sleep(COST_S)
    after_s = [procfs.cpu_seconds(pid) for pid in pids]
    costs_us = []
    for before, after, reader in zip(before_s, after_s, readers, strict=True):
        figures = reader.finish()
        if figures.broken:
            raise RuntimeError(f"{figures.broken} streams broke")
        costs_us.append((after - before) / figures.tokens * 1e6)
    return costs_us


def relay_gap(seed: int) -> list[results.Row]:
    """Measures the gap that an entry VM adds at 17,900 tokens/s."""
    with fleet_lib.Fleet() as fleet:
        sources = relay_fleet.start_sources(
            fleet, GAP_SOURCES, GAP_STEP_MS, GROUPS
        )
        thread = relay_fleet.start_entries(
            fleet, "thread", GAP_ENTRIES, "thread"
        )
        hub = relay_fleet.start_entries(fleet, "hub", GAP_ENTRIES, "hub")
        direct = _read([source.address for source in sources])
        threaded = _read([thread[0].address])
        ours = _read([hub[0].address])
    histograms.keep("gap added, no relay", direct.added)
    histograms.keep("gap added, relay_mode=thread", threaded.added)
    histograms.keep("gap added, relay_mode=hub", ours.added)
    histograms.keep("time under way, relay_mode=hub", ours.delay)
    row = results.new_row
    rate = ours.tokens / GAP_S
    return [
        row(
            "relay-gap", "gap added by a VM, p95", "ms", "<= 3",
            ours.added.percentile(95) * 1e3, seed,
            threaded.added.percentile(95) * 1e3,
        ),
        row(
            "relay-gap", "gap added without a relay, p95", "ms", "<= 3",
            direct.added.percentile(95) * 1e3, seed,
        ),
        row(
            "relay-gap", "tokens relayed a second", "1/s", ">= 17000", rate,
            seed, threaded.tokens / GAP_S,
        ),
    ]  # fmt: skip


def _read(addresses: list[str]) -> stream_reader.Figures:
    share = -(-GAP_STREAMS // GAP_READERS)
    readers = stream_reader.Readers(
        [
            relay_fleet.stream_task(addresses, share, WARM_UP_S, GAP_S)
            for _ in range(GAP_READERS)
        ]
    )
    readers.wait_open()
    return readers.finish()
