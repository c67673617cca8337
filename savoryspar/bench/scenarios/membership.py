"""Spreading of the configuration and the cost of control."""

from collections.abc import Iterator, Mapping, Sequence
import random
import time
from typing import Any

from savoryspar.bench import deployments
from savoryspar.bench import fleet as fleet_lib

SIZES = ((9, 3), (50, 5), (200, 5))
"""Members and zones of each measurement."""

TARGET_MEMBERS = 380
TARGET_ZONES = 10
PROCESSES = 16
SETTLE_S = 40.0
WINDOW_S = 8.0
POLL_S = 0.5
REAP_S = 7.0
"""Time after which links that a start needed are closed."""

HEADER_BYTES = 52
"""IPv4 and TCP headers with timestamps, of each segment."""

CHANGES_PER_DAY = 9_100
FACT = {
    "urgent": [[f"workspace-{number}", 1200.0] for number in range(4)],
    "backlog": {"engines": 7.5},
}
"""What a member reports of its service: four heavy workspaces, one pool."""


class Cost:
    """What control costs a member on average, each second.

    Attributes:
        size, zones: Members and zones of the measurement.
        bytes_sent, bytes_received: With TLS and the headers of TCP and IP.
        most_sent: Bytes sent by the member that sends most.
        cpu_percent: Of one core.
    """

    __slots__ = (
        "bytes_received",
        "bytes_sent",
        "cpu_percent",
        "most_sent",
        "size",
        "zones",
    )

    def __init__(
        self,
        size: int,
        zones: int,
        sent: Sequence[float],
        received: Sequence[float],
        cpu_percent: float,
    ):
        self.size = size
        self.zones = zones
        self.bytes_sent = sum(sent) / len(sent)
        self.bytes_received = sum(received) / len(received)
        self.most_sent = max(sent)
        self.cpu_percent = cpu_percent


def measure_cost(
    size: int, zones: int, settings: Mapping[str, object], seed: int
) -> Cost:
    """Measures a quiet fleet with facts and one change of configuration."""
    with fleet_lib.Fleet() as fleet:
        processes = _start_members(fleet, size, zones, settings, seed)
        _wait_until(lambda: _is_whole(fleet, processes, size))
        for process in processes:
            fleet.post_json(process, "/fact", {"name": "load", "body": FACT})
        text = deployments.GESTO.sheet_text()
        _change(fleet, processes, text, 1)
        time.sleep(REAP_S)
        before = [fleet.get_json(p, "/stats?brief=1") for p in processes]
        started_at = time.monotonic()
        # The window holds the changes that a day of the design size has.
        _change(fleet, processes, text.replace("share,3", "share,4"), 2)
        time.sleep(WINDOW_S)
        after = [fleet.get_json(p, "/stats?brief=1") for p in processes]
        passed_s = time.monotonic() - started_at
    return _new_cost(size, zones, before, after, passed_s)


def _start_members(
    fleet: fleet_lib.Fleet,
    size: int,
    zones: int,
    settings: Mapping[str, object],
    seed: int,
) -> list[fleet_lib.Process]:
    count = min(PROCESSES, size)
    bounds = [size * number // count for number in range(count + 1)]
    processes = [
        fleet.start_members(
            f"members-{number}",
            zones,
            bounds[number],
            bounds[number + 1] - bounds[number],
            settings,
        )
        for number in range(count)
    ]
    addresses = [
        member["address"]
        for process in processes
        for member in fleet.get_json(process, "/stats")["members"]
    ]
    random.Random(seed).shuffle(addresses)
    for process in processes:
        fleet.post_json(process, "/listed", {"addresses": addresses})
        time.sleep(0.5)
    return processes


def _is_whole(
    fleet: fleet_lib.Fleet, processes: Sequence[fleet_lib.Process], size: int
) -> bool:
    return all(
        member["count"] == size - 1
        for process in processes
        for member in fleet.get_json(process, "/stats?brief=1")["members"]
    )


def _wait_until(is_done: Any, timeout_s: float = SETTLE_S) -> float:
    """Waits until the condition holds and returns the time in seconds.

    Raises:
        TimeoutError: It does not hold in time.
    """
    started_at = time.monotonic()
    while not is_done():
        if time.monotonic() - started_at > timeout_s:
            raise TimeoutError("the members did not settle in time")
        time.sleep(POLL_S)
    return time.monotonic() - started_at


def _change(
    fleet: fleet_lib.Fleet,
    processes: Sequence[fleet_lib.Process],
    text: str,
    revision: int,
) -> None:
    body = {"text": text, "revision": revision}
    fleet.post_json(processes[0], "/sheet", body)


def _new_cost(
    size: int,
    zones: int,
    before: Sequence[Mapping[str, Any]],
    after: Sequence[Mapping[str, Any]],
    passed_s: float,
) -> Cost:
    pairs = [
        (old["traffic"], new["traffic"])
        for first, second in zip(before, after, strict=True)
        for old, new in zip(first["members"], second["members"], strict=True)
    ]
    cpu_s = sum(
        second["cpu_s"] - first["cpu_s"]
        for first, second in zip(before, after, strict=True)
    )
    return Cost(
        size,
        zones,
        [_bytes(old, new, "sent") / passed_s for old, new in pairs],
        [_bytes(old, new, "received") / passed_s for old, new in pairs],
        100.0 * cpu_s / size / passed_s,
    )


def _bytes(
    old: Mapping[str, int], new: Mapping[str, int], direction: str
) -> float:
    payload = new[f"{direction}_bytes"] - old[f"{direction}_bytes"]
    segments = new[f"{direction}_segments"] - old[f"{direction}_segments"]
    return payload + segments * HEADER_BYTES


def extrapolate(points: Sequence[tuple[float, float]], size: float) -> float:
    """Returns the value at a size on the line of least squares."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y + slope * (size - mean_x)


def compare(topologies: Sequence[str], seed: int) -> Iterator[tuple[str, Cost]]:
    """Yields the cost of each topology at each size."""
    for topology in topologies:
        for size, zones in SIZES:
            yield (
                topology,
                measure_cost(size, zones, {"topology": topology}, seed),
            )
