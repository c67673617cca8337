"""Keeps the backend servers of each pool and chooses among them."""

from collections.abc import Iterable

from savoryspar import backends, log
from savoryspar.routing import exceptions, model

DEFAULT_LIMIT = 8
"""Concurrent calls to one server."""
RETRY_AFTER_S = 1.0


class Router:
    """Chooses the server with the fewest calls of this process."""

    __slots__ = ("_decisions", "_in_flight", "_leaving", "_servers")

    def __init__(self, decisions: log.DecisionLog):
        self._decisions = decisions
        self._servers: dict[str, dict[str, backends.Server]] = {}
        self._in_flight: dict[str, int] = {}
        self._leaving: set[str] = set()

    def replace_servers(
        self, servers: Iterable[backends.Server], now: float
    ) -> None:
        """Takes the live servers from the VM list."""
        del now
        pools: dict[str, dict[str, backends.Server]] = {}
        for server in servers:
            pools.setdefault(server.pool, {})[server.name] = server
        self._servers = pools

    def has_servers(self) -> bool:
        """Tells whether any backend server is known."""
        return bool(self._servers)

    def mark_leaving(self, server: str, now: float) -> None:
        """Stops new work to a server that said that it is leaving."""
        del now
        self._leaving.add(server)

    def capacity(self, pool: str, now: float) -> int:
        """Returns the calls that the pool takes at a time."""
        del now
        return DEFAULT_LIMIT * len(self._servers.get(pool, ()))

    def choose(self, call: model.Call, now: float) -> model.Choice:
        """Chooses a server and counts the call as in flight.

        Raises:
            NoServerError: No server can take the call.
        """
        candidates = [
            server
            for server in self._servers.get(call.pool, {}).values()
            if server.name not in call.excluded
            and server.name not in self._leaving
        ]
        if not candidates:
            raise exceptions.NoServerError(
                call.pool, "none is live", RETRY_AFTER_S
            )
        server = min(
            candidates, key=lambda s: (self._in_flight.get(s.name, 0), s.name)
        )
        self._in_flight[server.name] = self._in_flight.get(server.name, 0) + 1
        self._decisions.record(
            log.Decision(
                "routing",
                call.request_id,
                call.stage,
                call.rank,
                call.workspace,
                len(candidates),
                server.name,
                "least_in_flight",
            )
        )
        return model.Choice(server, call, now)

    def observe(
        self,
        choice: model.Choice,
        outcome: model.Outcome,
        load: int,
        now: float,
    ) -> None:
        """Learns how a call ended and the load that the server reported."""
        del outcome, load, now
        self._in_flight[choice.server.name] -= 1


def new_router(decisions: log.DecisionLog) -> Router:
    """Returns a router without servers."""
    return Router(decisions)
