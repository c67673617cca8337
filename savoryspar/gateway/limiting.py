"""Rate limits of backend servers: what this VM knows and what it sends."""

from savoryspar import log, ratelimits

LOG_INTERVAL_S = 1.0
"""Shortest time between two log lines about the limit of one server, which may
name another limit in each answer."""
INVALID_LOG_INTERVAL_S = 10.0
"""Shortest time between two log lines about malformed limits of one server."""


class FleetLimiter:
    """Limits of servers; construct with ``new_fleet_limiter``.

    Attributes:
        table: Newest statement of each server.
        sends: Requests to servers that name a limit, since the start.
    """

    __slots__ = (
        "_events",
        "_invalid_logged_at",
        "_logged_at",
        "sends",
        "table",
    )

    def __init__(self, events: log.EventLog):
        self.table = ratelimits.new_limit_table()
        self.sends = 0
        self._events = events
        self._logged_at: dict[ratelimits.Server, float] = {}
        self._invalid_logged_at: dict[ratelimits.Server, float] = {}

    def record_send(self, server: ratelimits.Server, now: float) -> None:
        """Records that a request is being sent to a server."""
        del now
        if self.table.limit(server) is not None:
            self.sends += 1
            self.table.record_send(server)

    def record_answer(
        self,
        server: ratelimits.Server,
        limit_per_s: float | None,
        invalid_limit: str,
        sent_at: float,
        now: float,
    ) -> None:
        """Records the rate limit in the head of an answer."""
        if invalid_limit:
            self._log_invalid(server, invalid_limit, now)
            return
        previous = self.table.record_answer(server, limit_per_s, sent_at, now)
        if previous is not None:
            self._log_change(server, previous, now)

    def _log_change(
        self,
        server: ratelimits.Server,
        previous: ratelimits.Statement,
        now: float,
    ) -> None:
        if now - self._logged_at.get(server, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._logged_at[server] = now
        statement = self.table.statement(server)
        self._events.state_change(
            "server limit",
            now,
            server=server[0],
            limit_per_s=statement.limit_per_s,
            previous_per_s=previous.limit_per_s,
            age_s=round(now - statement.said_at, 3),
            previous_age_s=round(now - previous.said_at, 3),
            source=statement.source or "answer",
            sends=previous.sends,
        )

    def _log_invalid(
        self, server: ratelimits.Server, text: str, now: float
    ) -> None:
        last = self._invalid_logged_at.get(server, -INVALID_LOG_INTERVAL_S)
        if now - last < INVALID_LOG_INTERVAL_S:
            return
        self._invalid_logged_at[server] = now
        self._events.state_change(
            "server limit ignored", now, server=server[0], text=text
        )


def new_fleet_limiter(events: log.EventLog) -> FleetLimiter:
    """Returns a limiter that knows no limits."""
    return FleetLimiter(events)
