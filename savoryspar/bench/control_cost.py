"""Measures control traffic and CPU per member at several fleet sizes."""

from collections.abc import Callable, Mapping, Sequence
import contextlib
import random
import time
from typing import Any

from savoryspar.bench import deployments
from savoryspar.bench import fleet as fleet_lib

SETTLE_S = 60.0
REAP_S = 7.0
"""Time until links that are needed only at start-up are closed."""

WINDOW_S = 8.0
POLL_S = 0.5
MEMBERS_PER_PROCESS = 17
HEADER_BYTES = 52
"""IPv4 and TCP headers of a segment, including TCP timestamps."""

LOAD_REPORT = {
    "urgent": [[f"workspace-{number}", 1200.0] for number in range(4)],
    "backlog": {"engines": 7.5},
}
"""Load report of a member: four heavy workspaces and one pool."""


class Cost:
    """Control traffic and CPU per member and second.

    Attributes:
        size: Members of the fleet.
        bytes_sent, bytes_received: Mean bytes, including TLS and the TCP and IP
            headers.
        most_sent: Bytes sent by the member that sends most, a relay.
        cpu_percent: Mean CPU in percent of one core.
    """

    __slots__ = (
        "bytes_received",
        "bytes_sent",
        "cpu_percent",
        "most_sent",
        "size",
    )

    def __init__(
        self,
        size: int,
        sent: Sequence[float],
        received: Sequence[float],
        cpu_percent: float,
    ):
        self.size = size
        self.bytes_sent = sum(sent) / len(sent)
        self.bytes_received = sum(received) / len(received)
        self.most_sent = max(sent)
        self.cpu_percent = cpu_percent


class MemberGroup:
    """A fleet of members that runs several members per process."""

    __slots__ = (
        "_before",
        "_fleet",
        "_processes",
        "_size",
        "_window_started_at",
    )

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        size: int,
        zones: int,
        settings: Mapping[str, object],
    ):
        count = -(-size // MEMBERS_PER_PROCESS)
        bounds = [size * number // count for number in range(count + 1)]
        self._fleet = fleet
        self._size = size
        self._processes = [
            fleet.start_members(
                f"members-{number}",
                zones,
                bounds[number],
                bounds[number + 1] - bounds[number],
                settings,
            )
            for number in range(count)
        ]
        self._before: list[Mapping[str, Any]] = []
        self._window_started_at = 0.0

    def send_peer_addresses(self, seed: int) -> None:
        """Sends the peer addresses of the VM list to every member."""
        addresses = [
            member["address"]
            for process in self._processes
            for member in self._fleet.get_json(process, "/stats")["members"]
        ]
        random.Random(seed).shuffle(addresses)
        for process in self._processes:
            body = {"addresses": addresses}
            self._fleet.post_json(process, "/listed", body)

    def is_converged(self) -> bool:
        """Returns whether every member lists all other members."""
        return all(
            member["count"] == self._size - 1
            for stats in self._stats()
            for member in stats["members"]
        )

    def publish_load_reports(self) -> None:
        """Makes every member publish the load report."""
        for process in self._processes:
            body = {"name": "load", "body": LOAD_REPORT}
            self._fleet.post_json(process, "/fact", body)

    def send_sheet(self, text: str, revision: int) -> None:
        """Passes a revision of the sheet to one member."""
        body = {"text": text, "revision": revision}
        self._fleet.post_json(self._processes[0], "/sheet", body)

    def start_window(self) -> None:
        """Starts the measurement window."""
        self._before = self._stats()
        self._window_started_at = time.monotonic()

    def end_window(self) -> Cost:
        """Ends the measurement window and returns the cost within it."""
        after = self._stats()
        elapsed_s = time.monotonic() - self._window_started_at
        pairs = [
            (old["traffic"], new["traffic"])
            for first, second in zip(self._before, after, strict=True)
            for old, new in zip(
                first["members"], second["members"], strict=True
            )
        ]
        cpu_s = sum(
            second["cpu_s"] - first["cpu_s"]
            for first, second in zip(self._before, after, strict=True)
        )
        return Cost(
            self._size,
            [_bytes(old, new, "sent") / elapsed_s for old, new in pairs],
            [_bytes(old, new, "received") / elapsed_s for old, new in pairs],
            100.0 * cpu_s / self._size / elapsed_s,
        )

    def _stats(self) -> list[Mapping[str, Any]]:
        return [
            self._fleet.get_json(process, "/stats?brief=1")
            for process in self._processes
        ]


def measure(
    sizes: Sequence[tuple[int, int]], settings: Mapping[str, object], seed: int
) -> list[Cost]:
    """Measures fleets of (members, zones) at the same time.

    The measurement window contains one configuration change, which is about
    the rate at the design size (9,100 changes a day).
    """
    text = deployments.GESTO.sheet_text()
    with contextlib.ExitStack() as stack:
        groups = [
            MemberGroup(
                stack.enter_context(fleet_lib.Fleet()), size, zones, settings
            )
            for size, zones in sizes
        ]
        for group in groups:
            group.send_peer_addresses(seed)
        wait_until(lambda: all(group.is_converged() for group in groups))
        for group in groups:
            group.publish_load_reports()
            group.send_sheet(text, 1)
        time.sleep(REAP_S)
        for group in groups:
            group.start_window()
            group.send_sheet(text.replace("share,3", "share,4"), 2)
        time.sleep(WINDOW_S)
        return [group.end_window() for group in groups]


def wait_until(
    is_done: Callable[[], bool],
    timeout_s: float = SETTLE_S,
    poll_s: float = POLL_S,
) -> float:
    """Waits until a condition is met and returns the wait in seconds.

    Raises:
        TimeoutError: The condition was not met in time.
    """
    started_at = time.monotonic()
    while not is_done():
        if time.monotonic() - started_at > timeout_s:
            raise TimeoutError("the condition was not met in time")
        time.sleep(poll_s)
    return time.monotonic() - started_at


def extrapolate(points: Sequence[tuple[float, float]], size: float) -> float:
    """Returns the value at a size on the least-squares line of the points."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y + slope * (size - mean_x)


def _bytes(
    old: Mapping[str, int], new: Mapping[str, int], direction: str
) -> float:
    payload = new[f"{direction}_bytes"] - old[f"{direction}_bytes"]
    segments = new[f"{direction}_segments"] - old[f"{direction}_segments"]
    return payload + segments * HEADER_BYTES
