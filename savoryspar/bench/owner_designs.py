"""Models of three ways to assign orders to owners, for comparison.

Each model decides whether the process that receives a send can safely run the
order or look it up. A process that becomes the owner through a change of
membership has no record of what the previous owner ran, so it refuses until
the tickets or keys issued before the change have expired.
"""

import functools
import hashlib
import random

ZONES = 3
ENTRIES_PER_ZONE = 3
ORDERS = 6000
DURATION_S = 60.0
EVENT_AT_S = 20.0
PARTITION_S = 20.0
REPLACE_EVERY_S = 4.0
DETECT_S = 3.0
MAX_RESEND_S = 5.0
EVENTS = ("entry dies", "zone is cut off", "rolling replacement")


class Entry:
    """One entry process: its zone, and its start and end in seconds."""

    __slots__ = ("ends_at", "name", "starts_at", "zone")

    def __init__(self, name: str, zone: int, starts_at: float, ends_at: float):
        self.name = name
        self.zone = zone
        self.starts_at = starts_at
        self.ends_at = ends_at

    def is_alive(self, at: float) -> bool:
        """Returns whether the process is running at a time."""
        return self.starts_at <= at < self.ends_at


class Cluster:
    """Entry processes and the links between zones during one event."""

    __slots__ = ("entries", "event", "initial_entries")

    def __init__(self, event: str):
        self.event = event
        self.entries = []
        for number in range(ZONES * ENTRIES_PER_ZONE):
            zone, ends_at = number % ZONES, float("inf")
            if event == EVENTS[0] and number == 0:
                ends_at = EVENT_AT_S
            if event == EVENTS[2]:
                ends_at = EVENT_AT_S + number * REPLACE_EVERY_S
                self.entries.append(
                    Entry(f"new-{number}", zone, ends_at, float("inf"))
                )
            self.entries.append(Entry(f"old-{number}", zone, -1e9, ends_at))

        self.initial_entries = self.live_entries(0.0)

    def live_entries(self, at: float) -> list[Entry]:
        """Returns the processes that are running at a time."""
        return [entry for entry in self.entries if entry.is_alive(at)]

    def can_reach(self, zone: int, other_zone: int, at: float) -> bool:
        """Returns whether two zones are connected; zone 0 gets cut off."""
        is_partitioned = (
            self.event == EVENTS[1]
            and EVENT_AT_S <= at < EVENT_AT_S + PARTITION_S
        )
        return not is_partitioned or (zone == 0) == (other_zone == 0)

    def live_list(self, entry: Entry, at: float) -> list[Entry]:
        """Returns the processes in the live list of a process.

        A start shows at once, an end or a partition ``DETECT_S`` later.
        """
        seen_at = at - DETECT_S
        return [
            other
            for other in self.entries
            if other is entry
            or (
                (
                    other.is_alive(at)
                    or (other.is_alive(seen_at) and other.ends_at > seen_at)
                )
                and self.can_reach(entry.zone, other.zone, seen_at)
            )
        ]

    def reachable(self, zone: int, at: float) -> list[Entry]:
        """Returns the processes that a caller in the zone can reach."""
        return [
            e for e in self.live_entries(at) if self.can_reach(zone, e.zone, at)
        ]


@functools.cache
def _weight(key: int, name: str) -> bytes:
    return hashlib.sha256(f"{key}/{name}".encode()).digest()


def _rendezvous_owner(key: int, entries: list[Entry]) -> Entry | None:
    return max(entries, key=lambda e: _weight(key, e.name), default=None)


def _can_serve(
    cluster: Cluster,
    receiver: Entry,
    owners: tuple[Entry | None, Entry | None],
    at: float,
) -> bool:
    """Returns whether the owner of a hashed key can answer safely.

    Args:
        cluster: Entry processes and links.
        receiver: Process that receives the send.
        owners: Owner in the live list of that process, and before the event.
            If they differ, the new owner refuses the key until the keys
            issued before the event expire, which is after the end of the run.
        at: Time of the send.
    """
    owner, previous_owner = owners
    return (
        owner is not None
        and owner is previous_owner
        and owner.is_alive(at)
        and cluster.can_reach(receiver.zone, owner.zone, at)
    )


def by_live_list(
    cluster: Cluster, key: int, issuer: Entry, receiver: Entry, at: float
) -> bool:
    """Owner by rendezvous hashing over the live list of the receiver."""
    del issuer
    owner = _rendezvous_owner(key, cluster.live_list(receiver, at))
    return _can_serve(
        cluster,
        receiver,
        (owner, _rendezvous_owner(key, cluster.initial_entries)),
        at,
    )


def by_zone(
    cluster: Cluster, key: int, issuer: Entry, receiver: Entry, at: float
) -> bool:
    """Owner zone by hash over the configured zones, owner by live list."""
    del issuer
    zone = int.from_bytes(_weight(key, "zone")[:4], "big") % ZONES
    owner, previous_owner = (
        _rendezvous_owner(key, [e for e in entries if e.zone == zone])
        for entries in (
            cluster.live_list(receiver, at),
            cluster.initial_entries,
        )
    )
    return _can_serve(cluster, receiver, (owner, previous_owner), at)


def by_ticket(
    cluster: Cluster, key: int, issuer: Entry, receiver: Entry, at: float
) -> bool:
    """Owner is the issuer of the ticket, or its successor after a drain."""
    del key
    if not issuer.is_alive(at):
        return cluster.event == EVENTS[2]
    return cluster.can_reach(receiver.zone, issuer.zone, at)


DESIGNS = {
    "live list": by_live_list,
    "zones": by_zone,
    "tickets": by_ticket,
}


def refused_percent(design: str, event: str, seed: int) -> float:
    """Returns the share of orders refused from the event on, in percent.

    Each order gets its ticket or key, is sent within 1 s and resent once
    within ``MAX_RESEND_S``, each time to a random process that its caller can
    reach. An order counts as refused if either send is refused.
    """
    rng = random.Random(f"{seed}/{event}")
    cluster = Cluster(event)
    refused = total = 0
    for key in range(ORDERS):
        issued_at = rng.uniform(EVENT_AT_S - MAX_RESEND_S, DURATION_S)
        zone = rng.randrange(ZONES)
        issuer = rng.choice(cluster.reachable(zone, issued_at))
        is_refused = False
        for at in (
            issued_at + rng.uniform(0.0, 1.0),
            issued_at + rng.uniform(1.0, MAX_RESEND_S),
        ):
            receiver = rng.choice(cluster.reachable(zone, at))
            is_refused |= not DESIGNS[design](
                cluster, key, issuer, receiver, at
            )
        refused += is_refused
        total += 1
    return 100.0 * refused / total
