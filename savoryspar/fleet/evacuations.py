"""Availability zones whose backend servers may get nothing more.

The operator writes a key for each such zone to the store. Its writes and
removals arrive by several paths, in any order and more than once, so the store
revision of each one decides which is newer.
"""

from collections.abc import Callable, Iterable, Mapping
import math

from savoryspar import log

TOMBSTONE_TTL_S = 120.0
"""Time for which ended evacuations are kept, so that an outdated message does
not begin them again; as for removed servers."""

RESTORED_HOLD_S = 10.0
"""Time for which an evacuation holds that a restored store does not list. The
operator writes lost keys again within some seconds; a key that is still missing
then was not to be kept."""


class _Evacuation:
    """The newest known change of a zone's key.

    Attributes:
        revision: Store revision of the change, 0 if an earlier era wrote it.
        at: Monotonic time at which it was learned.
        is_ended: Whether the key was removed.
        held_until: Monotonic time until which an evacuation of an earlier era
            holds: infinity until a list of the new era has been read, None
            if the evacuation is of the present era.
    """

    __slots__ = ("at", "held_until", "is_ended", "revision")

    def __init__(self, revision: int, at: float, is_ended: bool):
        self.revision = revision
        self.at = at
        self.is_ended = is_ended
        self.held_until: float | None = None


class Evacuations:
    """Evacuated zones; construct with ``new_evacuations``.

    Attributes:
        zones: The evacuated zones.
        is_complete: Whether a complete list of the present era was applied.
    """

    __slots__ = ("_events", "_on_change", "_records", "is_complete", "zones")

    def __init__(self, events: log.EventLog, on_change: Callable[[], None]):
        self._events = events
        self._on_change = on_change
        self._records: dict[str, _Evacuation] = {}
        self.zones: frozenset[str] = frozenset()
        self.is_complete = False

    def put(self, zone: str, revision: int, source: str, now: float) -> None:
        """Evacuates a zone as of a revision, unless a later change is known."""
        known = self._records.get(zone)
        if known is not None and known.revision >= revision:
            return
        self._records[zone] = _Evacuation(revision, now, is_ended=False)
        if zone not in self.zones:
            self._update_zones()
            self._events.state_change(
                "zone evacuated",
                now,
                zone=zone,
                revision=revision,
                source=source,
                evacuated=len(self.zones),
            )

    def remove(self, zone: str, revision: int, source: str, now: float) -> None:
        """Takes a zone back as of a revision, unless a later one is known."""
        known = self._records.get(zone)
        if known is not None and known.revision >= revision:
            return
        self._records[zone] = _Evacuation(revision, now, is_ended=True)
        if zone in self.zones:
            self._record_end(zone, revision, source, now)

    def replace(
        self,
        listed: Mapping[str, int],
        revision: int,
        applied: int,
        source: str,
        now: float,
    ) -> list[str]:
        """Applies a complete list as of a revision of the store.

        Evacuations that began after the revision are kept.

        Args:
            listed: Revision of each zone's key.
            revision: Revision as of which the list is complete.
            applied: Revision up to which all changes are applied. A key up to
                it that is not known here has been removed since; its removal
                may have been forgotten.
            source: Call that returned the list, for the log.
            now: Monotonic time in seconds.

        Returns:
            The zones that were taken back because they are not listed.
        """
        for zone, written_at in listed.items():
            is_newest = revision >= applied or written_at > applied
            if is_newest or zone in self._records:
                self.put(zone, written_at, source, now)
        self.is_complete = True
        ended = []
        for zone in sorted(self.zones - listed.keys()):
            record = self._records[zone]
            if record.held_until is not None:
                record.held_until = min(
                    record.held_until, now + RESTORED_HOLD_S
                )
            elif record.revision < revision:
                self.remove(zone, revision, source, now)
                ended.append(zone)
        return ended

    def begin_era(self) -> None:
        """Prepares for the contents of a store that was restored from a copy.

        What the copy lists counts as evacuated, also if it ended before. What
        it does not list holds for ``RESTORED_HOLD_S``, or until its key is
        written or removed.
        """
        self.is_complete = False
        for zone, record in [*self._records.items()]:
            if record.is_ended:
                del self._records[zone]
            else:
                record.revision = 0
                record.held_until = math.inf

    def expire(self, now: float) -> None:
        """Ends what is no longer held, and forgets old removals."""
        for zone, record in [*self._records.items()]:
            if record.is_ended:
                if now - record.at > TOMBSTONE_TTL_S:
                    del self._records[zone]
            elif record.held_until is not None and record.held_until <= now:
                self._forget(zone, "restored store without the key", now)

    def clear(self, source: str, now: float) -> None:
        """Takes all zones back, as evacuations are no longer followed."""
        self.is_complete = False
        for zone in sorted(self.zones):
            self._forget(zone, source, now)
        self._records.clear()

    def listed(self) -> list[tuple[str, int]]:
        """Returns the zones with a key in the present era, for peers."""
        return [
            (zone, record.revision)
            for zone, record in self._records.items()
            if not record.is_ended and record.held_until is None
        ]

    def removals(self) -> list[tuple[str, int]]:
        """Returns the zones whose key was removed, for peers."""
        return [
            (zone, record.revision)
            for zone, record in self._records.items()
            if record.is_ended
        ]

    def has_all(self, zones: Iterable[str], since: int, until: int) -> bool:
        """Returns whether zones include each one that was evacuated between.

        Args:
            zones: The zones.
            since: Revision after which the evacuations were written.
            until: Revision up to which they were written.
        """
        named = {*zones}
        return all(
            zone in named or not since < revision <= until
            for zone, revision in self.listed()
        )

    def _forget(self, zone: str, source: str, now: float) -> None:
        record = self._records.pop(zone)
        self._record_end(zone, record.revision, source, now)

    def _record_end(
        self, zone: str, revision: int, source: str, now: float
    ) -> None:
        self._update_zones()
        self._events.state_change(
            "zone taken back",
            now,
            zone=zone,
            revision=revision,
            source=source,
            evacuated=len(self.zones),
        )

    def _update_zones(self) -> None:
        self.zones = frozenset(
            name
            for name, record in self._records.items()
            if not record.is_ended
        )
        self._on_change()


def new_evacuations(
    events: log.EventLog, on_change: Callable[[], None]
) -> Evacuations:
    """Returns evacuations without any zone.

    Args:
        events: Log of the changes.
        on_change: Called after each change of the evacuated zones.
    """
    return Evacuations(events, on_change)
