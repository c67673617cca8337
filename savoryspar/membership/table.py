"""Table of all members' records and the evidence that they are live."""

from collections.abc import Iterable, Mapping
import itertools

from savoryspar.membership import model, topology

SUSPECT_AFTER_S = 1.6
DEAD_AFTER_S = 0.7
LAG_FACTOR = 4.0
MAX_EVIDENCE_AGE_S = 2.5
"""Maximum age of direct evidence."""

HOP_S = 1.2
"""Age that each further hop adds to evidence: one heartbeat."""

ZONE_HOP_S = 2.2
SUSPICION_INTERVAL_S = 5.0
TOMBSTONE_S = 120.0


class MemberTable:
    """The members known to this process, with their evidence.

    Attributes:
        own: Incarnation of this process.
        zone: Availability zone of this process.
        records: Records by incarnation, including that of this process.
        contact_at: Send time of the newest frame that each member is known
            to have received, by incarnation.
        generation: Incremented with each change of the records.
    """

    __slots__ = (
        "_ended_at",
        "_last_heard_at",
        "_suspected_at",
        "_zone_digests",
        "_zone_last_heard_at",
        "_zone_members",
        "contact_at",
        "generation",
        "own",
        "records",
        "zone",
    )

    def __init__(self, own: model.Record, now: float):
        self.own = own.incarnation
        self.zone = own.zone
        self.records: dict[str, model.Record] = {own.incarnation: own}
        self.generation = 1
        self.contact_at: dict[str, float] = {}
        self._last_heard_at: dict[str, float] = {own.incarnation: now}
        self._zone_last_heard_at: dict[str, float] = {}
        self._suspected_at: dict[str, float] = {}
        self._ended_at: dict[str, float] = {}
        self._zone_digests: dict[str, int] | None = None
        self._zone_members: dict[str, list[str]] | None = None

    @property
    def own_record(self) -> model.Record:
        """The record of this process."""
        return self.records[self.own]

    def merge(
        self, records: Iterable[model.Record], now: float
    ) -> list[model.Record]:
        """Merges records of peers and returns the records that changed."""
        return [
            changed
            for record in records
            for changed in [self._merge_one(record, now)]
            if changed is not None
        ]

    def _merge_one(
        self, record: model.Record, now: float
    ) -> model.Record | None:
        known = self.records.get(record.incarnation)
        if known and record.precedence() <= known.precedence():
            return None
        if record.incarnation == self.own:
            # Only this process can confirm that it is live, so it refutes the
            # record with a higher version.
            record = known.changed(version=record.version + 1)
        if known is None and not record.is_live():
            self._ended_at[record.incarnation] = now
        self._store(record, now)
        return record

    def _store(self, record: model.Record, now: float) -> None:
        incarnation = record.incarnation
        known = self.records.get(incarnation)
        if known is None or not known.is_live():
            # The timeouts of a new or returned member start now.
            self._last_heard_at[incarnation] = now
            self._zone_last_heard_at.setdefault(record.zone, now)
        if record.state == model.State.SUSPECT:
            self._suspected_at[incarnation] = now
        if not record.is_live():
            self._ended_at[incarnation] = now
        self.records[incarnation] = record
        self.generation += 1
        self._zone_digests = None
        self._zone_members = None

    def announce_leaving(self, now: float) -> model.Record:
        """Marks this process as draining and returns its record."""
        self._store(self.own_record.changed(is_leaving=True), now)
        return self.own_record

    def announce_left(self, now: float) -> model.Record:
        """Marks this process as left and returns its record."""
        self._store(self.own_record.changed(state=model.State.LEFT), now)
        return self.own_record

    def record_received(self, incarnation: str, now: float) -> None:
        """Records that a frame of the member itself was received."""
        self._last_heard_at[incarnation] = now
        record = self.records.get(incarnation)
        if record and record.zone != self.zone:
            self._zone_last_heard_at[record.zone] = now

    def record_contact(self, incarnation: str, at: float) -> None:
        """Records that the member received a frame that was sent at ``at``."""
        if at > self.contact_at.get(incarnation, float("-inf")):
            self.contact_at[incarnation] = at

    def record_zone_evidence(self, zone: str, at: float) -> None:
        """Records indirect evidence of another zone."""
        if at > self._zone_last_heard_at.get(zone, float("-inf")):
            self._zone_last_heard_at[zone] = at

    def restart_timeouts(self, now: float) -> None:
        """Restarts the timeouts of all members, after a pause of this process.

        Otherwise a process that resumes would declare its peers dead.
        """
        for incarnation, record in self.records.items():
            if record.is_live():
                self._last_heard_at[incarnation] = now
        for zone in self._zone_last_heard_at:
            self._zone_last_heard_at[zone] = now
        for incarnation in self._suspected_at:
            self._suspected_at[incarnation] = now

    def last_heard_at(self, incarnation: str) -> float:
        """Returns the time of the newest evidence of the member."""
        return max(
            self._last_heard_at.get(incarnation, float("-inf")),
            self.contact_at.get(incarnation, float("-inf")),
        )

    def zone_last_heard_at(self, zone: str) -> float:
        """Returns the time of the newest evidence of the zone."""
        return self._zone_last_heard_at.get(zone, float("-inf"))

    def evidence_limit_s(self) -> float:
        """Returns the age at which evidence of a zone member is stale."""
        size = len(self.members_by_zone()[self.zone])
        return MAX_EVIDENCE_AGE_S + HOP_S * topology.zone_hops(size)

    def zone_limit_s(self) -> float:
        """Returns the age of evidence at which another zone is unreachable."""
        hops = topology.slow_zone_hops(len(self.members_by_zone()))
        return self.evidence_limit_s() + ZONE_HOP_S * hops

    def suspect(
        self, incarnations: Iterable[str], now: float
    ) -> list[model.Record]:
        """Marks members of the zone as suspect and returns the changed records.

        Members of other zones, and those suspected less than
        ``SUSPICION_INTERVAL_S`` ago, are skipped.
        """
        changed = []
        for incarnation in incarnations:
            record = self.records.get(incarnation)
            if record is None or record.zone != self.zone:
                continue
            last = self._suspected_at.get(incarnation, float("-inf"))
            if (
                record.state == model.State.ALIVE
                and now - last >= SUSPICION_INTERVAL_S
            ):
                self._store(record.changed(state=model.State.SUSPECT), now)
                changed.append(self.records[incarnation])
        return changed

    def silent(
        self,
        incarnations: Iterable[str],
        refused_at: Mapping[str, float],
        lag_s: float,
        now: float,
    ) -> list[str]:
        """Returns the neighbours that are silent or refuse connections.

        Args:
            incarnations: The neighbours.
            refused_at: When a peer address last refused a connection, which
                shows that no process listens there any more.
            lag_s: Recent delay of this process, which extends the timeout,
                because frames that it has not read yet may be evidence.
            now: Monotonic time in seconds.
        """
        return [
            incarnation
            for incarnation in incarnations
            for last_heard_at in [self.last_heard_at(incarnation)]
            for address in [self.records[incarnation].address]
            if now - last_heard_at > SUSPECT_AFTER_S + LAG_FACTOR * lag_s
            or refused_at.get(address, float("-inf")) > last_heard_at
        ]

    def stale(self, now: float) -> list[str]:
        """Returns the zone's members without recent evidence from any peer."""
        limit_s = self.evidence_limit_s() + MAX_EVIDENCE_AGE_S
        return [
            incarnation
            for incarnation in self.members_by_zone()[self.zone]
            if incarnation != self.own
            and now - self.last_heard_at(incarnation) > limit_s
        ]

    def expire(self, lag_s: float, now: float) -> list[model.Record]:
        """Marks members as dead whose suspicion was not refuted in time."""
        changed = []
        for incarnation, at in list(self._suspected_at.items()):
            record = self.records.get(incarnation)
            if record is None or not record.is_live():
                del self._suspected_at[incarnation]
            elif (
                record.state == model.State.SUSPECT
                and record.zone == self.zone
                and now - at > DEAD_AFTER_S + LAG_FACTOR * lag_s
            ):
                self._store(record.changed(state=model.State.DEAD), now)
                changed.append(self.records[incarnation])
        return changed

    def purge(self, now: float, peer_addresses: Iterable[str]) -> None:
        """Removes expired records of members that died or left.

        Args:
            now: Monotonic time in seconds.
            peer_addresses: Peer addresses of the VM list; a dead member that it
                still names is kept, because it may be live behind a partition.
        """
        addresses = set(peer_addresses)
        for incarnation, at in list(self._ended_at.items()):
            record = self.records.get(incarnation)
            if record is None or record.is_live():
                del self._ended_at[incarnation]
            elif now - at > TOMBSTONE_S and (
                record.state == model.State.LEFT
                or record.address not in addresses
            ):
                del self._ended_at[incarnation]
                del self.records[incarnation]
                self._last_heard_at.pop(incarnation, None)
                self.contact_at.pop(incarnation, None)

    def members_by_zone(self) -> Mapping[str, list[str]]:
        """Returns the sorted incarnations of this process and live members.

        They are grouped by zone, with the zones in sorted order.
        """
        if self._zone_members is None:
            zones: dict[str, list[str]] = {}
            for record in self.records.values():
                if record.is_live() or record.incarnation == self.own:
                    zones.setdefault(record.zone, []).append(record.incarnation)
            self._zone_members = {
                zone: sorted(zones[zone]) for zone in sorted(zones)
            }
        return self._zone_members

    def quorum_members(self) -> list[str]:
        """Returns the zone's members on which a majority is based.

        A dead member counts until its record is purged, so that the smaller
        side of a partition never has a majority. A restarted process replaces
        the dead one that had its address.
        """
        records = [r for r in self.records.values() if r.zone == self.zone]
        live = {record.address for record in records if record.is_live()}
        return [
            record.incarnation
            for record in records
            if record.is_live()
            or (record.state == model.State.DEAD and record.address not in live)
        ]

    def zone_digests(self) -> Mapping[str, int]:
        """Returns a digest of the live members of each zone."""
        if self._zone_digests is None:
            digests: dict[str, int] = {}
            for record in self.records.values():
                if record.is_live():
                    total = digests.get(record.zone, 0) + record.digest()
                    digests[record.zone] = total % 2**64
            self._zone_digests = digests
        return self._zone_digests

    def view_digest(self) -> int:
        """Returns a digest of all live members."""
        return sum(self.zone_digests().values()) % 2**64

    def records_of(self, zones: Iterable[str]) -> list[model.Record]:
        """Returns all records of the zones, including dead and left members."""
        requested = set(zones)
        return [r for r in self.records.values() if r.zone in requested]

    def live_peers(self) -> list[model.Record]:
        """Returns the records of live members other than this process."""
        return [
            self.records[incarnation]
            for incarnation in itertools.chain.from_iterable(
                self.members_by_zone().values()
            )
            if incarnation != self.own
        ]
