"""What a heartbeat carries, and what receiving one changes."""

from collections.abc import Callable
from typing import Any

from savoryspar.membership import evidence, facts, links, table, topology

MIN_INTERVAL_S = 0.5
INTERVAL_PER_LINK_S = 0.25
REMOTE_INTERVAL_S = 2.0
TWO_WAY_S = 3.0
MISMATCH_LIMIT = 3
DIGEST_BYTES = 8

SheetState = Callable[[], tuple[int, bytes]]
"""Returns the revision in force and the start of its digest."""


class Beat:
    """A decoded heartbeat; the attributes are in the order of the body."""

    __slots__ = ("ages", "digest", "echo", "facts", "key", "revision", "view")

    def __init__(
        self,
        echo: int,
        view: bytes,
        revision: int,
        digest: bytes,
        key: int,
        ages: bytes,
        items: list[list],
    ):
        self.echo = echo
        self.view = view
        self.revision = revision
        self.digest = digest
        self.key = key
        self.ages = ages
        self.facts = items


def decode(body: Any) -> Beat:
    """Decodes a heartbeat; raises ``ValueError`` when it is not one."""
    types = (int, bytes, int, bytes, int, bytes, list)
    fact_types = (str, int, int, int, dict)
    if not isinstance(body, list) or not _fits(body, types):
        raise ValueError(f"a heartbeat has the types {types}")
    if not all(_fits(item, fact_types) for item in body[6]):
        raise ValueError(f"a fact has the types {fact_types}")
    return Beat(*body)


def _fits(items: list, types: tuple[type, ...]) -> bool:
    return len(items) == len(types) and all(map(isinstance, items, types))


class Heartbeats:
    """Renders and takes heartbeats.

    Attributes:
        sheet_state: Set by the part that spreads the configuration.
        on_sheet_state: Called with the incarnation, revision and digest that
            a peer has in force.
    """

    __slots__ = (
        "_facts",
        "_max_interval_s",
        "_records",
        "_relay",
        "on_sheet_state",
        "sheet_state",
    )

    def __init__(
        self,
        records: table.MemberTable,
        store: facts.FactStore,
        max_interval_s: float,
    ):
        self._records = records
        self._facts = store
        self._max_interval_s = max_interval_s
        self._relay = (0, False)
        self.sheet_state: SheetState = lambda: (0, b"")
        self.on_sheet_state: Callable[[str, int, bytes], None] = (
            lambda incarnation, revision, digest: None
        )

    def interval_s(self) -> float:
        """Returns the time between heartbeats inside the zone.

        It grows with the number of links, so a small zone notices faults and
        shares facts sooner at the same traffic.
        """
        size = self._zone_size()
        few = (size - 1) * INTERVAL_PER_LINK_S
        return min(self._max_interval_s, max(MIN_INTERVAL_S, few))

    def link_interval_s(self, link: links.Link) -> float:
        """Returns the time between heartbeats on a link."""
        zones = len(self._records.members_by_zone())
        if link.peer.zone == self._records.zone:
            return self.interval_s()
        if zones <= topology.FEW_ZONES:
            return self._max_interval_s
        return max(self._max_interval_s, REMOTE_INTERVAL_S)

    def render(self, link: links.Link, now: float) -> list:
        """Returns the body of a heartbeat for a link."""
        revision, digest = self.sheet_state()
        key, ages = evidence.render_ages(self._records, link.peer.zone, now)
        items: list[list] = []
        if link.peer.zone == self._records.zone:
            self._facts.renew(
                self._zone_size(), self.interval_s(), revision, now
            )
            items = self._facts.newer_than(
                link.facts_sent, self._is_relay_of_ring(), now
            )
        view = self._records.view_digest().to_bytes(DIGEST_BYTES, "big")
        return [link.echo, view, revision, digest, key, ages, items]

    def take(self, link: links.Link, beat: Beat, now: float) -> bool:
        """Takes a heartbeat.

        Returns:
            Whether the views have differed for several heartbeats.
        """
        peer = link.peer
        sent_at = link.note_echo(beat.echo)
        if now - sent_at <= TWO_WAY_S:
            self._records.record_contact(peer.incarnation, sent_at)
            evidence.apply_ages(
                self._records, peer.zone, beat.key, beat.ages, now
            )
        if peer.zone == self._records.zone:
            self._facts.take(beat.facts, link.facts_sent, self._is_member, now)
        self.on_sheet_state(peer.incarnation, beat.revision, beat.digest)
        own = self._records.view_digest().to_bytes(DIGEST_BYTES, "big")
        link.mismatches = link.mismatches + 1 if beat.view != own else 0
        if link.mismatches < MISMATCH_LIMIT:
            return False
        link.mismatches = 0
        return True

    def fact_age_limit_s(self) -> float:
        """Returns the age up to which a fact of the zone is fresh."""
        size = self._zone_size()
        interval_s = self.interval_s()
        hops = topology.zone_hops(size) + 1
        renewal_s = self._facts.interval_s(size, interval_s)
        return 2 * renewal_s + hops * interval_s + table.EVIDENCE_S

    def _is_relay_of_ring(self) -> bool:
        """Tells whether others pass the zone's facts on without this process.

        Relays have most links. A ring with four links a member stays connected
        without its two relays.
        """
        generation, is_relay = self._relay
        if generation != self._records.generation:
            zone = self._records.zone
            members = self._records.members_by_zone()[zone]
            is_relay = len(
                members
            ) > topology.MESH_LIMIT and self._records.own in topology.relays(
                zone, members
            )
            self._relay = (self._records.generation, is_relay)
        return is_relay

    def _zone_size(self) -> int:
        return len(self._records.members_by_zone()[self._records.zone])

    def _is_member(self, incarnation: str) -> bool:
        record = self._records.records.get(incarnation)
        return record is not None and record.is_counted()
