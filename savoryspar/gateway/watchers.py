"""Which VMs watch the store, and how the others hear of its changes.

Each call to the store is paid for, and a change answers every watch. In a zone
of many VMs two of them watch and pass changes on; the others only listen.
Heartbeats carry what each VM knows, so that one that missed a change notices,
and the age of the newest contact with the store: a VM that hears of no contact
watches by itself until there is one again.
"""

from collections.abc import Iterable
import math

from savoryspar import membership, stages
from savoryspar.membership import evidence, table

SMALL_ZONE = 3
"""Zones up to this size have no listeners: two watch whatever happens."""
WATCHERS = 2
"""Watching VMs of a larger zone, so that the loss of one changes nothing."""
WATCH_S = 2.5
"""Wait of a watch in a zone with listeners; each end proves a contact."""
CONTACT_MARGIN_S = 1.5
"""Added to the usual age of a contact before a listener watches itself."""
SETTLE_S = 1.5
"""Time after the start in which nobody watches: until a VM knows its peers it
takes itself for the only one of its zone. A VM is bound to a change only some
seconds after its start."""
KEY = "store-watcher"
MAX_HOPS = 8
"""VMs that pass the word of a contact on. Each may take it for newer by the
delay of a heartbeat, so echoes would keep it new for ever; a zone of 100 is
crossed in 7 hops."""
REVISION_BYTES = 8
HEAD_BYTES = 2


class Watchers:
    """What this VM knows of the other VMs' contact with the store.

    Attributes:
        contact_at: Newest contact of any VM that this one heard of.
        hops: VMs that passed the word of it on.
        newest: Highest revision of a change that any VM told, by prefix.
    """

    __slots__ = (
        "_chosen",
        "_own",
        "_settled_at",
        "contact_at",
        "hops",
        "newest",
    )

    def __init__(self, own: str, prefixes: Iterable[str], now: float):
        self._own = own
        self._chosen: tuple[tuple[membership.Record, ...], bool, int] = (
            (),
            True,
            0,
        )
        self._settled_at = now + SETTLE_S
        self.contact_at = now
        self.hops = 0
        self.newest = dict.fromkeys(prefixes, 0)

    def must_watch(
        self, all_members: tuple[membership.Record, ...], now: float
    ) -> bool:
        """Tells whether this VM watches the store.

        Args:
            all_members: This process and the live members; the same object while
                they are the same.
            now: Monotonic time in seconds.
        """
        if now < self._settled_at:
            return False
        if all_members is not self._chosen[0]:
            self._chosen = (all_members, *self._choose(all_members))
        _, is_chosen, zone_size = self._chosen
        return is_chosen or now - self.contact_at > contact_limit_s(zone_size)

    def watch_s(self, default_s: float) -> float:
        """Returns the wait of one watch."""
        return default_s if self._chosen[2] <= SMALL_ZONE else WATCH_S

    def record_contact(self, at: float, hops: int = 0) -> None:
        """Takes a contact of this VM, or of one that told its age.

        Args:
            at: When it was; monotonic seconds.
            hops: VMs that passed the word of it on, 0 for an own contact.
        """
        if at > self.contact_at and hops <= MAX_HOPS:
            self.contact_at, self.hops = at, hops

    def render(self, known: dict[str, int], now: float) -> tuple[int, bytes]:
        """Returns what the own heartbeats carry.

        Args:
            known: Revision of the newest change known here, by prefix.
            now: Monotonic time in seconds.

        Returns:
            The first prefix's revision; the age of the newest contact and the
            hops of its word in a byte each, and the other prefixes' revisions.
        """
        first, *others = (known[prefix] for prefix in self.newest)
        age_s = max(0.0, now - self.contact_at)
        age = min(evidence.MAX_AGE, math.ceil(age_s / evidence.UNIT_S))
        return first, bytes([age, self.hops + 1]) + b"".join(
            revision.to_bytes(REVISION_BYTES, "big") for revision in others
        )

    def take(self, first: int, rest: bytes, now: float) -> None:
        """Takes what a peer's heartbeat carried; see ``render``."""
        if len(rest) != HEAD_BYTES + REVISION_BYTES * (len(self.newest) - 1):
            return
        age, hops = rest[:HEAD_BYTES]
        if age < evidence.MAX_AGE:
            self.record_contact(now - age * evidence.UNIT_S, hops)
        others = (
            int.from_bytes(rest[at : at + REVISION_BYTES], "big")
            for at in range(HEAD_BYTES, len(rest), REVISION_BYTES)
        )
        for prefix, revision in zip(self.newest, (first, *others), strict=True):
            self.note_news(prefix, revision)

    def note_news(self, prefix: str, revision: int) -> None:
        """Takes the revision of a change that another VM knows."""
        self.newest[prefix] = max(self.newest[prefix], revision)

    def _choose(
        self, all_members: tuple[membership.Record, ...]
    ) -> tuple[bool, int]:
        """Returns whether this VM is chosen, and the size of its zone."""
        zone = all_members[0].zone
        near = [m for m in all_members if m.zone == zone and not m.is_leaving]
        if len(near) <= SMALL_ZONE:
            return True, len(near)
        ranked = sorted(
            (m.incarnation for m in near),
            key=lambda name: stages.rendezvous(name, KEY),
        )
        return self._own in ranked[:WATCHERS], len(near)


def contact_limit_s(zone_size: int) -> float:
    """Returns the age of a contact beyond which every VM watches itself."""
    hops = membership.zone_hops(zone_size)
    return WATCH_S + table.HOP_S * hops + CONTACT_MARGIN_S


def new_watchers(own: str, prefixes: Iterable[str], now: float) -> Watchers:
    """Returns the watchers of a fleet of which nothing is known yet.

    Args:
        own: Incarnation of this process.
        prefixes: What is watched; the same, in the same order, on all VMs.
        now: Monotonic time in seconds.
    """
    return Watchers(own, prefixes, now)
