"""The records of all members and the evidence that they live."""

from collections.abc import Iterable, Mapping
import itertools

from savoryspar.membership import model, topology

SUSPECT_AFTER_S = 1.6
DEAD_AFTER_S = 0.7
LAG_FACTOR = 4.0
EVIDENCE_S = 2.5
"""Age at which direct evidence no longer counts."""

HOP_S = 1.2
"""Time that one more hop adds to the age of evidence: one heartbeat."""

ZONE_HOP_S = 2.2
SUSPICION_PAUSE_S = 5.0
TOMBSTONE_S = 120.0


class MemberTable:
    """What this process knows of all members.

    Attributes:
        own: Incarnation of this process.
        zone: Its availability zone.
        records: By incarnation, this process among them.
        generation: Rises with each change of the records.
    """

    __slots__ = (
        "_ended_at",
        "_heard_at",
        "_suspected_at",
        "_zone_digests",
        "_zone_heard_at",
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
        self._heard_at: dict[str, float] = {own.incarnation: now}
        self._zone_heard_at: dict[str, float] = {}
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
        """Takes records of peers and returns those that changed something."""
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
            # Only this process knows whether it lives, so it refutes.
            record = known.changed(version=record.version + 1)
        if known is None and not record.is_counted():
            self._ended_at[record.incarnation] = now
        self._put(record, now)
        return record

    def _put(self, record: model.Record, now: float) -> None:
        incarnation = record.incarnation
        known = self.records.get(incarnation)
        if known is None or not known.is_counted():
            # A member that was just learnt of is given time to be heard.
            self._heard_at[incarnation] = now
            self._zone_heard_at.setdefault(record.zone, now)
        if record.state == model.State.SUSPECT:
            self._suspected_at[incarnation] = now
        if not record.is_counted():
            self._ended_at[incarnation] = now
        self.records[incarnation] = record
        self.generation += 1
        self._zone_digests = None
        self._zone_members = None

    def announce_leaving(self, now: float) -> model.Record:
        """Marks the own process as draining and returns its record."""
        self._put(self.own_record.changed(is_leaving=True), now)
        return self.own_record

    def announce_left(self, now: float) -> model.Record:
        """Marks the own process as gone and returns its record."""
        self._put(self.own_record.changed(state=model.State.LEFT), now)
        return self.own_record

    def note_heard(self, incarnation: str, now: float) -> None:
        """Records a frame from the member itself."""
        self._heard_at[incarnation] = now
        record = self.records.get(incarnation)
        if record and record.zone != self.zone:
            self._zone_heard_at[record.zone] = now

    def record_contact(self, incarnation: str, at: float) -> None:
        """Records that the member received what was sent to it at ``at``."""
        if at > self.contact_at.get(incarnation, float("-inf")):
            self.contact_at[incarnation] = at

    def note_zone(self, zone: str, at: float) -> None:
        """Records indirect evidence of another zone."""
        if at > self._zone_heard_at.get(zone, float("-inf")):
            self._zone_heard_at[zone] = at

    def forgive(self, now: float) -> None:
        """Gives every member time to be heard, after a pause of this process.

        Without it, a process that resumes would declare its peers dead.
        """
        for incarnation, record in self.records.items():
            if record.is_counted():
                self._heard_at[incarnation] = now
        for zone in self._zone_heard_at:
            self._zone_heard_at[zone] = now
        for incarnation in self._suspected_at:
            self._suspected_at[incarnation] = now

    def last_heard_at(self, incarnation: str) -> float:
        """Returns the time of the newest evidence of the member."""
        return max(
            self._heard_at.get(incarnation, float("-inf")),
            self.contact_at.get(incarnation, float("-inf")),
        )

    def zone_heard_at(self, zone: str) -> float:
        """Returns the time of the newest evidence of the zone."""
        return self._zone_heard_at.get(zone, float("-inf"))

    def evidence_limit_s(self) -> float:
        """Returns the age at which evidence of a zone's member is stale."""
        size = len(self.members_by_zone()[self.zone])
        return EVIDENCE_S + HOP_S * topology.zone_hops(size)

    def zone_limit_s(self) -> float:
        """Returns the age at which another zone counts as unreachable."""
        hops = topology.slow_hops(len(self.members_by_zone()))
        return self.evidence_limit_s() + ZONE_HOP_S * hops

    def suspect(
        self, incarnations: Iterable[str], now: float
    ) -> list[model.Record]:
        """Suspects members of the zone and returns the changed records."""
        changed = []
        for incarnation in incarnations:
            record = self.records.get(incarnation)
            if record is None or record.zone != self.zone:
                continue
            last = self._suspected_at.get(incarnation, float("-inf"))
            if (
                record.state == model.State.ALIVE
                and now - last >= SUSPICION_PAUSE_S
            ):
                self._put(record.changed(state=model.State.SUSPECT), now)
                changed.append(self.records[incarnation])
        return changed

    def silent(
        self,
        incarnations: Iterable[str],
        refused_at: Mapping[str, float],
        lag_s: float,
        now: float,
    ) -> list[str]:
        """Returns those of the neighbours that seem to be dead.

        Args:
            incarnations: The neighbours.
            refused_at: When a peer address last refused a connection; no
                process listens there any more.
            lag_s: How late this process runs; a busy process waits longer,
                because what it has not read yet may be evidence.
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
        """Returns the zone's members without evidence from anybody."""
        limit_s = self.evidence_limit_s() + EVIDENCE_S
        return [
            incarnation
            for incarnation in self.members_by_zone()[self.zone]
            if incarnation != self.own
            and now - self.last_heard_at(incarnation) > limit_s
        ]

    def expire(self, lag_s: float, now: float) -> list[model.Record]:
        """Declares members dead whose suspicion was not refuted in time."""
        changed = []
        for incarnation, at in list(self._suspected_at.items()):
            record = self.records.get(incarnation)
            if record is None or not record.is_counted():
                del self._suspected_at[incarnation]
            elif (
                record.state == model.State.SUSPECT
                and record.zone == self.zone
                and now - at > DEAD_AFTER_S + LAG_FACTOR * lag_s
            ):
                self._put(record.changed(state=model.State.DEAD), now)
                changed.append(self.records[incarnation])
        return changed

    def forget(self, now: float, listed: Iterable[str]) -> None:
        """Drops old records of members that are gone.

        Args:
            now: Monotonic time in seconds.
            listed: Peer addresses of the VM list; a member that it still
                names stays known, because it may live behind a partition.
        """
        addresses = set(listed)
        for incarnation, at in list(self._ended_at.items()):
            record = self.records.get(incarnation)
            if record is None or record.is_counted():
                del self._ended_at[incarnation]
            elif now - at > TOMBSTONE_S and (
                record.state == model.State.LEFT
                or record.address not in addresses
            ):
                del self._ended_at[incarnation]
                del self.records[incarnation]
                self._heard_at.pop(incarnation, None)
                self.contact_at.pop(incarnation, None)

    def members_by_zone(self) -> Mapping[str, list[str]]:
        """Returns the sorted incarnations of counted members by zone."""
        if self._zone_members is None:
            zones: dict[str, list[str]] = {}
            for record in self.records.values():
                if record.is_counted() or record.incarnation == self.own:
                    zones.setdefault(record.zone, []).append(record.incarnation)
            self._zone_members = {
                zone: sorted(zones[zone]) for zone in sorted(zones)
            }
        return self._zone_members

    def known_in_zone(self) -> list[str]:
        """Returns the zone's members that count for a majority.

        A member that is believed dead counts until it is forgotten, so that
        the smaller side of a partition never has a majority. A restarted
        process replaces the dead one with its address.
        """
        records = [r for r in self.records.values() if r.zone == self.zone]
        live = {record.address for record in records if record.is_counted()}
        return [
            record.incarnation
            for record in records
            if record.is_counted()
            or (record.state == model.State.DEAD and record.address not in live)
        ]

    def zone_digests(self) -> Mapping[str, int]:
        """Returns a digest of the counted members of each zone."""
        if self._zone_digests is None:
            digests: dict[str, int] = {}
            for record in self.records.values():
                if record.is_counted():
                    total = digests.get(record.zone, 0) + record.digest()
                    digests[record.zone] = total % 2**64
            self._zone_digests = digests
        return self._zone_digests

    def view_digest(self) -> int:
        """Returns a digest of all counted members."""
        return sum(self.zone_digests().values()) % 2**64

    def records_of(self, zones: Iterable[str]) -> list[model.Record]:
        """Returns all records of the zones, those of gone members too."""
        wanted = set(zones)
        return [r for r in self.records.values() if r.zone in wanted]

    def counted(self) -> list[model.Record]:
        """Returns the records of counted members without the own one."""
        return [
            self.records[incarnation]
            for incarnation in itertools.chain.from_iterable(
                self.members_by_zone().values()
            )
            if incarnation != self.own
        ]
