"""Keeps the backend servers of each pool and chooses among them."""

from collections.abc import Iterable, Sequence
import zlib

from savoryspar import backends, log
from savoryspar.routing import (
    budgets,
    departures,
    exceptions,
    model,
    options,
    outliers,
    policies,
    pools,
    selection,
    servers,
    suspects,
)

FAILURES = frozenset(
    {model.Outcome.REFUSED, model.Outcome.FAILED, model.Outcome.CRASHED}
)

TYPICAL_S = 0.1
"""Time until a stream begins besides the prompts to read: a network round trip
between regions and a few steps of the engine."""


class Router:
    """Chooses servers; construct it with ``new_router``.

    Attributes:
        notices: What servers said of themselves.
        suspects: Requests that may crash the servers that run them.
    """

    __slots__ = (
        "_bytes_across",
        "_decisions",
        "_departures",
        "_logger",
        "_opts",
        "_policy",
        "_pools",
        "availability",
        "suspects",
    )

    def __init__(
        self,
        decisions: log.DecisionLog,
        opts: options.Options,
        policy: policies.Policy,
        availability: backends.ServerAvailability,
    ):
        self.availability = availability
        self._decisions = decisions
        self._opts = opts
        self._policy = policy
        self._pools: dict[str, pools.Pool] = {}
        self._departures = departures.Departures()
        self._bytes_across = budgets.ByteBudget(opts.region_bytes_per_s)
        self._logger = log.new_logger("routing")
        self.suspects = suspects.new_suspects(is_enabled=opts.has_suspects)

    def replace_servers(
        self,
        live: Iterable[backends.Server],
        now: float,
        leaving: Iterable[backends.Server] = (),
        entries: Sequence[backends.Server] = (),
    ) -> None:
        """Takes the VM list: backend servers, and entry VMs as peers."""
        live = [*live]
        self._departures.update(
            {server.name: server.address for server in live},
            {server.name: server.address for server in leaving},
        )
        by_pool: dict[str, list[backends.Server]] = {
            name: [] for name in self._pools
        }
        for server in live:
            by_pool.setdefault(server.pool, []).append(server)
        for name, listed in by_pool.items():
            for server in self._pool(name).replace(listed, entries):
                policies.forget_server(self._policy, server, now)

    def has_servers(self) -> bool:
        """Tells whether any backend server is known."""
        return any(pool.states for pool in self._pools.values())

    def mark_leaving(self, server: str, now: float, address: str = "") -> None:
        """Stops new work to a server that said that it is leaving.

        Args:
            server: Its name.
            now: Monotonic time in seconds.
            address: Where it said so; a late word of an earlier instance at
                another address changes nothing. Empty for the listed one.
        """
        del now
        for pool in self._pools.values():
            state = pool.states.get(server)
            if state is None or server in self._departures:
                continue
            if address in ("", state.server.address):
                self._departures.mark(server, state.server.address)
                self._logger.notice(f"Server is leaving. server={server}")

    def capacity(self, pool: str, now: float) -> int:
        """Returns the calls that the pool takes at a time.

        Servers of another region count for a share of the own region's limit,
        or in full when the own region has none. A server that is due for a
        probe counts for one call, else nothing would ever probe it.
        """
        near = far = 0
        for state in self._live(pool, frozenset()):
            calls = state.limit.calls
            if state.health.is_out:
                calls = int(state.health.may_probe(now))
            elif state.is_closed(now):
                calls = 1
            if state.tier is servers.Tier.ELSEWHERE:
                far += calls
            else:
                near += calls
        if not near:
            return far
        return near + min(far, int(near * self._opts.region_spill))

    def least_pending_s(self, pool: str, zone: str) -> float:
        """Returns the shortest time to read prompts that wait in a zone."""
        return min(
            (
                state.pending_s
                for state in self._live(pool, frozenset())
                if state.server.zone == zone and not state.health.is_out
            ),
            default=0.0,
        )

    def servers_of(self, pool: str) -> list[backends.Server]:
        """Returns the servers of a pool that this process uses."""
        return [state.server for state in self._live(pool, frozenset())]

    def choose(self, call: model.Call, now: float) -> model.Choice:
        """Chooses a server and counts the call as in flight.

        Raises:
            NoServerError: No server can take the call.
        """
        states = [
            state
            for state in self._live(call.pool, call.excluded)
            if call.zone in ("", state.server.zone)
        ]
        states = self._willing(states, call.pool, now)
        probed = selection.probe(states, call, now)
        if probed is not None:
            state, reason, count = probed, "probe", 1
            state.health.is_probing = True
        elif call.is_alone:
            state, count = selection.alone(states, call, now), 1
            state.is_alone, state.drained_until = True, 0.0
            reason = "suspect_alone"
        else:
            found = selection.candidates(states, call, self._bytes_across, now)
            count = len(found)
            state, reason = policies.pick(self._policy, found, call, now)
        choice = model.Choice(
            state.server, call, now, probed is not None, state
        )
        choice.reason = reason
        self._start(choice, now)
        self._decisions.record(
            log.Decision(
                "routing",
                call.request_id,
                call.stage,
                call.rank,
                call.workspace,
                count,
                state.server.name,
                reason,
            )
        )
        return choice

    def record_answer_start(self, choice: model.Choice, now: float) -> None:
        """Learns that an answer began: its prompt is read."""
        if choice.answer_started_at is None:
            choice.answer_started_at = now
            choice.state.pending_s -= choice.prefill_s

    def update_load(self, choice: model.Choice, load: int, now: float) -> None:
        """Takes the load that a server reported while a call goes on."""
        if load >= 0:
            choice.state.update_load(load, now)

    def take_report(
        self, server: backends.Server, running: int, waiting: int, now: float
    ) -> None:
        """Takes a load report that was read from the server."""
        state = self._pool(server.pool).states.get(server.name)
        if state is not None and state.server.address == server.address:
            state.update_load(running + waiting, now)
            state.limit.take_queue(running, waiting)

    def take_cache_events(
        self, server: str, report: backends.CacheReport, now: float
    ) -> None:
        """Takes the cache events of a server."""
        policies.take_cache_events(self._policy, server, report, now)

    def observe(
        self,
        choice: model.Choice,
        outcome: model.Outcome,
        load: int,
        now: float,
    ) -> None:
        """Learns how a call ended and the load that the server reported."""
        state = choice.state
        state.in_flight -= 1
        if choice.answer_started_at is None:
            state.pending_s -= choice.prefill_s
        if choice.call.is_alone:
            state.is_alone = False
        if outcome is model.Outcome.CRASHED:
            state.crashed_at = now
        self.update_load(choice, load, now)
        began_at = (
            now
            if choice.answer_started_at is None
            else choice.answer_started_at
        )
        latency_s = _comparable(began_at - choice.chosen_at, choice)
        if outcome is model.Outcome.OK:
            state.limit.sample(latency_s, state.in_flight + 1)
            state.health.record(True, latency_s, now)
        elif outcome in FAILURES:
            state.health.record(False, latency_s, now)
        elif outcome is model.Outcome.UNREACHABLE:
            state.health.refuse(now)
            policies.forget_server(self._policy, state.server.name, now)
        elif choice.is_probe:
            state.health.cancel_probe()
        if outcome is model.Outcome.REFUSED:
            state.limit.take_refusal()
        self._judge(choice.call.pool, state, now)

    def record_call(self, pool: str) -> None:
        """Counts a first call, which earns a part of a retry."""
        self._pool(pool).retries.earn()

    def may_retry(self, pool: str, now: float) -> bool:
        """Tells whether the pool's retry budget allows a retry."""
        del now
        return self._pool(pool).retries.has_token

    def spend_retry(self, pool: str, now: float) -> None:
        """Takes a retry from the pool's budget."""
        del now
        self._pool(pool).retries.spend()

    def status(self, now: float) -> dict[str, dict[str, dict[str, object]]]:
        """Returns the state of each server by pool and name."""
        return {
            name: {
                server: {
                    "in_flight": state.in_flight,
                    "load": round(state.load(now), 2),
                    "limit": state.limit.calls,
                    "is_out": state.health.is_out,
                    "is_leaving": server in self._departures,
                    "error_rate": round(state.health.error_rate, 3),
                    "latency_s": round(state.health.latency_s, 4),
                }
                for server, state in pool.states.items()
            }
            for name, pool in self._pools.items()
        }

    def _start(self, choice: model.Choice, now: float) -> None:
        state, call = choice.state, choice.call
        if call.prompt_tokens:
            cached = policies.cached_blocks(
                self._policy, state.server.name, call
            )
            choice.expected_s = policies.expected_s(state, call, cached)
            choice.prefill_s = policies.prefill_s(call, cached)
        policies.note_choice(self._policy, state.server.name, call, now)
        state.pending_s += choice.prefill_s
        state.in_flight += 1
        if state.in_flight > 1:
            state.shared_at = now
        if not call.excluded:
            self.record_call(call.pool)
        if state.tier is servers.Tier.ELSEWHERE:
            self._bytes_across.spend(call.size_bytes, now)

    def _judge(self, pool: str, state: servers.ServerState, now: float) -> None:
        healths = [s.health for s in self._pool(pool).states.values()]
        if outliers.judge(state.health, healths, self._opts.max_ejected, now):
            self._logger.warning(
                f"Server ejected. server={state.server.name}"
                f" error_rate={state.health.error_rate:.2f}"
                f" latency_s={state.health.latency_s:.3f}"
            )

    def _live(
        self, pool: str, excluded: frozenset[str]
    ) -> list[servers.ServerState]:
        found = self._pools.get(pool)
        if found is None:
            return []
        return [
            state
            for name, state in found.states.items()
            if name not in excluded and name not in self._departures
        ]

    def _willing(
        self, states: Sequence[servers.ServerState], pool: str, now: float
    ) -> Sequence[servers.ServerState]:
        """Returns the servers that did not ask to be left alone.

        Raises:
            NoServerError: All of them did; no server is a last resort then.
        """
        willing = [
            state
            for state in states
            if self.availability.may_send(state.server.key, now)
        ]
        if states and not willing:
            pause_s = self.availability.shortest_pause_s(
                [state.server.key for state in states], now
            )
            raise exceptions.NoServerError(
                pool,
                "all said that they are leaving or want no work now",
                pause_s or selection.RETRY_AFTER_S,
            )
        return willing

    def _pool(self, name: str) -> pools.Pool:
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = pools.new_pool(self._opts)
        return pool


def _comparable(latency_s: float, choice: model.Choice) -> float:
    """Returns a latency that can be compared between prompts of any length."""
    if not choice.expected_s:
        return latency_s
    return latency_s * TYPICAL_S / (choice.expected_s + TYPICAL_S)


def new_router(
    decisions: log.DecisionLog,
    opts: options.Options | None = None,
    availability: backends.ServerAvailability | None = None,
) -> Router:
    """Returns a router without servers.

    Args:
        decisions: Where decisions are logged.
        opts: Own place and settings; the defaults when None.
        notices: What servers said of themselves; nothing when None.
    """
    opts = opts or options.Options()
    seed = zlib.crc32(opts.name.encode())
    return Router(
        decisions,
        opts,
        policies.new_policy(opts, seed),
        availability or backends.new_server_availability(),
    )
