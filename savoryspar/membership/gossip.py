"""Spreads records, facts and deltas from link to link."""

from collections.abc import Iterable
from typing import Any

import eventlet

from savoryspar import log
from savoryspar.membership import connector, links, model, table

BATCH_PER_MEMBER_S = 0.001
MAX_BATCH_S = 0.05
"""Longest time in which changed records are gathered for one frame a link.

Without it, a change of many members costs a frame for each of them on every
link, and a fleet that starts spends its time on frames.
"""


class Gossip:
    """Floods frames on all open links."""

    __slots__ = ("_connector", "_is_scheduled", "_logger", "_records")

    def __init__(
        self, records: table.MemberTable, own_links: connector.Connector
    ):
        self._records = records
        self._connector = own_links
        self._is_scheduled = False
        self._logger = log.new_logger("membership")

    def flood(self, kind: str, body: Any, source: links.Link | None) -> None:
        """Sends a frame on all links but the one that it came from."""
        for link in list(self._connector.links.values()):
            if link is not source and not link.is_closed:
                link.post(kind, body)

    def spread(
        self, changed: Iterable[model.Record], source: links.Link | None
    ) -> None:
        """Sends changed records on all links but the one they came from."""
        found = {record.incarnation: record for record in changed}
        if not found:
            return
        for link in self._connector.links.values():
            if link is not source:
                link.unsent.update(found)
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
        """Takes records of a peer and spreads what they changed."""
        records = list(records)
        if source:
            source.forget_unsent(records)
        known = set(self._records.records)
        changed = self._records.merge(records, now)
        for record in changed:
            if record.incarnation not in known or not record.is_counted():
                self._logger.info(
                    f"Member {record.state.name.lower()}. name={record.name}"
                    f" zone={record.zone} incarnation={record.incarnation}"
                )
        own = self._records.own
        self.spread([r for r in changed if r.incarnation != own], source)
        self.spread([r for r in changed if r.incarnation == own], None)

    def answer_digests(self, link: links.Link, digests: dict[str, int]) -> None:
        """Sends the records of the zones of which the peer differs."""
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
        """Sends the digests of all zones, for the peer to answer."""
        link.post("members", [0, dict(self._records.zone_digests())])
