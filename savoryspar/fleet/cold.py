"""Until when backend servers are cold.

A server tells the rest of its cold phase in its entry and in its answers. A
phase is counted from the time at which this VM received it. The time on the way
therefore makes it too long, never too short.

What was told in one revision of an entry is one fact. Each VM that received it
has an upper bound of its end, so the lowest bound of several VMs holds: a VM
that starts and reads an entry that was written long ago takes the bound of its
peers. Of several facts, the one that ends last holds, as a server may become
cold again while it runs, and a later entry may leave the phase out.
"""

from collections.abc import Iterable, Mapping
import math
from typing import Any

from savoryspar import decoding
from savoryspar.fleet import model

MAX_COLD_S = 3600.0
"""Longest remaining time that is taken as meant."""
REFRESH_S = 1.0
"""Least time by which an answer or a peer's report must end later than what is
known to count. Each report adds the time on its way, so a phase that is passed
around would otherwise never end."""
MAX_STARTS = 1024
"""Servers whose start is remembered after their entry is gone."""
MAX_BOUNDS = 1024
"""Bounds of peers that are kept for entries that are not known yet."""

Fact = tuple[str, int, int, float]
"""ID and start of a server, revision of its entry, and the remaining time that
the entry tells. The time tells apart equal revisions of two eras."""


class _Phase:
    """What is known of one server.

    Attributes:
        fact: What the newest entry tells, None if it tells nothing.
        entry_until: End of the phase that the entry tells.
        other_until: Latest end of those that earlier entries, answers and
            peers told.
        is_assumed: Whether ``entry_until`` counts from the receipt of an entry
            that does not tell whether the server is cold.
    """

    __slots__ = ("entry_until", "fact", "is_assumed", "other_until")

    def __init__(self) -> None:
        self.fact: Fact | None = None
        self.entry_until = -math.inf
        self.other_until = -math.inf
        self.is_assumed = False


class ColdTable:
    """Cold phases by server; construct with ``new_cold_table``.

    All times are monotonic seconds.

    Attributes:
        ends_by: Time by which all known phases end, also assumed ones.
    """

    __slots__ = ("_bounds", "_has_list", "_phases", "_starts", "ends_by")

    def __init__(self) -> None:
        self.ends_by = -math.inf
        self._phases: dict[str, _Phase] = {}
        # Starts of servers, also of those whose entries are gone: an entry may
        # expire during an outage of the store and be written again.
        self._starts: dict[str, int] = {}
        self._bounds: dict[Fact, float] = {}
        self._has_list = False

    def record_list(self) -> None:
        """Records that a full list was applied.

        Servers that start later start during traffic.
        """
        self._has_list = True

    def record_entry(self, entry: model.BackendEntry, now: float) -> None:
        """Records a new revision of an entry.

        A server with a new start whose entry does not tell whether it is cold
        counts as cold for as long as its service says.
        """
        known_ms = self._starts.pop(entry.name, None)
        self._starts[entry.name] = entry.started_ms
        while len(self._starts) > MAX_STARTS:
            del self._starts[next(iter(self._starts))]
        phase = self._phases.setdefault(entry.name, _Phase())
        left_s = entry.cold_left_s
        if left_s is None:
            if self._has_list and known_ms != entry.started_ms:
                self._retain(phase)
                phase.is_assumed = True
                phase.entry_until = now
                self._extend(now + MAX_COLD_S)
            return
        self._retain(phase)
        phase.fact = (entry.name, entry.started_ms, entry.revision, left_s)
        phase.entry_until = min(
            now + left_s, self._bounds.pop(phase.fact, math.inf)
        )
        self._extend(phase.entry_until)

    def _extend(self, until: float) -> None:
        self.ends_by = max(self.ends_by, until)

    def _retain(self, phase: _Phase) -> None:
        """Keeps the phase that the earlier entry told."""
        if not phase.is_assumed:
            phase.other_until = max(phase.other_until, phase.entry_until)
        phase.fact = None
        phase.is_assumed = False

    def record_told(self, name: str, left_s: float, now: float) -> bool:
        """Records the remaining time that an answer or a peer told.

        Returns:
            Whether it ends later than what was known, so peers must know it.
        """
        phase = self._phases.get(name)
        if phase is None or left_s <= 0.0:
            return False
        until = now + left_s
        known = max(phase.other_until, phase.entry_until)
        if until < known + REFRESH_S:
            return False
        phase.other_until = until
        self._extend(until)
        return True

    def left_s(self, name: str, cold_start_s: float, now: float) -> float:
        """Returns the remaining time of a server's cold phase, 0 for none.

        Args:
            name: ID of the server.
            cold_start_s: Duration of the phase after a start, of the service.
            now: Monotonic time in seconds.
        """
        phase = self._phases.get(name)
        if phase is None:
            return 0.0
        until = phase.entry_until
        if phase.is_assumed:
            until += cold_start_s
        return max(0.0, until - now, phase.other_until - now)

    def forget(self, name: str) -> None:
        """Drops a server whose entry is gone, except its start."""
        self._phases.pop(name, None)

    def encode(self, now: float, names: Iterable[str]) -> list[list[Any]]:
        """Returns what is known of servers, for peers.

        Each row has the ID and start of the server, the revision of its entry
        and times in seconds: what the entry told, the rest of that, the rest of
        other phases, and the age of an entry that told nothing. The revision
        and the times are -1 where there is nothing to tell.
        """
        return [
            self._encode_phase(name, phase, now)
            for name in names
            for phase in [self._phases.get(name)]
            if phase is not None
            and (
                phase.fact is not None
                or (phase.is_assumed and now - phase.entry_until < MAX_COLD_S)
                or phase.other_until > now
            )
        ]

    def _encode_phase(self, name: str, phase: _Phase, now: float) -> list[Any]:
        fact = phase.fact or (name, self._starts.get(name, 0), -1, -1.0)
        return [
            *fact,
            max(0.0, phase.entry_until - now) if phase.fact else -1.0,
            max(0.0, phase.other_until - now),
            now - phase.entry_until if phase.is_assumed else -1.0,
        ]

    def apply(self, rows: Iterable[Any], now: float) -> None:
        """Applies what a peer knows, as ``encode`` returns it.

        Raises:
            DecodingError: A row is malformed.
        """
        with decoding.reading("a cold phase"):
            for row in rows:
                name, started_ms, revision, *times = row
                told_s, entry_s, other_s, age_s = (
                    decoding.number(item, -1.0, MAX_COLD_S) for item in times
                )
                fact = (
                    decoding.text(name),
                    decoding.integer(started_ms, 0),
                    decoding.integer(revision, -1),
                    told_s,
                )
                if told_s >= 0.0:
                    self._apply_bound(fact, now + max(0.0, entry_s))
                if self._starts.get(name) == started_ms:
                    self.record_told(name, other_s, now)
                    self._apply_assumed(name, age_s, now)

    def _apply_assumed(self, name: str, age_s: float, now: float) -> None:
        """Assumes a cold phase that a peer assumes."""
        phase = self._phases.get(name)
        if age_s >= 0.0 and phase is not None and phase.fact is None:
            since = now - age_s
            if phase.is_assumed:
                since = min(since, phase.entry_until)
            phase.is_assumed = True
            phase.entry_until = since
            self._extend(since + MAX_COLD_S)

    def _apply_bound(self, fact: Fact, until: float) -> None:
        phase = self._phases.get(fact[0])
        if phase is not None and phase.fact == fact:
            phase.entry_until = min(phase.entry_until, until)
            return
        self._bounds[fact] = min(until, self._bounds.get(fact, math.inf))
        while len(self._bounds) > MAX_BOUNDS:
            del self._bounds[next(iter(self._bounds))]


def told_by_name(rows: Iterable[Any]) -> Mapping[str, float]:
    """Returns what the entries of a peer's servers told, by server.

    Raises:
        DecodingError: A row is malformed.
    """
    with decoding.reading("a cold phase"):
        return {
            decoding.text(row[0]): float(row[3])
            for row in rows
            if decoding.number(row[3], -1.0, MAX_COLD_S) >= 0.0
        }


def new_cold_table() -> ColdTable:
    """Returns a table without cold phases."""
    return ColdTable()
