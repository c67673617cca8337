"""Slow starts of servers that have just started or recovered.

Each VM notices from the list of servers which ones are new, have started again
or are usable again, and the owner of a server's permits broadcasts it once, for
VMs that started lately. That a server is back after it was unreachable or
ejected is known to some VMs only; the first one broadcasts it. The owner
decides on the rate (``ratelimits.SlowStart``). Claims tell it how the server
answered.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
import math
from typing import Any

import eventlet

from savoryspar import decoding, fleet, log, membership, ratelimits
from savoryspar.gateway import model

BEGIN_KIND = "slow_start"
"""A slow start that begins. Processes of earlier versions ignore it."""
AWAY_S = 1.0
"""Time out of use from which a server that returns begins slowly; after less it
still has most of its requests."""
ESTABLISHED_S = 10.0
"""Time of use from which a server counts as established. Servers that start
within it of each other start with the fleet."""
FORGET_S = 600.0
"""Time for which servers that are not usable are remembered."""
LOG_FACTOR = 2.0
"""Change of a rate from which it is logged."""
MAX_COUNT = 1 << 20
MAX_RATE_PER_S = 1e9


class Pacing:
    """Values of the setting ``start_pacing``."""

    AUTO = "auto"
    ON = "on"
    OFF = "off"


class _Seen:
    """When a server was usable.

    Attributes:
        key, started_ms: ID, address and start of the server.
        since: When it became usable.
        last_at: When it was usable last, infinity if it is.
    """

    __slots__ = ("key", "last_at", "since", "started_ms")

    def __init__(self, entry: fleet.BackendEntry, now: float):
        self.key = (entry.name, entry.address)
        self.started_ms = entry.started_ms
        self.since = now
        self.last_at = math.inf

    def is_back(self, entry: fleet.BackendEntry, now: float) -> bool:
        """Returns whether a usable entry is a start or a return."""
        return (
            self.key != (entry.name, entry.address)
            or self.started_ms != entry.started_ms
            or now - self.last_at >= AWAY_S
        )


class _Active:
    """A slow start in progress.

    Attributes:
        slow_start: The decisions.
        counts: Good, slow and failed answers to this VM since its last claim.
        logged_rate_per_s: Rate that the log told last.
    """

    __slots__ = ("counts", "logged_rate_per_s", "slow_start")

    def __init__(self, now: float):
        self.slow_start = ratelimits.new_slow_start(now)
        self.counts = [0, 0, 0]
        self.logged_rate_per_s = self.slow_start.rate_per_s

    def rate_to_log(self) -> float:
        """Returns the rounded rate, and keeps it as the last one logged."""
        self.logged_rate_per_s = self.slow_start.rate_per_s
        return round(self.logged_rate_per_s, 2)


class SlowStarts:
    """Slow starts by server; construct with ``new_slow_starts``.

    Attributes:
        mode: Value of the setting ``start_pacing``.
        begun: Slow starts since the start of this process.
    """

    __slots__ = (
        "_active",
        "_clock",
        "_ended_at",
        "_events",
        "_holder",
        "_members",
        "_seen",
        "_server_registry",
        "begun",
        "mode",
    )

    def __init__(
        self,
        holder: fleet.ConfigurationHolder,
        server_registry: fleet.ServerRegistry,
        members: membership.Membership,
        events: log.EventLog,
        clock: model.Clock,
        mode: str,
    ):
        self.mode = mode
        self.begun = 0
        self._holder = holder
        self._server_registry = server_registry
        self._members = members
        self._events = events
        self._clock = clock
        self._active: dict[ratelimits.Server, _Active] = {}
        self._ended_at: dict[ratelimits.Server, float] = {}
        self._seen: dict[str, _Seen] = {}
        members.handle(BEGIN_KIND, self._serve_begin)

    def _is_enabled(self, pool: str) -> bool:
        if self.mode != Pacing.AUTO:
            return self.mode == Pacing.ON
        current = self._holder.current
        service = current.services.get(pool) if current else None
        return service is not None and service.cold_start_s > 0.0

    @property
    def is_idle(self) -> bool:
        """Whether no server is in its slow start."""
        return not self._active

    def servers(self) -> list[ratelimits.Server]:
        """Returns the servers in their slow start."""
        return [*self._active]

    def update(
        self,
        usable: Iterable[fleet.BackendEntry],
        is_owner: Callable[[ratelimits.Server], bool],
        now: float,
    ) -> None:
        """Begins the slow start of servers that are new or back.

        Args:
            usable: Servers that may get new requests.
            is_owner: Whether this VM owns the permits of a server.
            now: Monotonic time in seconds.
        """
        entries = {entry.name: entry for entry in usable}
        is_first = not self._seen
        begins = [] if is_first else self._begins(entries, now)
        for name, entry in entries.items():
            seen = self._seen.get(name)
            if seen is None or seen.is_back(entry, now):
                self._seen[name] = _Seen(entry, now)
            else:
                seen.last_at = math.inf
        for name, seen in [*self._seen.items()]:
            if name not in entries:
                seen.last_at = min(seen.last_at, now)
                if now - seen.last_at > FORGET_S:
                    del self._seen[name]
        self._end_unlisted(now)
        for entry in begins:
            key = (entry.name, entry.address)
            self._begin(key, "listed", now)
            if is_owner(key):
                self._broadcast(key, entry.started_ms)

    def _begins(
        self, entries: Mapping[str, fleet.BackendEntry], now: float
    ) -> list[fleet.BackendEntry]:
        """Returns the servers that start slowly.

        Their pool has an established server, so they don't start with it.
        """
        back = [
            entry
            for name, entry in entries.items()
            if self._is_enabled(entry.service)
            and (name not in self._seen or self._seen[name].is_back(entry, now))
        ]
        names = {entry.name for entry in back}
        others = [
            entry
            for name, entry in entries.items()
            if name not in names
            and (name, entry.address) not in self._active
            and name in self._seen
        ]
        return [
            entry
            for entry in back
            if any(
                other.service == entry.service
                and self._is_established(other, entry, now)
                for other in others
            )
        ]

    def _is_established(
        self, other: fleet.BackendEntry, entry: fleet.BackendEntry, now: float
    ) -> bool:
        """Returns whether a server ran long before another one starts."""
        return now - self._seen[other.name].since >= ESTABLISHED_S or (
            other.started_ms > 0
            and entry.started_ms - other.started_ms > 1000.0 * ESTABLISHED_S
        )

    def _end_unlisted(self, now: float) -> None:
        for key in [*self._active]:
            entry = self._server_registry.find(key[0])
            if entry is None or entry.address != key[1]:
                self._end(key, ratelimits.End.GONE, now)
        self._ended_at = {
            key: at for key, at in self._ended_at.items() if now - at < FORGET_S
        }

    def record_recovery(self, server: ratelimits.Server, now: float) -> None:
        """Begins the slow start of a server that answers again."""
        entry = self._server_registry.find(server[0])
        if (
            entry is None
            or entry.address != server[1]
            or server in self._active
            or not self._is_enabled(entry.service)
            or not self._has_other(entry)
        ):
            return
        self._begin(server, "recovered", now)
        self._broadcast(server, entry.started_ms)

    def _has_other(self, entry: fleet.BackendEntry) -> bool:
        """Returns whether another server of the pool has started."""
        return any(
            other.service == entry.service
            and other.name != entry.name
            and (other.name, other.address) not in self._active
            for other in self._server_registry.usable()
        )

    def _broadcast(self, server: ratelimits.Server, started_ms: int) -> None:
        body = [*server, started_ms]
        eventlet.spawn_n(self._members.broadcast, BEGIN_KIND, body)

    def _serve_begin(self, sender: str, body: Any) -> None:
        with decoding.reading("a slow start"):
            name, address, started_ms = body
        entry = self._server_registry.find(name)
        if (
            entry is not None
            and (entry.address, entry.started_ms) == (address, started_ms)
            and self._is_enabled(entry.service)
            and (name, address) not in self._active
        ):
            self._begin((name, address), f"peer {sender}", self._clock())

    def _begin(
        self, server: ratelimits.Server, cause: str, now: float
    ) -> _Active:
        if server in self._active:
            self._end(server, ratelimits.End.REPLACED, now)
        active = self._active[server] = _Active(now)
        self.begun += 1
        self._events.state_change(
            "slow start begins",
            now,
            server=server[0],
            rate_per_s=active.rate_to_log(),
            cause=cause,
        )
        return active

    def _end(
        self, server: ratelimits.Server, end: ratelimits.End, now: float
    ) -> None:
        active = self._active.pop(server)
        self._ended_at[server] = now
        self._events.state_change(
            "slow start ends",
            now,
            server=server[0],
            rate_per_s=active.rate_to_log(),
            cause=end.value,
            took_s=round(now - active.slow_start.began_at, 1),
        )

    def rate_per_s(
        self, server: ratelimits.Server, is_cold: bool, now: float
    ) -> float | None:
        """Returns the rate of a server in its slow start, None for others.

        Args:
            server: The server.
            is_cold: Whether it is cold.
            now: Monotonic time in seconds.
        """
        active = self._active.get(server)
        if active is None:
            return None
        if is_cold:
            active.slow_start.extend(now)
        elif active.slow_start.is_over(now):
            self._end(server, ratelimits.End.DURATION, now)
            return None
        return active.slow_start.rate_per_s

    def record_result(
        self, server: ratelimits.Server, result: ratelimits.Result
    ) -> None:
        """Counts an answer of a server in its slow start."""
        active = self._active.get(server)
        if active is not None:
            active.counts[result.value] += 1

    def record_claim(
        self,
        server: ratelimits.Server,
        is_granted: bool,
        bound_per_s: float | None,
        is_cold: bool,
        now: float,
    ) -> None:
        """Records a claim that this VM decided, as the owner of the permits.

        Args:
            server: The server.
            is_granted: Whether it was granted.
            bound_per_s: Lowest other limit of the server, None for none.
            is_cold: Whether the server is cold.
            now: Monotonic time in seconds.
        """
        active = self._active.get(server)
        if active is None:
            return
        active.slow_start.record_claim(is_granted)
        active.slow_start.record_answers(self._take_counts(active))
        end = active.slow_start.advance(bound_per_s, is_cold, now)
        if end is not None:
            self._end(server, end, now)
            return
        change = active.slow_start.rate_per_s / active.logged_rate_per_s
        if not 1.0 / LOG_FACTOR < change < LOG_FACTOR:
            self._events.state_change(
                "slow start rate",
                now,
                server=server[0],
                rate_per_s=active.rate_to_log(),
            )

    def _take_counts(self, active: _Active) -> Sequence[int]:
        counts, active.counts = active.counts, [0, 0, 0]
        return counts

    def encode_claim(
        self, server: ratelimits.Server, now: float
    ) -> dict[str, list]:
        """Returns the field of a claim with the answers since the last one."""
        active = self._active.get(server)
        if active is None:
            return {}
        age_s = max(0.0, now - active.slow_start.began_at)
        counts = self._take_counts(active)
        return {"start": [age_s, active.slow_start.rate_per_s, *counts]}

    def apply_claim(
        self, server: ratelimits.Server, row: Sequence[Any], now: float
    ) -> None:
        """Applies the field of a peer's claim, as the owner of the permits.

        Raises:
            DecodingError: It is malformed.
        """
        with decoding.reading("a slow start"):
            age_s, rate_per_s, *counts = row
            decoding.number(age_s, 0.0, FORGET_S)
            decoding.number(rate_per_s, 0.0, MAX_RATE_PER_S)
            good, slow, failed = (
                decoding.integer(count, 0, MAX_COUNT) for count in counts
            )
        active = self._active.get(server)
        if active is None:
            # The slow start may have ended here already.
            if now - age_s <= self._ended_at.get(server, -math.inf):
                return
            active = self._begin(server, "claim", now)
        active.slow_start.adopt(rate_per_s)
        active.slow_start.record_answers((good, slow, failed))

    def encode_reply(self, server: ratelimits.Server) -> dict[str, Any]:
        """Returns the field of the reply to a claim: the rate, or None."""
        active = self._active.get(server)
        rate_per_s = active.slow_start.rate_per_s if active else None
        return {"start_rate": rate_per_s}

    def apply_reply(
        self, server: ratelimits.Server, reply: Mapping[str, Any], now: float
    ) -> None:
        """Applies what the owner replied: the rate, or the end.

        Raises:
            DecodingError: It is malformed.
        """
        active = self._active.get(server)
        if active is None or "start_rate" not in reply:
            return
        if reply["start_rate"] is None:
            self._end(server, ratelimits.End.OWNER, now)
        else:
            active.slow_start.tell(
                decoding.number(reply["start_rate"], 0.0, MAX_RATE_PER_S)
            )

    def encode(self, now: float) -> list[list[Any]]:
        """Returns the slow starts in progress, for a process that starts."""
        found = ((k, self._server_registry.find(k[0])) for k in self._active)
        return [
            [*key, entry.started_ms]
            for key, entry in found
            if entry is not None
        ]

    def apply(self, rows: Iterable[Any], sender: str) -> None:
        """Applies the slow starts that a peer knows.

        Raises:
            DecodingError: They are malformed.
        """
        for row in rows:
            self._serve_begin(sender, row)


def new_slow_starts(
    holder: fleet.ConfigurationHolder,
    server_registry: fleet.ServerRegistry,
    members: membership.Membership,
    events: log.EventLog,
    clock: model.Clock,
    mode: str,
) -> SlowStarts:
    """Returns slow starts of no server, with their peer handler.

    Args:
        holder: The configuration.
        server_registry: The backend servers.
        members: The other entry VMs.
        events: Log of the slow starts.
        clock: Monotonic time in seconds.
        mode: Value of the setting ``start_pacing``.
    """
    return SlowStarts(holder, server_registry, members, events, clock, mode)
