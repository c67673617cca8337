"""Election of the VMs that watch the store on behalf of their zone.

Calls to the store are billed, and each change completes every open watch. In a
large zone, two VMs watch the store and propagate changes to the others, the
listeners. Heartbeats carry the newest revisions that a VM has, with the era of
the store, so that a VM that missed a change detects it, and the age of the
newest contact with the store: a VM that no peer told of a recent contact in its
era watches the store itself until one does again.
"""

from collections.abc import Iterable, Mapping
import math

from savoryspar import membership, stages
from savoryspar.membership import evidence, table

SMALL_ZONE_VMS = 3
"""Zones of up to this many VMs have no listeners, as two VMs would watch in any
case."""
WATCHERS_PER_ZONE = 2
"""Watching VMs of a larger zone; two, to tolerate the loss of one."""
WATCH_WAIT_S = 1.5
"""Default wait of a watch; each end of a watch counts as a contact with the
store."""
CONTACT_MARGIN_S = 1.5
"""Margin above the usual age of a contact before a listener starts to watch."""
SETTLE_S = 1.5
"""Time after the start of a VM in which it does not watch. Until it has
discovered its peers, it would elect itself as the only VM of its zone. A VM
need not apply changes until some seconds after its start."""
ELECTION_KEY = "store-watcher"
MAX_HOPS = 8
"""Maximum relays of a contact's age. Each relay may underestimate the age by
the delay of a heartbeat, so with unlimited relays an old contact would always
appear recent; a zone of 100 VMs is crossed in 7 hops."""
REVISION_BYTES = 8
ERA_BYTES = 4
HEAD_BYTES = 2

Told = Mapping[str, tuple[int, int]]
"""Era and revision of the newest change that a VM has, by prefix."""


class WatcherElection:
    """Decides whether this VM watches the store.

    Attributes:
        contact_at: Monotonic time of the newest known contact of any VM with
            the store.
        hops: Number of VMs that relayed this contact.
        watch_wait_s: Time for which a watch waits for changes.
    """

    __slots__ = (
        "_elected",
        "_own_incarnation",
        "_prefixes",
        "_settled_at",
        "_told_contact_at",
        "contact_at",
        "hops",
        "watch_wait_s",
    )

    def __init__(
        self,
        own_incarnation: str,
        prefixes: Iterable[str],
        now: float,
        watch_wait_s: float,
    ):
        self._own_incarnation = own_incarnation
        self._elected: tuple[tuple[membership.Record, ...], bool, int] = (
            (),
            True,
            0,
        )
        self._settled_at = now + SETTLE_S
        self._prefixes = tuple(prefixes)
        self._told_contact_at = now
        self.contact_at = now
        self.hops = 0
        self.watch_wait_s = watch_wait_s

    def must_watch(
        self, all_members: tuple[membership.Record, ...], now: float
    ) -> bool:
        """Returns whether this VM has to watch the store.

        Args:
            all_members: This process and the live members; the same object
                until the members change, because the result of the election
                is cached for this object.
            now: Monotonic time in seconds.
        """
        if now < self._settled_at:
            return False
        if all_members is not self._elected[0]:
            self._elected = (all_members, *self._elect(all_members))
        _, is_elected, zone_size = self._elected
        limit_s = contact_limit_s(zone_size, self.watch_wait_s)
        return is_elected or now - self._told_contact_at > limit_s

    def record_contact(self, at: float, hops: int = 0) -> None:
        """Records a contact with the store, of this VM or reported by a peer.

        Args:
            at: Monotonic time of the contact.
            hops: Number of VMs that relayed it, 0 for a contact of this VM.
        """
        if hops > MAX_HOPS:
            return
        if at > self.contact_at:
            self.contact_at, self.hops = at, hops
        if hops:
            self._told_contact_at = max(self._told_contact_at, at)

    def encode_state(self, known: Told, now: float) -> tuple[int, bytes]:
        """Encodes the state that the heartbeats of this VM carry.

        Args:
            known: The newest change that this VM has, by prefix.
            now: Monotonic time in seconds.

        Returns:
            The revision of the first prefix, and bytes with the age of the
            newest contact and its hops, a byte each, followed by the revisions
            of the other prefixes, and by the eras of all if one is known.
        """
        eras, (first, *others) = zip(
            *(known[prefix] for prefix in self._prefixes), strict=True
        )
        age_s = max(0.0, now - self.contact_at)
        age = min(
            evidence.MAX_AGE_UNITS, math.ceil(age_s / evidence.AGE_UNIT_S)
        )
        encoded_eras = eras if any(eras) else ()
        return first, b"".join(
            (
                bytes([age, self.hops + 1]),
                *(_encode(revision, REVISION_BYTES) for revision in others),
                *(_encode(era, ERA_BYTES) for era in encoded_eras),
            )
        )

    def merge_state(
        self, first: int, rest: bytes, eras: Mapping[str, int], now: float
    ) -> Told:
        """Merges the state in a heartbeat of a peer; see ``encode_state``.

        A peer in an earlier era has had its contact with a store that has been
        restored since, or is of an earlier version, which tells no era and
        does not follow a restored store.

        Args:
            first: The revision of the first prefix.
            rest: The encoded rest.
            eras: Eras that this VM knows, by prefix.
            now: Monotonic time in seconds.

        Returns:
            The changes that it tells, by prefix; empty if it is malformed.
        """
        others_end = HEAD_BYTES + REVISION_BYTES * (len(self._prefixes) - 1)
        eras_end = others_end + ERA_BYTES * len(self._prefixes)
        if len(rest) not in (others_end, eras_end):
            return {}
        revisions = (
            first,
            *_decode(rest[HEAD_BYTES:others_end], REVISION_BYTES),
        )
        told_eras = _decode(rest[others_end:], ERA_BYTES) or [0] * len(
            self._prefixes
        )
        told = dict(
            zip(
                self._prefixes,
                zip(told_eras, revisions, strict=True),
                strict=True,
            )
        )
        age, hops = rest[:HEAD_BYTES]
        is_current = all(told[prefix][0] >= era for prefix, era in eras.items())
        if is_current and age < evidence.MAX_AGE_UNITS:
            self.record_contact(now - age * evidence.AGE_UNIT_S, hops)
        return told

    def _elect(
        self, all_members: tuple[membership.Record, ...]
    ) -> tuple[bool, int]:
        """Returns whether this VM is elected, and the size of its zone."""
        zone = all_members[0].zone
        # A suspect may be frozen; if it is not, more VMs watch for a while.
        vms = [
            m
            for m in all_members
            if m.zone == zone
            and not m.is_leaving
            and m.state is not membership.State.SUSPECT
        ]
        if len(vms) <= SMALL_ZONE_VMS:
            return True, len(vms)
        ranked = sorted(
            (m.incarnation for m in vms),
            key=lambda name: stages.rendezvous(name, ELECTION_KEY),
        )
        return self._own_incarnation in ranked[:WATCHERS_PER_ZONE], len(vms)


def _encode(number: int, size: int) -> bytes:
    return number.to_bytes(size, "big")


def _decode(data: bytes, size: int) -> list[int]:
    """Returns the numbers that ``_encode`` encoded, in order."""
    return [
        int.from_bytes(data[at : at + size], "big")
        for at in range(0, len(data), size)
    ]


def contact_limit_s(
    zone_size: int, watch_wait_s: float = WATCH_WAIT_S
) -> float:
    """Returns the age of a contact above which every VM watches the store."""
    hops = membership.zone_hops(zone_size)
    return watch_wait_s + table.HOP_S * hops + CONTACT_MARGIN_S


def new_watcher_election(
    own_incarnation: str,
    prefixes: Iterable[str],
    now: float,
    watch_wait_s: float = WATCH_WAIT_S,
) -> WatcherElection:
    """Returns the election of a VM that has no state of its peers yet.

    Args:
        own_incarnation: Incarnation of this process.
        prefixes: Watched key prefixes, in the same order on all VMs.
        now: Monotonic time in seconds.
        watch_wait_s: Time for which a watch waits for changes.
    """
    return WatcherElection(own_incarnation, prefixes, now, watch_wait_s)
