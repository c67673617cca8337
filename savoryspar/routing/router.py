"""Tracks the backend servers of each pool and routes calls to them."""

from collections.abc import Callable, Iterable, Sequence
import math
import statistics
import zlib

from savoryspar import backends, fleet, log, ratelimits
from savoryspar.routing import (
    budgets,
    exceptions,
    leaving_servers,
    model,
    options,
    outliers,
    policies,
    pools,
    prefill_rates,
    selection,
    servers,
    suspects,
)

FAILURES = frozenset(
    {model.Outcome.REFUSED, model.Outcome.FAILED, model.Outcome.CRASHED}
)

JUDGED = FAILURES | {model.Outcome.OK, model.Outcome.UNREACHABLE}
"""Outcomes that tell how a server in its slow start answers."""
SLOW_FACTOR = 2.0
"""Ratio to the median latency of the pool from which an answer is slow."""

BASE_LATENCY_S = 0.1
"""Typical time to the first output without prefill: a network round trip
between regions and a few engine steps."""


class Router:
    """Routes calls to backend servers; create it with ``new_router``.

    Attributes:
        availability: Whether servers are leaving or have paused new work.
        limiter: Rate limits of the servers.
        prefill_rates: Prefill rates of the pools.
        suspects: Requests suspected of crashing servers.
    """

    __slots__ = (
        "_cross_region_bytes",
        "_decisions",
        "_leaving",
        "_logger",
        "_opts",
        "_policy",
        "_pools",
        "availability",
        "limiter",
        "prefill_rates",
        "suspects",
    )

    def __init__(
        self,
        decisions: log.DecisionLog,
        opts: options.Options,
        policy: policies.Policy,
        availability: backends.ServerAvailability,
        limiter: ratelimits.Limiter,
        rates: prefill_rates.PrefillRates,
    ):
        self.prefill_rates = rates
        self.availability = availability
        self.limiter = limiter
        self._decisions = decisions
        self._opts = opts
        self._policy = policy
        self._pools: dict[str, pools.Pool] = {}
        self._leaving = leaving_servers.LeavingServers()
        self._cross_region_bytes = budgets.ByteBudget(opts.region_bytes_per_s)
        self._logger = log.new_logger("routing")
        self.suspects = suspects.new_suspects(is_enabled=opts.track_suspects)

    def replace_servers(
        self,
        live: Iterable[backends.Server],
        now: float,
        leaving: Iterable[backends.Server] = (),
        entries: Sequence[backends.Server] = (),
    ) -> None:
        """Replaces the known servers with those of a VM list.

        Args:
            live: Live backend servers of all pools.
            now: Monotonic time in seconds.
            leaving: Backend servers that are shutting down.
            entries: Live entry VMs, which share the servers.
        """
        live = [*live]
        self._leaving.update(
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
                policies.invalidate_server(self._policy, server, now)

    def has_servers(self) -> bool:
        """Returns whether any backend server is known."""
        return any(pool.states for pool in self._pools.values())

    def mark_leaving(self, server: str, now: float, address: str = "") -> None:
        """Stops sending new calls to a server that announced its shutdown.

        Args:
            server: Name of the server.
            now: Monotonic time in seconds.
            address: Address that sent the announcement; a late one from an
                earlier instance at another address has no effect. Empty for
                the listed address.
        """
        del now
        for pool in self._pools.values():
            state = pool.states.get(server)
            if state is None or server in self._leaving:
                continue
            if address in ("", state.server.address):
                self._leaving.add(server, state.server.address)
                self._logger.notice(f"Server is leaving. server={server}")

    def capacity(self, pool: str, now: float) -> int:
        """Returns the number of concurrent calls that the pool can run.

        Servers of other regions count up to a share of the local region's
        capacity, or in full when the local region has none. A server that is
        due for a probe counts as one call, otherwise it would never be probed.
        """
        near = far = 0
        for state in self._not_leaving(pool, frozenset()):
            calls = state.limit.calls
            if state.health.is_out:
                calls = int(state.health.may_probe(now))
            elif state.is_reserved(now):
                calls = 1
            if state.tier is servers.Tier.ELSEWHERE:
                far += calls
            else:
                near += calls
        if not near:
            return far
        return near + min(far, int(near * self._opts.region_spill))

    def least_pending_s(self, pool: str, zone: str) -> float:
        """Returns the shortest pending prefill time of a server in a zone."""
        return min(
            (
                state.pending_s
                for state in self._not_leaving(pool, frozenset())
                if state.server.zone == zone and not state.health.is_out
            ),
            default=0.0,
        )

    def has_server(
        self,
        pool: str,
        home_regions: frozenset[str] | None,
        now: float,
        is_preview: bool = False,
    ) -> bool:
        """Returns whether a pool has a server that is not leaving.

        Args:
            pool: The pool.
            home_regions: Regions of the server, None for all.
            now: Monotonic time in seconds.
            is_preview: Whether no state may change.
        """
        return any(
            not self.availability.is_leaving(state.server.key)
            for state in self._eligible(
                pool, frozenset(), home_regions, now, is_preview
            )
        )

    def servers_of(self, pool: str) -> list[backends.Server]:
        """Returns the servers of a pool that this process uses."""
        return [state.server for state in self._not_leaving(pool, frozenset())]

    def choose(self, call: model.Call, now: float) -> model.Choice:
        """Chooses a server and counts the call as in flight.

        Raises:
            NoServerError: No server can accept the call.
        """
        states = self._in_reach(call, now)
        probed = selection.due_for_probe(states, call, now)
        if probed is not None:
            state, reason, count = probed, "probe", 1
            state.health.is_probing = True
        elif call.is_exclusive:
            state, count = selection.idle_server(states, call, now), 1
            state.is_exclusive, state.drained_until = True, 0.0
            reason = "suspect_alone"
        else:
            found = selection.candidates(
                states, call, self._cross_region_bytes, now
            )
            count = len(found)
            state, reason = policies.pick(self._policy, found, call, now)
        choice = model.Choice(
            state.server, call, now, probed is not None, state
        )
        choice.reason = reason
        self._record_start(choice, now)
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

    def _in_reach(
        self, call: model.Call, now: float, is_preview: bool = False
    ) -> Sequence[servers.ServerState]:
        """Returns the servers that may run a call and accept it.

        Raises:
            NoServerError: There is none.
        """
        states = [
            state
            for state in self._eligible(
                call.pool, call.excluded, call.home_regions, now, is_preview
            )
            if call.zone in ("", state.server.zone)
            and call.server in ("", state.server.name)
        ]
        return self._accepting(states, call, now, is_preview)

    def preview(
        self, call: model.Call, now: float
    ) -> tuple[backends.Server, str]:
        """Returns the server that ``choose`` most likely chooses, and why.

        No state changes. The call must not need a server of its own.

        Raises:
            NoServerError: No server can accept the call.
        """
        states = self._in_reach(call, now, is_preview=True)
        probed = selection.due_for_probe(states, call, now)
        if probed is not None:
            return probed.server, "probe"
        found = selection.candidates(
            states, call, self._cross_region_bytes, now
        )
        state = policies.preview(self._policy, found, call, now)
        return state.server, f"best of {len(found)}"

    def obstacles(
        self,
        pool: str,
        names: Iterable[str],
        home_regions: frozenset[str] | None,
        now: float,
    ) -> dict[str, tuple[selection.Obstacle, float]]:
        """Returns why calls avoid listed servers, by name; changes no state.

        Args:
            pool: Pool of the servers.
            names: Names of the servers.
            home_regions: Home regions of the call, None for all.
            now: Monotonic time in seconds.

        Returns:
            The reason, and the time in seconds after which it may end, 0 if
            that is not known. Servers that get calls are left out.
        """
        states = {
            state.server.name: state
            for state in self._eligible(
                pool, frozenset(), home_regions, now, is_preview=True
            )
        }
        found = {}
        for name in names:
            if name in states:
                found[name] = selection.obstacle(states[name], now)
            elif name in self._leaving:
                found[name] = selection.Obstacle.LEAVING, 0.0
            else:
                found[name] = selection.Obstacle.NOT_USED, 0.0
        return {name: why for name, why in found.items() if why is not None}

    def quietest(
        self,
        pool: str,
        zones: Sequence[str],
        excluded: frozenset[str],
        avoided: frozenset[str],
        now: float,
    ) -> backends.Server:
        """Returns the server with the least load that may run a trial.

        A server that has just crashed is not used, because a connection reset
        while its process ends would be mistaken for a second crash.

        Args:
            pool: Pool of the server.
            zones: Availability zones in the order of preference.
            excluded: Names of servers that must not run it.
            avoided: Names of servers that run it only if there is no other.
            now: Monotonic time in seconds.

        Raises:
            NoServerError: No server accepts calls.
        """
        usable = [
            state
            for state in self._not_leaving(pool, excluded)
            if state.is_settled(now)
            and (not state.health.is_out or state.health.may_probe(now))
            and self.availability.may_send(state.server.key, now)
            and not self._bound_wait_s(state, now)
        ]
        if not usable:
            raise exceptions.NoServerError(
                pool, "no server may run a trial", selection.RETRY_AFTER_S
            )
        order = {zone: number for number, zone in enumerate(zones)}
        return min(
            usable,
            key=lambda s: (
                s.server.name in avoided,
                order.get(s.server.zone, len(order)),
                s.health.is_out,
                s.load(now),
                s.server.name,
            ),
        ).server

    def reserve(self, choice: model.Choice, until: float, now: float) -> None:
        """Keeps other calls away from the server of a call for a time.

        The last server of a pool that is not reserved stays open.

        Args:
            choice: The choice for the call that runs alone.
            until: Monotonic time at which the reservation ends.
            now: Monotonic time in seconds.
        """
        others = self._not_leaving(
            choice.call.pool, frozenset({choice.server.name})
        )
        if any(
            not state.is_reserved(now) and not state.health.is_out
            for state in others
        ):
            choice.state.drained_until = until

    def record_answer_start(self, choice: model.Choice, now: float) -> None:
        """Records that an answer started, so its prompt is prefilled."""
        if choice.answer_started_at is not None:
            return
        choice.answer_started_at = now
        self._end_prefill(choice)
        self._record_result(
            choice, True, _normalized_s(now - choice.chosen_at, choice)
        )
        sample = choice.sample
        if sample is not None and sample.starts == choice.state.starts:
            self.prefill_rates.record_sample(
                choice.call.pool,
                sample.tokens,
                now - choice.chosen_at - sample.delay_s,
                now,
            )

    def update_load(self, choice: model.Choice, load: int, now: float) -> None:
        """Applies the load reported during a call; ignored if negative."""
        if load >= 0:
            choice.state.update_load(load, now)

    def record_load_report(
        self, server: backends.Server, running: int, waiting: int, now: float
    ) -> None:
        """Applies a load report that was read from the server."""
        state = self._pool(server.pool).states.get(server.name)
        if state is not None and state.server.address == server.address:
            state.update_load(running + waiting, now)
            state.limit.record_queue(running, waiting)

    def apply_cache_events(
        self, server: str, report: backends.CacheReport, now: float
    ) -> None:
        """Applies the cache events of a server."""
        policies.apply_cache_events(self._policy, server, report, now)

    def observe(
        self,
        choice: model.Choice,
        outcome: model.Outcome,
        load: int,
        now: float,
    ) -> None:
        """Records the outcome of a call.

        Args:
            choice: The choice returned for the call.
            outcome: How the call ended.
            load: Load that the server reported with the answer, -1 if none.
            now: Monotonic time in seconds.
        """
        state = choice.state
        state.in_flight -= 1
        if choice.answer_started_at is None:
            self._end_prefill(choice)
        if choice.call.is_exclusive:
            state.is_exclusive = False
        if outcome is model.Outcome.CRASHED:
            state.last_crash_at = now
        self.update_load(choice, load, now)
        began_at = (
            now
            if choice.answer_started_at is None
            else choice.answer_started_at
        )
        latency_s = _normalized_s(began_at - choice.chosen_at, choice)
        was_out = state.health.is_out
        self._record_health(choice, outcome, latency_s, now)
        self._check_outlier(choice.call.pool, state, now)
        if was_out and not state.health.is_out:
            self.limiter.record_recovery(state.server.key, now)

    def _record_health(
        self,
        choice: model.Choice,
        outcome: model.Outcome,
        latency_s: float,
        now: float,
    ) -> None:
        state = choice.state
        if outcome in JUDGED:
            self._record_result(choice, outcome is model.Outcome.OK, latency_s)
        if outcome is model.Outcome.OK:
            state.limit.record_latency(latency_s, state.in_flight + 1)
            state.health.record(True, latency_s, now)
        elif outcome in FAILURES:
            state.health.record(False, latency_s, now)
        elif outcome is model.Outcome.UNREACHABLE:
            state.health.mark_unreachable(now)
            policies.invalidate_server(self._policy, state.server.name, now)
        elif choice.is_probe:
            state.health.cancel_probe()
        if outcome is model.Outcome.REFUSED:
            state.limit.record_refusal()

    def record_call(self, pool: str) -> None:
        """Counts a first attempt, which earns a fraction of a retry."""
        self._pool(pool).retries.earn()

    def may_retry(self, pool: str, now: float) -> bool:
        """Returns whether the pool's retry budget allows a retry."""
        del now
        return self._pool(pool).retries.has_token

    def spend_retry(self, pool: str, now: float) -> None:
        """Removes a retry from the pool's budget."""
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
                    "is_leaving": server in self._leaving,
                    "error_rate": round(state.health.error_rate, 3),
                    "latency_s": round(state.health.latency_s, 4),
                }
                for server, state in pool.states.items()
            }
            for name, pool in self._pools.items()
        }

    def _record_start(self, choice: model.Choice, now: float) -> None:
        state, call = choice.state, choice.call
        if call.prompt_tokens:
            cached = policies.cached_blocks(
                self._policy, state.server.name, call
            )
            rate = self.prefill_rates.tokens_per_s(call.pool)
            choice.expected_s = policies.expected_s(state, call, cached, rate)
            choice.prefill_s = policies.prefill_s(call, cached, rate)
            choice.sample = _new_sample(choice, cached)
        policies.record_choice(self._policy, state.server.name, call, now)
        state.pending_s += choice.prefill_s
        state.pending += 1
        state.starts += 1
        state.in_flight += 1
        if state.in_flight > 1:
            state.last_shared_at = now
        if not call.excluded:
            self.record_call(call.pool)
        if state.tier is servers.Tier.ELSEWHERE:
            self._cross_region_bytes.spend(call.size_bytes, now)

    def _end_prefill(self, choice: model.Choice) -> None:
        """Subtracts what was added for the call, also if the rate changed."""
        choice.state.pending_s -= choice.prefill_s
        choice.state.pending -= 1

    def _check_outlier(
        self, pool: str, state: servers.ServerState, now: float
    ) -> None:
        pool_health = [s.health for s in self._pool(pool).states.values()]
        if outliers.eject_if_outlier(
            state.health, pool_health, self._opts.max_ejected, now
        ):
            self._logger.warning(
                f"Server ejected. server={state.server.name}"
                f" error_rate={state.health.error_rate:.2f}"
                f" latency_s={state.health.latency_s:.3f}"
            )

    def _not_leaving(
        self, pool: str, excluded: frozenset[str]
    ) -> list[servers.ServerState]:
        found = self._pools.get(pool)
        if found is None:
            return []
        return [
            state
            for name, state in found.states.items()
            if name not in excluded and name not in self._leaving
        ]

    def _eligible(
        self,
        pool: str,
        excluded: frozenset[str],
        home_regions: frozenset[str] | None,
        now: float,
        is_preview: bool = False,
    ) -> list[servers.ServerState]:
        """Returns the servers that a request with home regions may use.

        Servers of these regions are added to those that this process uses,
        unless ``is_preview`` is set.
        """
        if home_regions is None or pool not in self._pools:
            return self._not_leaving(pool, excluded)
        found = self._pools[pool]
        if is_preview:
            states = found.states_with(home_regions)
        else:
            for name in found.add_home_regions(home_regions):
                policies.invalidate_server(self._policy, name, now)
            states = found.states
        return [
            state
            for name, state in states.items()
            if name not in excluded
            and name not in self._leaving
            and fleet.is_at_home(state.server.region, home_regions)
        ]

    def limited(
        self,
        pool: str,
        excluded: frozenset[str],
        now: float,
        home_regions: frozenset[str] | None = None,
        is_preview: bool = False,
    ) -> list[backends.Server]:
        """Returns the servers that accept calls but have no permit free.

        The first one is expected to have a permit first.

        Args:
            pool: Pool of the servers.
            excluded: Names of servers that are left out.
            now: Monotonic time in seconds.
            home_regions: Regions of the servers, None for all.
            is_preview: Whether no state may change.
        """
        wait_s = self._permit_wait_s(is_preview)
        waits = [
            (wait_s(state.server.key, now), state.server)
            for state in self._eligible(
                pool, excluded, home_regions, now, is_preview
            )
            if self.limiter.is_limited(state.server.key)
            and self.availability.may_send(state.server.key, now)
        ]
        return [server for _, server in sorted(waits, key=lambda w: w[0])]

    def _accepting(
        self,
        states: Sequence[servers.ServerState],
        call: model.Call,
        now: float,
        is_preview: bool = False,
    ) -> Sequence[servers.ServerState]:
        """Returns the servers that accept the call.

        Raises:
            NoServerError: All servers are leaving, have paused new work or
                have no permit free.
        """
        wait_s = self._permit_wait_s(is_preview)
        available = [
            state
            for state in states
            if self.availability.may_send(state.server.key, now)
        ]
        accepting = [
            state
            for state in available
            if call.server or not wait_s(state.server.key, now)
        ]
        if call.ignores_pace and all(s.health.is_out for s in accepting):
            accepting = [
                state
                for state in available
                if not self._bound_wait_s(state, now, is_preview)
            ]
        elif self._must_ignore_pace(available, accepting, call):
            accepting = []
        if states and not accepting:
            waits = [wait_s(state.server.key, now) for state in available]
            pause_s = self.availability.shortest_pause_s(
                [state.server.key for state in states], now
            )
            raise exceptions.NoServerError(
                call.pool,
                "all servers are leaving, have paused new work or are at their"
                " rate limit",
                min(filter(None, [pause_s, *waits]), default=0.0)
                or selection.RETRY_AFTER_S,
            )
        return accepting

    def _must_ignore_pace(
        self,
        available: Sequence[servers.ServerState],
        accepting: Sequence[servers.ServerState],
        call: model.Call,
    ) -> bool:
        """Returns whether only servers in their slow start can take the call.

        Servers that are out of use are not preferred to them.
        """
        return (
            not call.zone
            and not call.server
            and all(state.health.is_out for state in accepting)
            and any(
                not state.health.is_out
                and self.limiter.is_starting(state.server.key)
                for state in available
            )
        )

    def _permit_wait_s(
        self, is_preview: bool
    ) -> Callable[[tuple[str, str], float], float]:
        """Returns the function that tells the wait for a permit."""
        limiter = self.limiter
        return limiter.preview_wait_s if is_preview else limiter.wait_s

    def _bound_wait_s(
        self, state: servers.ServerState, now: float, is_preview: bool = False
    ) -> float:
        """Returns the time until a permit is free, apart from a slow start."""
        key = state.server.key
        if not self.limiter.is_bound(key):
            return 0.0
        return self._permit_wait_s(is_preview)(key, now)

    def _record_result(
        self, choice: model.Choice, is_ok: bool, latency_s: float
    ) -> None:
        """Records how a server in its slow start answered a call.

        A call that began to be answered counts once more only if it failed.
        """
        key = choice.server.key
        if not self.limiter.is_starting(key) or (is_ok and choice.is_judged):
            return
        choice.is_judged = True
        result = ratelimits.Result.FAILED
        if is_ok:
            others = [
                state.health.latency_s
                for state in self._pool(choice.call.pool).states.values()
                if state is not choice.state
                and state.health.latency_s > 0.0
                and not state.health.is_out
            ]
            usual_s = statistics.median(others) if others else math.inf
            is_slow = latency_s > max(
                SLOW_FACTOR * usual_s, usual_s + outliers.LATENCY_MARGIN_S
            )
            result = (
                ratelimits.Result.SLOW if is_slow else ratelimits.Result.GOOD
            )
        self.limiter.record_result(key, result)

    def _pool(self, name: str) -> pools.Pool:
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = pools.new_pool(self._opts)
        return pool


def _normalized_s(latency_s: float, choice: model.Choice) -> float:
    """Returns the latency normalized for the length of the prompt."""
    if not choice.expected_s:
        return latency_s
    return latency_s * BASE_LATENCY_S / (choice.expected_s + BASE_LATENCY_S)


def _new_sample(
    choice: model.Choice, cached: float
) -> prefill_rates.Sample | None:
    """Returns a sample if the prefill rate may be measured with a call.

    The counters of the server do not include the call yet.

    Args:
        choice: The choice for the call.
        cached: Leading blocks of the prompt that the server has cached.
    """
    state, call = choice.state, choice.call
    if (
        call.report_delay_s is None
        or state.pending
        or choice.is_probe
        or call.is_exclusive
    ):
        return None
    delay_s = (
        call.report_delay_s
        + policies.ROUND_TRIP_S[state.tier]
        + state.in_flight * policies.DECODE_DELAY_S
    )
    tokens = policies.uncached_tokens(call, cached)
    return prefill_rates.Sample(tokens, delay_s, state.starts + 1)


def new_router(
    decisions: log.DecisionLog,
    opts: options.Options | None = None,
    availability: backends.ServerAvailability | None = None,
    limiter: ratelimits.Limiter | None = None,
) -> Router:
    """Creates a router without servers.

    Args:
        decisions: Log of the decisions.
        opts: Location and settings; the defaults when None.
        availability: Whether servers accept new work; when None, all do at
            first.
        limiter: Rate limits of the servers; nothing is limited when None.
    """
    opts = opts or options.Options()
    seed = zlib.crc32(opts.name.encode())
    rates = prefill_rates.new_prefill_rates(policies.PREFILL_TOKENS_PER_S)
    return Router(
        decisions,
        opts,
        policies.new_policy(opts, seed, rates),
        availability or backends.new_server_availability(),
        limiter or ratelimits.new_unlimited(),
        rates,
    )
