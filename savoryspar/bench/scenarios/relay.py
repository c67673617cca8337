"""The relay: CPU of a chunk and the gap that it adds between tokens."""

import time

from savoryspar.bench import fleet as fleet_lib
from savoryspar.bench import procfs, relay_fleet, results, stream_reader

WARM_UP_S = 1.5
COST_STREAMS = 120
COST_STEP_MS = 40.0
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
    """Compares the CPU of a relayed chunk with a plain relay's."""
    with fleet_lib.Fleet() as fleet:
        source = relay_fleet.start_sources(fleet, 1, COST_STEP_MS, GROUPS)[0]
        plain = fleet.start(
            "plain", ["standin", "plain-relay", f"--target={source.address}"]
        )
        thread = relay_fleet.start_entries(fleet, "thread", 1, "thread")[0]
        hub = relay_fleet.start_entries(fleet, "hub", 1, "hub")[0]
        plain_us = chunk_cost_us(plain)
        thread_us = chunk_cost_us(thread)
        hub_us = chunk_cost_us(hub)
    row = results.new_row
    return [
        row(
            "relay-cost", "CPU of a chunk / plain relay's", "ratio",
            "<= 0.35", hub_us / plain_us, seed, thread_us / plain_us,
        ),
        row(
            "relay-cost", "CPU of a chunk", "us",
            f"<= {0.35 * plain_us:.1f}", hub_us, seed, thread_us,
        ),
    ]  # fmt: skip


def chunk_cost_us(process: fleet_lib.Process) -> float:
    """Returns the CPU of one relayed chunk in microseconds."""
    readers = stream_reader.Readers(
        [
            relay_fleet.stream_task(
                [process.address], COST_STREAMS, WARM_UP_S, COST_S
            )
        ]
    )
    readers.wait_open()
    time.sleep(WARM_UP_S)
    before_s = procfs.cpu_seconds(process.popen.pid)
    time.sleep(COST_S)
    cpu_s = procfs.cpu_seconds(process.popen.pid) - before_s
    figures = readers.finish()
    if figures.broken:
        raise RuntimeError(f"{figures.broken} streams broke at {process.name}")
    return cpu_s / figures.tokens * 1e6


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
