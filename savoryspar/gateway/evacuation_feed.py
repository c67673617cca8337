"""Applies evacuations of availability zones, of the store and of peers.

Each VM decides by itself: a zone is evacuated from the moment at which this VM
learns of its key, by a watch, a read, a message or a reply of a peer.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from savoryspar import fleet, platform
from savoryspar.gateway import ignored, model

ZONES_FIELD = "evacuated"
"""Field of a reply to a peer with the evacuated zones and their revisions.
Processes of earlier versions neither send nor read it."""
REMOVALS_FIELD = "taken_back"
"""Field with the zones whose evacuation has ended, and their revisions."""


class EvacuationFeed:
    """Applies changes to the evacuated zones.

    Attributes:
        is_enabled: Whether the deployment uses evacuations; otherwise the keys
            are neither read nor applied.
    """

    __slots__ = ("_clock", "_evacuations", "_ignored", "is_enabled")

    def __init__(
        self,
        evacuations: fleet.Evacuations,
        ignored_entries: ignored.IgnoredEntries,
        clock: model.Clock,
        is_enabled: bool,
    ):
        self._evacuations = evacuations
        self._ignored = ignored_entries
        self._clock = clock
        self.is_enabled = is_enabled

    @property
    def is_synced(self) -> bool:
        """Whether all evacuations are known, or none are used."""
        return not self.is_enabled or self._evacuations.is_complete

    def begin_era(self) -> None:
        """Prepares for the contents of a later era of the store."""
        self._evacuations.begin_era()

    def disable(self, now: float) -> None:
        """Takes all zones back, as the settings have no bound any more."""
        self.is_enabled = False
        self._evacuations.clear("settings", now)

    def apply(self, item: platform.Item, source: str, now: float) -> None:
        """Applies the write or the removal of a zone's key."""
        zone = self._decode(item, source)
        if not self.is_enabled or not zone:
            return
        if item.value is None:
            self._evacuations.remove(zone, item.revision, source, now)
        else:
            self._evacuations.put(zone, item.revision, source, now)

    def replace(
        self,
        snapshot: platform.Snapshot,
        applied: int,
        source: str,
        now: float,
    ) -> list[platform.Item]:
        """Applies a list of all keys of the operator.

        If an item of the list has no valid key, it may have been that of an
        evacuated zone, so no zone is taken back.

        Args:
            snapshot: The list.
            applied: Revision up to which all changes are applied.
            source: Call that returned it, for the log.
            now: Monotonic time in seconds.

        Returns:
            The removals of the keys that are not listed any more.
        """
        if not self.is_enabled:
            return []
        items = [i for i in snapshot.items if is_evacuation(i.key)]
        if snapshot.faults:
            for item in items:
                self.apply(item, source, now)
            return []
        decoded = {self._decode(item, source): item.revision for item in items}
        decoded.pop("", None)
        ended = self._evacuations.replace(
            decoded, snapshot.revision, applied, source, now
        )
        return [
            platform.Item(
                platform.EVACUATION_PREFIX + zone, None, snapshot.revision
            )
            for zone in ended
        ]

    def has_known(
        self, items: Iterable[platform.Item], since: int, until: int
    ) -> bool:
        """Returns whether a peer's message has what this VM knows.

        A zone that was evacuated and taken back between two reads of the peer
        is missing from its message.
        """
        names = {
            item.key.removeprefix(platform.EVACUATION_PREFIX) for item in items
        }
        return self._evacuations.has_all(names, since, until)

    def reply_fields(self) -> dict[str, list[tuple[str, int]]]:
        """Returns the fields of a reply to a peer, if all zones are known."""
        if not self.is_enabled or not self._evacuations.is_complete:
            return {}
        return {
            ZONES_FIELD: self._evacuations.listed(),
            REMOVALS_FIELD: self._evacuations.removals(),
        }

    def decode_reply(
        self, reply: Mapping[str, Any], source: str
    ) -> tuple[dict[str, int], dict[str, int], bool]:
        """Decodes the zones in a peer's reply.

        Returns:
            The revisions of the evacuated zones and of those taken back, and
            whether these are all that the peer's store has.
        """
        rows = reply.get(ZONES_FIELD)
        if rows is None:
            return {}, {}, False
        zones, is_whole = self._decode_rows(rows, source)
        removals, _ = self._decode_rows(reply[REMOVALS_FIELD], source)
        return zones, removals, is_whole

    def apply_reply(
        self,
        zones: Mapping[str, int],
        removals: Mapping[str, int],
        is_whole: bool,
        revision: int,
        applied: int,
        source: str,
        now: float,
    ) -> None:
        """Applies the zones that a peer knows; see ``replace``."""
        if is_whole:
            self._evacuations.replace(zones, revision, applied, source, now)
        else:
            for zone, written_at in zones.items():
                self._evacuations.put(zone, written_at, source, now)
        for zone, removed_at in removals.items():
            self._evacuations.remove(zone, removed_at, source, now)

    def _decode_rows(
        self, rows: Sequence[Any], source: str
    ) -> tuple[dict[str, int], bool]:
        decoded = {}
        is_whole = True
        for row in rows:
            try:
                zone, revision = platform.decode_peer_removal(row)
                decoded[zone] = revision
            except fleet.DocumentError as exc:
                is_whole = False
                self._ignored.record(
                    f"{row!r:.200}", 0, 0, source, exc, self._clock()
                )
        return decoded, is_whole

    def _decode(self, item: platform.Item, source: str) -> str:
        """Returns the zone of a key, empty if its name is malformed."""
        try:
            return platform.decode_evacuated_zone(item)
        except fleet.DocumentError as exc:
            size = len(item.value or b"")
            self._ignored.record(
                item.key, item.revision, size, source, exc, self._clock()
            )
            return ""


def is_evacuation(key: str) -> bool:
    """Returns whether a key of the store evacuates a zone."""
    return key.startswith(platform.EVACUATION_PREFIX)
