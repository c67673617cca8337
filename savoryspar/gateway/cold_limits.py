"""Rate limits of cold servers, which the configuration gives.

The server registry knows until when a server is cold. An answer may tell that a
server became cold again before its entry does; the VM that receives it tells
the others.
"""

from collections.abc import Iterable
import math
from typing import Any

import eventlet

from savoryspar import decoding, fleet, log, membership, ratelimits
from savoryspar.gateway import model

COLD_KIND = "cold_report"
"""A server that answered as cold. Processes of earlier versions ignore it."""
BROADCAST_INTERVAL_S = 1.0
"""Shortest time between two broadcasts about one server."""


class ColdBounds:
    """What the deployment tolerates of requests to cold servers.

    Attributes:
        excess: Factor by which a second may exceed the rate, 0 if not known.
        slack: Requests by which a second may exceed it.
        min_fleet_size: VMs that the fleet has at least. A VM that starts while
            it is cut off knows no others, and would take itself for the fleet.
    """

    __slots__ = ("excess", "min_fleet_size", "slack")

    def __init__(self, excess: float, slack: float, min_fleet_size: int):
        self.excess = excess
        self.slack = slack
        self.min_fleet_size = min_fleet_size


class ColdLimits:
    """Limits of cold servers; construct with ``new_cold_limits``.

    Attributes:
        bounds: What the deployment tolerates.
    """

    __slots__ = (
        "_broadcast_at",
        "_clock",
        "_cold",
        "_configuration",
        "_events",
        "_holder",
        "_members",
        "_rates",
        "_server_registry",
        "bounds",
    )

    def __init__(
        self,
        holder: fleet.ConfigurationHolder,
        server_registry: fleet.ServerRegistry,
        members: membership.Membership,
        events: log.EventLog,
        clock: model.Clock,
        bounds: ColdBounds,
    ):
        self.bounds = bounds
        self._holder = holder
        self._server_registry = server_registry
        self._members = members
        self._events = events
        self._clock = clock
        # Service and permits per second by pool, of the configuration.
        self._configuration: fleet.Configuration | None = None
        self._rates: dict[str, tuple[float, float]] = {}
        # Cold servers of which the log has told.
        self._cold: set[str] = set()
        self._broadcast_at: dict[str, float] = {}
        members.handle(COLD_KIND, self._serve_report)

    def set_bounds(self, bounds: ColdBounds) -> None:
        """Sets what the deployment tolerates."""
        self.bounds = bounds
        self._configuration = None

    def may_be_cold(self, now: float) -> bool:
        """Returns whether any server may be cold, or the log says so.

        Each request asks for the limits of all servers of its pool, so this
        must be fast while none is cold.
        """
        return bool(self._cold) or now < self._server_registry.cold.ends_by

    def rate_per_s(self, server: ratelimits.Server, now: float) -> float | None:
        """Returns the permits per second of a server, None if it is not cold.

        Args:
            server: The server.
            now: Monotonic time in seconds.
        """
        rates = self._rates_by_pool()
        entry = self._server_registry.find(server[0]) if rates else None
        if entry is None or entry.service not in rates:
            return None
        cold_start_s, rate_per_s = rates[entry.service]
        left_s = self._server_registry.cold.left_s(
            entry.name, cold_start_s, now
        )
        if (left_s > 0.0) != (entry.name in self._cold):
            self._log_change(entry, left_s, rate_per_s, now)
        return rate_per_s if left_s > 0.0 else None

    def _rates_by_pool(self) -> dict[str, tuple[float, float]]:
        current = self._holder.current
        if current is not self._configuration:
            self._configuration = current
            self._rates = {
                service.name: (
                    service.cold_start_s,
                    ratelimits.cold_rate_per_s(
                        service.cold_per_s,
                        self.bounds.excess,
                        self.bounds.slack,
                    ),
                )
                for service in (current.services if current else {}).values()
                if service.cold_per_s > 0.0
            }
        return self._rates

    def _log_change(
        self,
        entry: fleet.BackendEntry,
        left_s: float,
        rate_per_s: float,
        now: float,
    ) -> None:
        if left_s > 0.0:
            self._cold.add(entry.name)
        else:
            self._cold.discard(entry.name)
        self._events.state_change(
            "server cold" if left_s > 0.0 else "server not cold",
            now,
            server=entry.name,
            pool=entry.service,
            left_s=round(left_s, 3),
            rate_per_s=round(rate_per_s, 3),
            told_s=entry.cold_left_s,
            revision=entry.revision,
        )

    def servers(self, now: float) -> list[ratelimits.Server]:
        """Returns the cold servers."""
        if not self._rates_by_pool():
            return []
        keys = [(e.name, e.address) for e in self._server_registry.entries()]
        return [k for k in keys if self.rate_per_s(k, now) is not None]

    def keep_only(self, names: Iterable[str]) -> None:
        """Forgets what was logged and broadcast of other servers."""
        names = frozenset(names)
        self._cold &= names
        for name in self._broadcast_at.keys() - names:
            del self._broadcast_at[name]

    def share(self, visible_share: float, live: int) -> float:
        """Returns the share of the rate that a VM with this view grants.

        Args:
            visible_share: Part of the known VMs that it reaches.
            live: Number of VMs that it reaches.
        """
        return min(visible_share, live / max(1, self.bounds.min_fleet_size))

    def record_answer(
        self, server: ratelimits.Server, left_s: float, now: float
    ) -> None:
        """Records the rest of a cold phase that an answer tells.

        Args:
            server: The server that answered.
            left_s: The rest in seconds.
            now: Monotonic time in seconds.
        """
        entry = self._server_registry.find(server[0])
        if (
            entry is None
            or entry.address != server[1]
            or entry.service not in self._rates_by_pool()
            or not self._server_registry.cold.record_told(
                entry.name, left_s, now
            )
        ):
            return
        last_at = self._broadcast_at.get(entry.name, -math.inf)
        if now - last_at >= BROADCAST_INTERVAL_S:
            self._broadcast_at[entry.name] = now
            body = [entry.name, entry.started_ms, left_s]
            eventlet.spawn_n(self._members.broadcast, COLD_KIND, body)

    def _serve_report(self, sender: str, body: Any) -> None:
        del sender
        with decoding.reading("a report of a cold server"):
            name, started_ms, left_s = body
            decoding.number(left_s, 0.0, fleet.MAX_COLD_S)
        entry = self._server_registry.find(name)
        if entry is not None and entry.started_ms == started_ms:
            self._server_registry.cold.record_told(
                entry.name, left_s, self._clock()
            )

    def encode(self, names: Iterable[str]) -> list[list[Any]]:
        """Returns what is known of the cold phases of servers, for peers."""
        pools = self._rates_by_pool()
        known = [
            entry.name
            for entry in map(self._server_registry.find, names)
            if entry is not None and entry.service in pools
        ]
        return self._server_registry.cold.encode(self._clock(), known)

    def apply(self, rows: Iterable[Any]) -> None:
        """Applies what a peer knows of cold phases.

        Raises:
            DecodingError: A row is malformed.
        """
        self._server_registry.cold.apply(rows, self._clock())


def new_cold_limits(
    holder: fleet.ConfigurationHolder,
    server_registry: fleet.ServerRegistry,
    members: membership.Membership,
    events: log.EventLog,
    clock: model.Clock,
    bounds: ColdBounds,
) -> ColdLimits:
    """Returns the limits of cold servers, with their peer handler.

    Args:
        holder: The configuration, which names the rates.
        server_registry: The backend servers, and until when they are cold.
        members: The other entry VMs.
        events: Log of the cold phases.
        clock: Monotonic time in seconds.
        bounds: What the deployment tolerates.
    """
    return ColdLimits(holder, server_registry, members, events, clock, bounds)
