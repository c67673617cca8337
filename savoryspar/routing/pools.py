"""Servers of one pool that this process uses."""

from collections.abc import Sequence

from savoryspar import backends
from savoryspar.routing import budgets, limits, options, servers


class Pool:
    """Server states and retry budget of a pool; create it with ``new_pool``.

    Attributes:
        states: Server states by server name.
        retries: Retry budget.
    """

    __slots__ = (
        "_entries",
        "_home_regions",
        "_listed",
        "_opts",
        "_subset_key",
        "retries",
        "states",
    )

    def __init__(self, opts: options.Options):
        self.states: dict[str, servers.ServerState] = {}
        self.retries = budgets.RetryBudget(
            opts.retry_ratio, opts.retry_reserve, opts.retry_max_tokens
        )
        self._opts = opts
        self._subset_key: object = None
        self._listed: Sequence[backends.Server] = ()
        self._entries: Sequence[backends.Server] = ()
        # Regions with servers that some requests may not leave.
        self._home_regions: frozenset[str] = frozenset()

    def replace(
        self,
        listed: Sequence[backends.Server],
        entries: Sequence[backends.Server],
    ) -> list[str]:
        """Replaces the live servers of the pool and the live entry VMs.

        The subset is recomputed only if one of the lists has changed.

        Returns:
            The names of servers that are new or have a new address.
        """
        key = (
            sorted((*server.key, server.region) for server in listed),
            sorted(entry.name for entry in entries),
        )
        if key == self._subset_key:
            return []
        self._subset_key = key
        self._listed, self._entries = listed, entries
        self._home_regions &= {server.region for server in listed}
        return self._choose_servers()

    def add_home_regions(self, home_regions: frozenset[str]) -> list[str]:
        """Adds servers of the regions that a request may not leave.

        Returns:
            The names of servers that are new.
        """
        if home_regions <= self._home_regions:
            return []
        found = home_regions & {server.region for server in self._listed}
        if found <= self._home_regions:
            return []
        self._home_regions |= found
        return self._choose_servers()

    def states_with(
        self, home_regions: frozenset[str]
    ) -> dict[str, servers.ServerState]:
        """Returns the states after ``add_home_regions``, without adding."""
        if home_regions <= self._home_regions:
            return self.states
        found = home_regions & {server.region for server in self._listed}
        if found <= self._home_regions:
            return self.states
        return self._subset_states(self._home_regions | found)

    def _subset_states(
        self, home_regions: frozenset[str]
    ) -> dict[str, servers.ServerState]:
        states = {}
        for server, tier in servers.choose_subset(
            self._listed, self._entries, self._opts, home_regions
        ):
            state = self.states.get(server.name)
            if state is None or not _is_same_instance(state.server, server):
                state = self._new_state(server, tier)
            states[server.name] = state
        return states

    def _choose_servers(self) -> list[str]:
        """Chooses the subset; returns what ``replace`` returns."""
        old, self.states = self.states, self._subset_states(self._home_regions)
        return [
            name
            for name, state in self.states.items()
            if old.get(name) is not state
        ]

    def _new_state(
        self, server: backends.Server, tier: servers.Tier
    ) -> servers.ServerState:
        limit = limits.new_limit(
            self._opts.limit,
            self._opts.initial_limit,
            self._opts.hard_limit,
        )
        return servers.ServerState(server, tier, limit)


def _is_same_instance(known: backends.Server, server: backends.Server) -> bool:
    """Returns whether a server has kept its address and its region."""
    return (known.address, known.region) == (server.address, server.region)


def new_pool(opts: options.Options) -> Pool:
    """Returns a pool without servers."""
    return Pool(opts)
