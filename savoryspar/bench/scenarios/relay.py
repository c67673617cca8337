"""Scenarios of the relay: CPU per chunk and the gap added between tokens."""

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
"""224 streams with a token every 50 ms are the load of 1 of 4 processes."""
COST_S = 4.0
SILENT_S = 3.0
GAP_STREAMS = 895
GAP_STEP_MS = 50.0
"""895 streams with a token every 50 ms are 17,900 tokens/s."""
GAP_S = 6.0
GAP_ENTRIES = 4
GAP_SOURCES = 2
GAP_READERS = 2
GROUPS = 16


def relay_cost(seed: int) -> list[results.Row]:
    """Compares the CPU per relayed chunk with that of a plain relay.

    Both relays run at the same time, so that other load on the machine affects
    them equally.
    """
    with fleet_lib.Fleet() as fleet:
        sources = relay_fleet.start_sources(fleet, 2, COST_STEP_MS, GROUPS)
        target = f"--target={sources[0].address}"
        plain = fleet.start("plain", ["standin", "plain-relay", target])
        thread = relay_fleet.start_entries(fleet, "thread", 1, "thread")[0]
        hub = relay_fleet.start_entries(fleet, "hub", 1, "hub")[0]
        pairs = [
            chunk_costs_us(fleet, sources, [plain, entry])
            for entry in (hub, thread)
        ]
    (plain_us, ours), (other_us, threaded) = pairs
    return [
        results.new_row(
            "relay-cost", "CPU of a chunk / plain relay's", "ratio", "<= 0.35",
            ours[0] / plain_us[0], seed, threaded[0] / other_us[0],
        ),
        results.new_row(
            "relay-cost", "the same, with all duties of the process", "ratio",
            "<= 0.35", ours[1] / plain_us[1], seed, threaded[1] / other_us[1],
        ),
        results.new_row(
            "relay-cost", "CPU of a chunk, 0.35 of the plain relay's", "us",
            f"<= {0.35 * plain_us[0]:.1f}", ours[0], seed, plain_us[0],
        ),
    ]  # fmt: skip


def chunk_costs_us(
    fleet: fleet_lib.Fleet,
    sources: list[fleet_lib.Process],
    processes: list[fleet_lib.Process],
) -> list[tuple[float, float]]:
    """Measures the CPU per relayed chunk of each process.

    Returns:
        For each process, microseconds per chunk without and with the CPU that
        the process uses while the same streams are open but silent.
    """
    _set_paused(fleet, sources, True)
    warm_up_s = SILENT_S + 2 * WARM_UP_S
    readers = [
        stream_reader.Readers(
            [
                relay_fleet.stream_task(
                    [process.address], COST_STREAMS, warm_up_s, COST_S
                )
            ]
        )
        for process in processes
    ]
    for reader in readers:
        reader.wait_open()
    time.sleep(WARM_UP_S)
    silent_shares = _cpu_shares(processes, SILENT_S)
    _set_paused(fleet, sources, False)
    time.sleep(WARM_UP_S)
    shares = _cpu_shares(processes, COST_S)
    costs_us = []
    for share, silent_share, reader in zip(
        shares, silent_shares, readers, strict=True
    ):
        stats = reader.finish()
        if stats.broken:
            raise RuntimeError(f"{stats.broken} streams ended early")
        chunk_us = COST_S / stats.tokens * 1e6
        costs_us.append(((share - silent_share) * chunk_us, share * chunk_us))
    return costs_us


def _set_paused(
    fleet: fleet_lib.Fleet, sources: list[fleet_lib.Process], is_paused: bool
) -> None:
    for source in sources:
        fleet.control(source, {"is_paused": is_paused})


def _cpu_shares(
    processes: list[fleet_lib.Process], duration_s: float
) -> list[float]:
    """Returns the CPU seconds per second that each process uses."""
    pids = [process.popen.pid for process in processes]
    before_s = [procfs.cpu_seconds(pid) for pid in pids]
    time.sleep(duration_s)
    return [
        (procfs.cpu_seconds(pid) - before) / duration_s
        for pid, before in zip(pids, before_s, strict=True)
    ]


def relay_gap(seed: int) -> list[results.Row]:
    """Measures the token gap that an entry VM adds at 17,900 tokens/s."""
    with fleet_lib.Fleet() as fleet:
        sources = relay_fleet.start_sources(
            fleet, GAP_SOURCES, GAP_STEP_MS, GROUPS
        )
        thread = relay_fleet.start_entries(
            fleet, "thread", GAP_ENTRIES, "thread"
        )
        hub = relay_fleet.start_entries(fleet, "hub", GAP_ENTRIES, "hub")
        direct = _read_streams([source.address for source in sources])
        threaded = _read_streams([thread[0].address])
        ours = _read_streams([hub[0].address])
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


def _read_streams(addresses: list[str]) -> stream_reader.StreamStats:
    share = -(-GAP_STREAMS // GAP_READERS)
    readers = stream_reader.Readers(
        [
            relay_fleet.stream_task(addresses, share, WARM_UP_S, GAP_S)
            for _ in range(GAP_READERS)
        ]
    )
    readers.wait_open()
    return readers.finish()
