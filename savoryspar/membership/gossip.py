"""Spreads records, facts and deltas from link to link."""

from collections.abc import Iterable
from typing import Any

from savoryspar import log
from savoryspar.membership import connector, links, model, table


class Gossip:
    """Floods frames on all open links."""

    __slots__ = ("_connector", "_logger", "_records")

    def __init__(
        self, records: table.MemberTable, own_links: connector.Connector
    ):
        self._records = records
        self._connector = own_links
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
        bodies = [record.to_body() for record in changed]
        if bodies:
            self.flood("members", [1, bodies], source)

    def merge(
        self,
        records: Iterable[model.Record],
        source: links.Link | None,
        now: float,
    ) -> None:
        """Takes records of a peer and spreads what they changed."""
        changed = self._records.merge(records, now)
        for record in changed:
            self._logger.info(
                f"Member changed. name={record.name} zone={record.zone}"
                f" incarnation={record.incarnation}"
                f" state={record.state.name.lower()}"
                f" version={record.version} leaving={record.is_leaving}"
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
