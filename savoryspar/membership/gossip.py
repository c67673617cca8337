"""Propagation of records, broadcasts and sheet deltas between peers."""

from collections.abc import Collection, Iterable
from typing import Any

import eventlet

from savoryspar import log
from savoryspar.membership import connector, links, model, table

BATCH_PER_MEMBER_S = 0.001
MAX_BATCH_S = 0.05
"""Longest time for which changed records are batched into one frame per link.

Without batches, every changed record costs one frame on each link, and a
starting fleet spends its time encoding and sending frames.
"""


class Gossip:
    """Sends frames and changed records on all open links."""

    __slots__ = ("_connector", "_is_scheduled", "_logger", "_records")

    def __init__(
        self, records: table.MemberTable, own_links: connector.Connector
    ):
        self._records = records
        self._connector = own_links
        self._is_scheduled = False
        self._logger = log.new_logger("membership")

    def flood(
        self,
        kind: str,
        body: Any,
        source: links.Link | None,
        targets: Collection[str] | None = None,
    ) -> None:
        """Sends a frame on open links except its source.

        Args:
            kind: Type of the frame.
            body: Body of the frame.
            source: Link that it arrived on, None for a new one.
            targets: Peers that it is sent to, all that are linked when None.
        """
        for incarnation, link in list(self._connector.links.items()):
            is_target = targets is None or incarnation in targets
            if is_target and link is not source and not link.is_closed:
                link.post(kind, body)

    def propagate(
        self, changed: Iterable[model.Record], source: links.Link | None
    ) -> None:
        """Batches changed records for all links except their source."""
        updates = {record.incarnation: record for record in changed}
        if not updates:
            return
        for link in self._connector.links.values():
            if link is not source:
                link.unsent.update(updates)
        if not self._is_scheduled:
            self._is_scheduled = True
            size = len(self._records.records)
            batch_s = min(MAX_BATCH_S, size * BATCH_PER_MEMBER_S)
            eventlet.spawn_after(batch_s, self._send_batches)

    def _send_batches(self) -> None:
        self._is_scheduled = False
        for link in list(self._connector.links.values()):
            bodies = [record.to_body() for record in link.unsent.values()]
            link.unsent.clear()
            if bodies and not link.is_closed:
                link.post("members", [1, bodies])

    def merge(
        self,
        records: Iterable[model.Record],
        source: links.Link | None,
        now: float,
    ) -> None:
        """Merges records of a peer and propagates those that changed."""
        records = list(records)
        if source:
            source.discard_unsent(records)
        known = set(self._records.records)
        changed = self._records.merge(records, now)
        for record in changed:
            if record.incarnation not in known or not record.is_live():
                self._logger.info(
                    f"Member {record.state.name.lower()}. name={record.name}"
                    f" zone={record.zone} incarnation={record.incarnation}"
                )
        own = self._records.own
        self.propagate([r for r in changed if r.incarnation != own], source)
        self.propagate([r for r in changed if r.incarnation == own], None)

    def answer_digests(self, link: links.Link, digests: dict[str, int]) -> None:
        """Sends the records of all zones whose digest differs at the peer."""
        own = self._records.zone_digests()
        differing = [
            zone
            for zone in {*own, *digests}
            if own.get(zone) != digests.get(zone)
        ]
        if differing:
            records = self._records.records_of(differing)
            link.post("members", [1, [r.to_body() for r in records]])

    def send_digests(self, link: links.Link) -> None:
        """Sends the digests of all zones; the peer replies with its records."""
        link.post("members", [0, dict(self._records.zone_digests())])
