"""Encoding, decoding and processing of heartbeats."""

from collections.abc import Callable
from typing import Any

from savoryspar.membership import evidence, facts, links, table, topology

MIN_INTERVAL_S = 0.5
INTERVAL_PER_LINK_S = 0.25
REMOTE_INTERVAL_S = 2.0
MAX_ECHO_AGE_S = 3.0
MISMATCH_LIMIT = 3
DIGEST_BYTES = 8

SheetState = Callable[[], tuple[int, bytes]]
"""Returns the sheet revision in force and a prefix of its digest."""


class Heartbeat:
    """A decoded heartbeat, its attributes in the order of the body.

    Attributes:
        echo: Sequence number of the newest frame received from this process.
        view: Digest of the sender's view.
        revision, digest: Sheet revision in force and a prefix of its digest.
        order_checksum: Checksum of the order of ``ages``.
        ages: Ages of the sender's evidence, one byte each.
        facts: Facts of the zone's members.
    """

    __slots__ = (
        "ages",
        "digest",
        "echo",
        "facts",
        "order_checksum",
        "revision",
        "view",
    )

    def __init__(
        self,
        echo: int,
        view: bytes,
        revision: int,
        digest: bytes,
        order_checksum: int,
        ages: bytes,
        items: list[list],
    ):
        self.echo = echo
        self.view = view
        self.revision = revision
        self.digest = digest
        self.order_checksum = order_checksum
        self.ages = ages
        self.facts = items


def decode(body: Any) -> Heartbeat:
    """Decodes a heartbeat; raises ``ValueError`` if the body is invalid."""
    types = (int, bytes, int, bytes, int, bytes, list)
    fact_types = (str, int, int, int, dict)
    if not isinstance(body, list) or not _has_types(body, types):
        raise ValueError(
            f"the items of a heartbeat must have the types {types}"
        )
    if not all(_has_types(item, fact_types) for item in body[6]):
        raise ValueError(
            f"the items of a fact must have the types {fact_types}"
        )
    return Heartbeat(*body)


def _has_types(items: list, types: tuple[type, ...]) -> bool:
    return len(items) == len(types) and all(map(isinstance, items, types))


class Heartbeats:
    """Renders outgoing heartbeats and applies received ones.

    Attributes:
        sheet_state: Returns the sheet state to send; replaced by the component
            that distributes the configuration.
        on_sheet_state: Called with the incarnation of a peer, and the
            revision and digest prefix that it has in force.
    """

    __slots__ = (
        "_facts",
        "_max_interval_s",
        "_records",
        "_relay_cache",
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
        self._relay_cache = (0, False)
        self.sheet_state: SheetState = lambda: (0, b"")
        self.on_sheet_state: Callable[[str, int, bytes], None] = (
            lambda incarnation, revision, digest: None
        )

    def interval_s(self) -> float:
        """Returns the time between heartbeats inside the zone.

        It grows with the size of the zone, so a small zone detects faults and
        shares facts sooner at the same traffic.
        """
        size = self._zone_size()
        scaled_s = (size - 1) * INTERVAL_PER_LINK_S
        return min(self._max_interval_s, max(MIN_INTERVAL_S, scaled_s))

    def link_interval_s(self, link: links.Link) -> float:
        """Returns the time between heartbeats on a link."""
        zones = len(self._records.members_by_zone())
        if link.peer.zone == self._records.zone:
            return self.interval_s()
        if zones <= topology.MAX_FAST_ZONES:
            return self._max_interval_s
        return max(self._max_interval_s, REMOTE_INTERVAL_S)

    def render(self, link: links.Link, now: float) -> list:
        """Returns the body of a heartbeat for a link."""
        revision, digest = self.sheet_state()
        order_checksum, ages = evidence.render_ages(
            self._records, link.peer.zone, now
        )
        items: list[list] = []
        if link.peer.zone == self._records.zone:
            self._facts.renew(
                self._zone_size(), self.interval_s(), revision, now
            )
            items = self._facts.collect_unsent(
                link.facts_sent, self._is_ring_relay(), now
            )
        view = self._records.view_digest().to_bytes(DIGEST_BYTES, "big")
        return [link.echo, view, revision, digest, order_checksum, ages, items]

    def apply(self, link: links.Link, heartbeat: Heartbeat, now: float) -> bool:
        """Applies a heartbeat received on a link.

        Returns:
            Whether the views differed in ``MISMATCH_LIMIT`` consecutive
            heartbeats.
        """
        peer = link.peer
        sent_at = link.record_echo(heartbeat.echo)
        if now - sent_at <= MAX_ECHO_AGE_S:
            self._records.record_contact(peer.incarnation, sent_at)
            evidence.apply_ages(
                self._records,
                peer.zone,
                heartbeat.order_checksum,
                heartbeat.ages,
                now,
            )
        if peer.zone == self._records.zone:
            self._facts.apply(
                heartbeat.facts, link.facts_sent, self._is_member, now
            )
        self.on_sheet_state(
            peer.incarnation, heartbeat.revision, heartbeat.digest
        )
        own = self._records.view_digest().to_bytes(DIGEST_BYTES, "big")
        link.mismatches = link.mismatches + 1 if heartbeat.view != own else 0
        if link.mismatches < MISMATCH_LIMIT:
            return False
        link.mismatches = 0
        return True

    def fact_age_limit_s(self) -> float:
        """Returns the maximum age of a fresh fact of the zone."""
        size = self._zone_size()
        interval_s = self.interval_s()
        hops = topology.zone_hops(size) + 1
        renewal_s = self._facts.interval_s(size, interval_s)
        return 2 * renewal_s + hops * interval_s + table.MAX_EVIDENCE_AGE_S

    def _is_ring_relay(self) -> bool:
        """Returns whether this process is a relay in a zone with a ring.

        Such a relay, which has the most links, does not forward the facts of
        other members: a ring with four links per member stays connected
        without its two relays.
        """
        generation, is_relay = self._relay_cache
        if generation != self._records.generation:
            zone = self._records.zone
            members = self._records.members_by_zone()[zone]
            is_relay = len(
                members
            ) > topology.MESH_LIMIT and self._records.own in topology.relays(
                zone, members
            )
            self._relay_cache = (self._records.generation, is_relay)
        return is_relay

    def _zone_size(self) -> int:
        return len(self._records.members_by_zone()[self._records.zone])

    def _is_member(self, incarnation: str) -> bool:
        record = self._records.records.get(incarnation)
        return record is not None and record.is_live()
