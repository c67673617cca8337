"""The registered backend servers.

Entries arrive from the store, directly or through peers, in any order. An entry
may expire during an outage of the store although its server is alive.
Therefore a server whose entry disappears counts as lapsed, and is dropped only
after a grace period.
"""

from collections.abc import Iterable, KeysView, Sequence
import math

from savoryspar import log
from savoryspar.fleet import model

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


class Removal:
    """The removal of a server's entry.

    Attributes:
        revision: Revision as of which the entry was absent. Entries up to it
            are outdated.
        at: Monotonic time at which it was learned.
        last_entry: Revision of the last entry of the server; that of the
            removal if the entry is not known.
        started_ms: Start of the server that its entry told; infinity if the
            entry is not known.
    """

    __slots__ = ("at", "last_entry", "revision", "started_ms")

    def __init__(
        self, revision: int, at: float, last_entry: int, started_ms: float
    ):
        self.revision = revision
        self.at = at
        self.last_entry = last_entry
        self.started_ms = started_ms

    def is_later_than(self, entry: model.BackendEntry) -> bool:
        """Returns whether an entry of a restored store precedes the removal."""
        return (
            entry.revision <= self.last_entry
            and entry.started_ms <= self.started_ms
        )


class ServerRegistry:
    """Backend servers by name; construct with ``new_server_registry``.

    Attributes:
        generation: Number of changes to the servers since the start.
    """

    __slots__ = (
        "_entries",
        "_events",
        "_lapsed",
        "_lost",
        "_tombstones",
        "_usable",
        "generation",
    )

    def __init__(self, events: log.EventLog):
        self._events = events
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
            self.put(entry, source, now)
        missing = [
            name
            for name, entry in self._entries.items()
            if name not in names and entry.revision <= revision
        ]
        removed = [name for name in missing if name not in self._lapsed]
        for name in missing:
            self.remove(name, revision, source, now)
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

        An entry of the copy has a revision that it had before the loss. So it
        is outdated if a newer one is known, unless the server has been started
        since.

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
            if known.name not in self._lapsed:
                self._restore_entry(known, listed, revision, source, now)
            else:
                known.revision = 0
        for name, removal in self._tombstones.items():
            entry = listed.get(name)
            if entry is None:
                removal.revision = revision
            elif removal.is_later_than(entry):
                removal.revision = listed.pop(name).revision
            else:
                removal.revision = 0
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
                revision, now, known_revision, known.started_ms
            )
            self._lost.add(name)
            self._begin_lapse(known, revision, RESTORED_GRACE_S, source, now)
        elif (
            entry.revision < known_revision
            and entry.started_ms <= known.started_ms
            # A drain is not taken back, so this one was written since.
            and (known.is_draining or not entry.is_draining)
        ):
            known.revision = listed.pop(name).revision

    def expire(self, now: float) -> None:
        """Drops lapsed servers after their grace period, and old tombstones."""
        for name, until in [*self._lapsed.items()]:
            if until <= now:
                del self._lapsed[name]
                self._lost.discard(name)
                entry = self._entries.pop(name)
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

    def zones_of(self, pool: str) -> KeysView[str]:
        """Returns the zones that have a usable server of a pool, sorted."""
        return self._by_pool_and_zone().get(pool, {}).keys()

    def _by_pool_and_zone(
        self,
    ) -> dict[str, dict[str, list[model.BackendEntry]]]:
        if self._usable is None:
            ready = [e for e in self._entries.values() if not e.is_draining]
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
        """Returns whether a server is draining, lapsed or removed."""
        entry = self._entries.get(name)
        if entry is None:
            return name in self._tombstones
        return entry.is_draining or self._has_lapsed(name)

    def _has_lapsed(self, name: str) -> bool:
        """Returns whether an entry was removed, rather than lost."""
        return name in self._lapsed and name not in self._lost

    def _bury(self, name: str, revision: int, now: float) -> None:
        """Records a removal unless a later one is known."""
        removal = self._tombstones.get(name)
        if removal is None:
            removal = Removal(-1, now, 0, 0)
        if revision <= removal.revision:
            return
        known = self._entries.get(name)
        if known is not None:
            removal.last_entry = max(removal.last_entry, known.revision)
            removal.started_ms = max(removal.started_ms, known.started_ms)
        elif not removal.last_entry:
            removal.last_entry, removal.started_ms = revision, math.inf
        removal.revision, removal.at = revision, now
        self._tombstones[name] = removal

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


def new_server_registry(events: log.EventLog) -> ServerRegistry:
    """Returns an empty server registry."""
    return ServerRegistry(events)
