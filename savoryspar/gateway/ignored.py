"""Malformed entries that this VM ignores, logged once for each revision."""

import collections
import zlib

from savoryspar import log

MAX_KEPT = 1000
"""Entries remembered as logged."""
MAX_SHOWN_CHARS = 200
MAX_CAUSE_CHARS = 400


class IgnoredEntries:
    """Logs each malformed entry once and counts them.

    Attributes:
        count: Malformed entries since the start, one for each revision.
    """

    __slots__ = ("_events", "_logged", "count")

    def __init__(self, events: log.EventLog):
        self._events = events
        self._logged: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.count = 0

    def record(
        self,
        key: str,
        revision: int,
        size: int,
        source: str,
        cause: Exception | str,
        now: float,
    ) -> None:
        """Logs an entry unless it was logged at the same revision.

        Args:
            key: Key of the entry, or its beginning if it has none.
            revision: Store revision of the entry, 0 if unknown.
            size: Size of the entry in bytes, 0 if unknown.
            source: Where the entry is from.
            cause: What is malformed.
            now: Monotonic time in seconds.
        """
        key = key[:MAX_SHOWN_CHARS]
        if self._is_new(key, revision):
            self._events.state_change(
                "entry ignored",
                now,
                key=key,
                revision=revision,
                size=size,
                source=source,
                cause=_shorten(cause),
            )

    def record_configuration(
        self, document: bytes, source: str, cause: Exception, now: float
    ) -> None:
        """Logs a configuration unless the same document was logged last."""
        if self._is_new("configuration", zlib.crc32(document)):
            self._events.state_change(
                "configuration ignored",
                now,
                size=len(document),
                source=source,
                cause=_shorten(cause),
            )

    def _is_new(self, key: str, revision: int) -> bool:
        if self._logged.get(key) == revision:
            return False
        self._logged[key] = revision
        if len(self._logged) > MAX_KEPT:
            self._logged.popitem(last=False)
        self.count += 1
        return True


def _shorten(cause: Exception | str) -> str:
    return str(cause)[:MAX_CAUSE_CHARS]


def new_ignored_entries(events: log.EventLog) -> IgnoredEntries:
    """Returns a record without entries."""
    return IgnoredEntries(events)
