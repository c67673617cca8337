"""Logs what a busy VM sends to its peers and receives from them."""

import eventlet

from savoryspar import eventloop, log, membership, tasks
from savoryspar.gateway import model

INTERVAL_S = 1.0
BUSY_BYTES_PER_S = 100_000.0
"""Bytes in both directions above which the traffic is logged; a twelfth of
what a link of 10 Mbit/s carries in one direction."""
MAX_LISTED = 5
"""Kinds of messages in a line, those with the most bytes first."""

Totals = dict[tuple[str, str], tuple[int, int]]
"""Messages and bytes by kind and direction."""


class PeerTrafficLog:
    """Writes a line for each second with much traffic or delayed messages."""

    __slots__ = ("_clock", "_delayed", "_events", "_members", "_totals")

    def __init__(
        self,
        members: membership.Membership,
        events: log.EventLog,
        clock: model.Clock,
    ):
        self._members = members
        self._events = events
        self._clock = clock
        self._totals: Totals = {}
        self._delayed = 0

    def start(self) -> None:
        """Starts to check the traffic."""
        tasks.spawn_task("peer traffic", self._run)

    def _run(self) -> None:
        checked_at = self._clock()
        while True:
            eventlet.sleep(INTERVAL_S)
            now = self._clock()
            self.check(now - checked_at, now)
            checked_at = now

    def check(self, duration_s: float, now: float) -> None:
        """Logs the traffic since the last check if there was much.

        Args:
            duration_s: Time since the last check.
            now: Monotonic time in seconds.
        """
        traffic = self._members.message_counts
        totals = {
            (kind, direction): (messages, size)
            for kind, direction, messages, size in traffic.totals()
        }
        changes = {
            key: (messages - before[0], size - before[1])
            for key, (messages, size) in totals.items()
            if (before := self._totals.get(key, (0, 0))) != (messages, size)
        }
        delayed = traffic.delayed() - self._delayed
        self._totals, self._delayed = totals, traffic.delayed()
        size = sum(size for _, size in changes.values())
        if not delayed and size < BUSY_BYTES_PER_S * duration_s:
            return
        self._events.state_change(
            "peer traffic",
            now,
            in_s=round(duration_s, 3),
            delayed=delayed,
            longest_wait_s=round(traffic.longest_wait_s(), 3),
            longest_round_s=round(eventloop.longest_round_s(), 3),
            links_opened=traffic.opened,
            links_failed=traffic.failed,
            **{
                direction: _largest(changes, direction)
                for direction in ("sent", "received")
            },
        )


def _largest(changes: Totals, direction: str) -> dict[str, list[int]]:
    """Returns messages and bytes of all kinds and of the largest ones."""
    counts = {kind: c for (kind, way), c in changes.items() if way == direction}
    ordered = sorted(counts, key=lambda kind: -counts[kind][1])
    total = [sum(column) for column in zip(*counts.values(), strict=True)]
    return {
        "all": total or [0, 0],
        **{kind: [*counts[kind]] for kind in ordered[:MAX_LISTED]},
    }


def new_peer_traffic_log(
    members: membership.Membership, events: log.EventLog, clock: model.Clock
) -> PeerTrafficLog:
    """Returns a log that has not begun.

    Args:
        members: The other entry VMs.
        events: Log that the lines are written to.
        clock: Monotonic time in seconds.
    """
    return PeerTrafficLog(members, events, clock)
