"""The registered backend servers.

Entries arrive from the store, directly or through peers, in any order. An entry
may expire during an outage of the store although its server is alive.
Therefore a server whose entry disappears counts as lapsed, and is dropped only
after a grace period.
"""

from collections.abc import Iterable, KeysView, Mapping, Sequence
import math

from savoryspar import log
from savoryspar.fleet import cold, eligibility, evacuations, model

LAPSED_GRACE_S = 1.5
"""Time for which a lapsed server may get requests if its pool has no other.

Entries that expired during an outage of the store are back within about 2 s of
its end. A leaving server may get requests for 2.5 s after its entry is removed.
"""

RESTORED_GRACE_S = 2.0
"""Time in which servers write the entries again that a restored store lost; in
it they get requests as before."""

TOMBSTONE_TTL_S = 120.0
"""Time for which removals are kept, so that outdated entries are ignored."""


HELD_S = 10.0
"""Time after which a removed server that a restored store lists is believed to
run. The entry of one that has ended expires sooner."""


class Removal:
    """The removal of a server's entry.

    Attributes:
        revision: Revision as of which the entry was absent. Entries up to it
            are outdated.
        at: Monotonic time at which it was learned.
        highest_revision: The highest revision in any era of the store.
        started_ms: Start of the server that its entry told; infinity if the
            entry is not known.
        is_listed: Whether a restored store lists the server, so that its copy
            precedes the removal or the server has written its entry again.
    """

    __slots__ = (
        "at",
        "highest_revision",
        "is_listed",
        "revision",
        "started_ms",
    )

    def __init__(self, revision: int, at: float, started_ms: float):
        self.revision = self.highest_revision = revision
        self.at = at
        self.started_ms = started_ms
        self.is_listed = False

    def is_unconfirmed(self, now: float) -> bool:
        """Returns whether the server is listed for too long to be gone."""
        return self.is_listed and now - self.at > HELD_S

    def rebase(
        self, entry: model.BackendEntry | None, revision: int, now: float
    ) -> bool:
        """Takes the removal over into a new era.

        Args:
            entry: The entry that the restored store lists, if any.
            revision: Revision of the new era as of which its list is complete.
            now: Monotonic time in seconds.

        Returns:
            Whether the removal holds; otherwise the entry was written since.
        """
        if entry is not None and (
            entry.revision > self.highest_revision
            or entry.started_ms > self.started_ms
        ):
            return False
        self.is_listed = entry is not None
        self.revision = revision if entry is None else entry.revision
        self.highest_revision = max(self.highest_revision, self.revision)
        self.at = now
        return True


class ServerRegistry:
    """Backend servers by name; construct with ``new_server_registry``.

    Attributes:
        cold: Until when servers are cold.
        evacuations: Zones whose servers may get nothing.
        generation: Number of changes to the servers, and to the evacuated
            zones, since the start.
        zone_regions: Regions by availability zone, from the settings.
    """

    __slots__ = (
        "_entries",
        "_events",
        "_lapsed",
        "_lost",
        "_tombstones",
        "_usable",
        "cold",
        "evacuations",
        "generation",
        "zone_regions",
    )

    def __init__(self, events: log.EventLog, zone_regions: Mapping[str, str]):
        self.zone_regions = zone_regions
        self._events = events
        self.cold = cold.new_cold_table()
        self._entries: dict[str, model.BackendEntry] = {}
        self._lapsed: dict[str, float] = {}
        # Lapsed servers that get requests, as a restored store lost their
        # entries.
        self._lost: set[str] = set()
        self._tombstones: dict[str, Removal] = {}
        # Cache of usable entries by pool, then zone; None after a change. Each
        # request looks them up several times, and a fleet has hundreds.
        self._usable: dict[str, dict[str, list[model.BackendEntry]]] | None
        self._usable = None
        self.generation = 0
        self.evacuations = evacuations.new_evacuations(
            events, self._record_evacuation
        )

    def put(self, entry: model.BackendEntry, source: str, now: float) -> None:
        """Adds or updates an entry unless a newer one or its removal exists."""
        known = self._entries.get(entry.name)
        if known is not None and known.revision >= entry.revision:
            return
        removal = self._tombstones.get(entry.name)
        if removal is not None and removal.revision >= entry.revision:
            return
        self._tombstones.pop(entry.name, None)
        self._clear_lapsed(entry.name)
        self._entries[entry.name] = entry
        self.cold.record_entry(entry, now)
        self._usable = None
        is_same = (
            known is not None
            and known.is_draining == entry.is_draining
            and known.started_ms == entry.started_ms
            and known.address == entry.address
            and known.version == entry.version
        )
        if is_same:
            return
        self.generation += 1
        self._events.state_change(
            "backend server listed",
            now,
            server=entry.name,
            pool=entry.service,
            zone=entry.zone,
            address=entry.address,
            is_draining=entry.is_draining,
            revision=entry.revision,
            source=source,
        )

    def remove(self, name: str, revision: int, source: str, now: float) -> None:
        """Removes an entry as of a revision; its server becomes lapsed."""
        known = self._entries.get(name)
        self._bury(name, revision, now)
        if known is None or known.revision > revision:
            return
        if name not in self._lapsed:
            self._begin_lapse(known, revision, LAPSED_GRACE_S, source, now)

    def replace(
        self,
        entries: Iterable[model.BackendEntry],
        revision: int,
        source: str,
        now: float,
    ) -> list[str]:
        """Replaces the entries by a full list as of a revision of the store.

        Entries that changed after the revision are kept.

        Returns:
            Names of the servers whose entries were removed, and which were
            not known to be.
        """
        names = set()
        for entry in entries:
            names.add(entry.name)
            removal = self._tombstones.get(entry.name)
            if removal is not None and removal.is_unconfirmed(now):
                # The entry has outlasted the lease of a server that is gone.
                del self._tombstones[entry.name]
            self.put(entry, source, now)
        for name, removal in self._tombstones.items():
            if name not in names:
                removal.is_listed = False
        missing = [
            name
            for name, entry in self._entries.items()
            if name not in names and entry.revision <= revision
        ]
        removed = [name for name in missing if name not in self._lapsed]
        for name in missing:
            self.remove(name, revision, source, now)
        self.cold.record_list()
        return removed

    def restore(
        self,
        entries: Iterable[model.BackendEntry],
        revision: int,
        source: str,
        now: float,
    ) -> None:
        """Replaces the entries by the list of a store that lost changes.

        The revisions of the list, and all later ones, are of a new era. Its
        entries are those of the copy that the store was restored from, or were
        written since. What this VM knows holds until an entry is written
        again: a removed server stays removed, a draining one drains, and one
        whose entry was lost keeps its requests for ``RESTORED_GRACE_S``.

        An entry of the copy has a revision that it had before the loss, so it
        is at most that of what is known of the server.

        Args:
            entries: The list.
            revision: Revision of the new era as of which it is complete.
            source: Call that returned it, for the log.
            now: Monotonic time in seconds.
        """
        listed = {entry.name: entry for entry in entries}
        for name in [*self._lost]:
            # This loss precedes the newest copy, which may have the entry.
            del self._tombstones[name]
            self._clear_lapsed(name)
        for known in [*self._entries.values()]:
            if known.name in self._lapsed:
                known.revision = 0
            else:
                self._restore_entry(known, listed, revision, source, now)
        for name, removal in [*self._tombstones.items()]:
            if removal.rebase(listed.get(name), revision, now):
                listed.pop(name, None)
            else:
                del self._tombstones[name]
        for entry in listed.values():
            self.put(entry, source, now)

    def _restore_entry(
        self,
        known: model.BackendEntry,
        listed: dict[str, model.BackendEntry],
        revision: int,
        source: str,
        now: float,
    ) -> None:
        """Takes an entry over into a new era; see ``restore``.

        If the entry of the list is outdated, it is taken out of the list.
        """
        name, known_revision = known.name, known.revision
        entry = listed.get(name)
        known.revision = 0
        self._tombstones.pop(name, None)
        if entry is None:
            self._tombstones[name] = Removal(
                known_revision, now, known.started_ms
            )
            self._lost.add(name)
            self._begin_lapse(known, revision, RESTORED_GRACE_S, source, now)
        elif _is_outdated(entry, known_revision, known):
            known.revision = listed.pop(name).revision

    def expire(self, now: float) -> None:
        """Drops lapsed servers after their grace period, and old tombstones.

        Evacuations end that a restored store does not list for long.
        """
        self.evacuations.expire(now)
        for name, until in [*self._lapsed.items()]:
            if until <= now:
                del self._lapsed[name]
                self._lost.discard(name)
                entry = self._entries.pop(name)
                self.cold.forget(name)
                self._usable = None
                self.generation += 1
                self._events.state_change(
                    "backend server given up",
                    now,
                    server=name,
                    pool=entry.service,
                )
        for name, removal in [*self._tombstones.items()]:
            if now - removal.at > TOMBSTONE_TTL_S:
                del self._tombstones[name]

    def must_confirm(self, now: float) -> bool:
        """Returns whether a list must tell if a held removal is confirmed."""
        return any(
            removal.is_unconfirmed(now) for removal in self._tombstones.values()
        )

    def find(self, name: str) -> model.BackendEntry | None:
        """Returns the entry of a server, also of a lapsed one, or None."""
        return self._entries.get(name)

    def usable(self) -> list[model.BackendEntry]:
        """Returns servers that may get new requests.

        Lapsed ones are only included in pools that have no other server.
        """
        return [
            entry
            for zones in self._by_pool_and_zone().values()
            for entries in zones.values()
            for entry in entries
        ]

    def usable_in(self, pool: str, zone: str) -> Sequence[model.BackendEntry]:
        """Returns servers of a pool in a zone that may get new requests."""
        return self._by_pool_and_zone().get(pool, {}).get(zone, ())

    def zones_of(
        self, pool: str, home_regions: frozenset[str] | None = None
    ) -> KeysView[str]:
        """Returns the zones that have a usable server of a pool, sorted.

        Args:
            pool: The pool.
            home_regions: Regions of the zones, None for all.
        """
        zones = self._by_pool_and_zone().get(pool, {}).keys()
        if home_regions is None:
            return zones
        return dict.fromkeys(
            zone
            for zone in zones
            if eligibility.is_at_home(self.region_of(zone), home_regions)
        ).keys()

    def region_of(self, zone: str) -> str:
        """Returns the region of an availability zone."""
        return eligibility.region_of(zone, self.zone_regions)

    def names_outside(
        self, pool: str, home_regions: frozenset[str] | None
    ) -> frozenset[str]:
        """Returns the usable servers of a pool outside home regions."""
        if home_regions is None:
            return frozenset()
        zones = self.zones_of(pool) - self.zones_of(pool, home_regions)
        return frozenset(
            entry.name for zone in zones for entry in self.usable_in(pool, zone)
        )

    def _by_pool_and_zone(
        self,
    ) -> dict[str, dict[str, list[model.BackendEntry]]]:
        if self._usable is None:
            evacuated = self.evacuations.zones
            ready = [
                e
                for e in self._entries.values()
                if not e.is_draining and e.zone not in evacuated
            ]
            live_pools = {
                e.service for e in ready if not self._has_lapsed(e.name)
            }
            self._usable = {}
            for entry in sorted(ready, key=lambda e: e.zone):
                if self._has_lapsed(entry.name) and entry.service in live_pools:
                    continue
                zones = self._usable.setdefault(entry.service, {})
                zones.setdefault(entry.zone, []).append(entry)
        return self._usable

    def entries(self) -> list[model.BackendEntry]:
        """Returns all entries of servers that are not lapsed, for peers."""
        return [
            entry
            for entry in self._entries.values()
            if entry.name not in self._lapsed
        ]

    def removals(self) -> list[tuple[str, int]]:
        """Returns the names and revisions of removed servers, for peers."""
        return [
            (name, removal.revision)
            for name, removal in self._tombstones.items()
        ]

    def is_leaving(self, name: str) -> bool:
        """Returns whether a server is draining, lapsed or removed.

        It is also leaving while its zone is evacuated.
        """
        entry = self._entries.get(name)
        if entry is None:
            return name in self._tombstones
        return (
            entry.is_draining
            or self._has_lapsed(name)
            or entry.zone in self.evacuations.zones
        )

    def is_evacuated(self, zone: str) -> bool:
        """Returns whether nothing may be sent to the servers of a zone."""
        return zone in self.evacuations.zones

    def evacuated_zones(self) -> frozenset[str]:
        """Returns the zones to whose servers nothing may be sent."""
        return self.evacuations.zones

    def evacuated_servers(self) -> list[model.BackendEntry]:
        """Returns the servers of evacuated zones, also lapsed ones."""
        return [
            entry
            for entry in self._entries.values()
            if entry.zone in self.evacuations.zones
        ]

    def is_pool_evacuated(self, pool: str) -> bool:
        """Returns whether only evacuations keep a pool from having servers."""
        return not self.zones_of(pool) and any(
            entry.service == pool for entry in self.evacuated_servers()
        )

    def _record_evacuation(self) -> None:
        self._usable = None
        self.generation += 1

    def _has_lapsed(self, name: str) -> bool:
        """Returns whether an entry was removed, rather than lost."""
        return name in self._lapsed and name not in self._lost

    def _bury(self, name: str, revision: int, now: float) -> None:
        """Records a removal unless a later one is known."""
        removal = self._tombstones.get(name)
        if removal is not None and revision <= removal.revision:
            return
        known = self._entries.get(name) or removal
        started_ms = known.started_ms if known else math.inf
        self._tombstones[name] = Removal(revision, now, started_ms)

    def _begin_lapse(
        self,
        entry: model.BackendEntry,
        revision: int,
        grace_s: float,
        source: str,
        now: float,
    ) -> None:
        self._lapsed[entry.name] = now + grace_s
        self._usable = None
        self.generation += 1
        self._events.state_change(
            "backend server off the list",
            now,
            server=entry.name,
            pool=entry.service,
            revision=revision,
            grace_s=grace_s,
            source=source,
        )

    def _clear_lapsed(self, name: str) -> None:
        self._lost.discard(name)
        if self._lapsed.pop(name, None) is not None:
            self._usable = None
            self.generation += 1


def _is_outdated(
    entry: model.BackendEntry, known_revision: int, known: model.BackendEntry
) -> bool:
    """Returns whether the entry of a restored store would undo what is known.

    Other differences are taken from the store, as the server writes its entry
    again if it was lost.

    Args:
        entry: The entry.
        known_revision: Revision of the known entry before the loss.
        known: The known entry.
    """
    is_older = entry.revision <= known_revision
    if entry.started_ms != known.started_ms:
        return is_older and entry.started_ms < known.started_ms
    # A server does not take its drain back. If it does not tell its start, it
    # may have been started again.
    return (
        known.is_draining
        and not entry.is_draining
        and (is_older or known.started_ms != 0)
    )


def new_server_registry(
    events: log.EventLog, zone_regions: Mapping[str, str] | None = None
) -> ServerRegistry:
    """Returns an empty server registry.

    Args:
        events: Log of the changes.
        zone_regions: Regions by availability zone, from the settings.
    """
    return ServerRegistry(events, zone_regions or {})
