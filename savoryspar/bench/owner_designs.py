"""Three designs of who may run an order, as small models for comparison.

Each model answers one question: may the process that answers now run or look
up this order safely? A process that became the owner by a change of the view
cannot know what the one before it ran, so it refuses until the tickets or keys
of that time have expired.
"""

import functools
import hashlib
import random

ZONES = 3
ENTRIES_PER_ZONE = 3
ORDERS = 6000
DURATION_S = 60.0
EVENT_AT_S = 20.0
CUT_S = 20.0
REPLACE_EVERY_S = 4.0
DETECT_S = 3.0
MAX_RESEND_S = 5.0
EVENTS = ("entry dies", "zone is cut off", "rolling replacement")


class Entry:
    """One entry process: its zone and life time in seconds."""

    __slots__ = ("ends_at", "name", "starts_at", "zone")

    def __init__(self, name: str, zone: int, starts_at: float, ends_at: float):
        self.name = name
        self.zone = zone
        self.starts_at = starts_at
        self.ends_at = ends_at

    def is_alive(self, at: float) -> bool:
        """Tells whether the process runs."""
        return self.starts_at <= at < self.ends_at


class Scene:
    """What happens to the entry processes during one event."""

    __slots__ = ("entries", "event", "first")

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

        self.first = self.alive(0.0)

    def alive(self, at: float) -> list[Entry]:
        """Returns the processes that run."""
        return [entry for entry in self.entries if entry.is_alive(at)]

    def can_reach(self, one: int, other: int, at: float) -> bool:
        """Tells whether two zones can talk."""
        is_cut = (
            self.event == EVENTS[1] and EVENT_AT_S <= at < EVENT_AT_S + CUT_S
        )
        return not is_cut or (one == 0) == (other == 0)

    def view(self, entry: Entry, at: float) -> list[Entry]:
        """Returns who the process believes to be live, with the lag."""
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
        return [e for e in self.alive(at) if self.can_reach(zone, e.zone, at)]


@functools.cache
def _weight(key: int, name: str) -> bytes:
    return hashlib.sha256(f"{key}/{name}".encode()).digest()


def _top(key: int, entries: list[Entry]) -> Entry | None:
    return max(entries, key=lambda e: _weight(key, e.name), default=None)


def _serves(
    scene: Scene,
    at_entry: Entry,
    owners: tuple[Entry | None, Entry | None],
    at: float,
) -> bool:
    """Tells whether a hashed owner answers safely for the key.

    Args:
        scene: What happens.
        at_entry: Process that is asked.
        owners: Owner in the view of that process, and before the event. If
            they differ, the new one is in quarantine until the keys of that
            time expire, which is later than the end of the run.
        at: Time of the send.
    """
    owner, before = owners
    return (
        owner is not None
        and owner is before
        and owner.is_alive(at)
        and scene.can_reach(at_entry.zone, owner.zone, at)
    )


def by_live_list(
    scene: Scene, key: int, issuer: Entry, at_entry: Entry, at: float
) -> bool:
    """Owner by rendezvous over the live list of the process that is asked."""
    del issuer
    owner = _top(key, scene.view(at_entry, at))
    return _serves(scene, at_entry, (owner, _top(key, scene.first)), at)


def by_zone(
    scene: Scene, key: int, issuer: Entry, at_entry: Entry, at: float
) -> bool:
    """Owner zone by hash over the configured zones, then the live list."""
    del issuer
    zone = int.from_bytes(_weight(key, "zone")[:4], "big") % ZONES
    owner, before = (
        _top(key, [e for e in entries if e.zone == zone])
        for entries in (scene.view(at_entry, at), scene.first)
    )
    return _serves(scene, at_entry, (owner, before), at)


def by_ticket(
    scene: Scene, key: int, issuer: Entry, at_entry: Entry, at: float
) -> bool:
    """The issuer of the ticket, or its successor after a graceful shutdown."""
    del key
    if not issuer.is_alive(at):
        return scene.event == EVENTS[2]
    return scene.can_reach(at_entry.zone, issuer.zone, at)


DESIGNS = {
    "live list": by_live_list,
    "zones": by_zone,
    "tickets": by_ticket,
}


def refused_share(design: str, event: str, seed: int) -> float:
    """Returns the share of orders refused from the event on, in percent.

    Each order gets its ticket or key, is sent after up to 1 s and resent once
    after up to ``MAX_RESEND_S``, to any process that its caller can reach; it
    counts as refused if a send is.
    """
    rng = random.Random(f"{seed}/{event}")
    scene = Scene(event)
    refused = total = 0
    for key in range(ORDERS):
        issued_at = rng.uniform(EVENT_AT_S - MAX_RESEND_S, DURATION_S)
        zone = rng.randrange(ZONES)
        issuer = rng.choice(scene.reachable(zone, issued_at))
        is_refused = False
        for at in (
            issued_at + rng.uniform(0.0, 1.0),
            issued_at + rng.uniform(1.0, MAX_RESEND_S),
        ):
            asked = rng.choice(scene.reachable(zone, at))
            is_refused |= not DESIGNS[design](scene, key, issuer, asked, at)
        refused += is_refused
        total += 1
    return 100.0 * refused / total
