"""Selection of the servers of a pool that may run a call."""

from collections.abc import Sequence
import enum

from savoryspar.routing import budgets, exceptions, model, servers

RETRY_AFTER_S = 1.0
POLL_INTERVAL_S = 0.02
"""Retry interval of a call that waits for an idle or reserved server."""
DRAIN_TIMEOUT_S = 1.0
"""Time for which a server is drained for a call that must run alone."""


class Obstacle(enum.Enum):
    """Why calls avoid a listed server.

    Members:
        NOT_USED: This process uses other servers of the pool.
        LEAVING: It said that it is leaving.
        UNREACHABLE: It refused a connection and gets only probes.
        EJECTED: It is an outlier of its pool and gets only probes.
        RESERVED: It runs, or waits for, a call that must run alone.
        FULL: Its concurrency limit is reached.
    """

    NOT_USED = "not_used_by_this_vm"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    EJECTED = "ejected"
    RESERVED = "reserved_for_a_crash_suspect"
    FULL = "full"


def obstacle(
    state: servers.ServerState, now: float
) -> tuple[Obstacle, float] | None:
    """Returns why calls avoid a server and for how long, None if they don't.

    The time is in seconds, 0 if it is not known.
    """
    if state.health.is_out:
        reason = (
            Obstacle.UNREACHABLE
            if state.health.is_unreachable
            else Obstacle.EJECTED
        )
        return reason, max(0.0, state.health.probe_at - now)
    if state.is_reserved(now):
        return Obstacle.RESERVED, max(0.0, state.drained_until - now)
    if not state.has_room(now):
        return Obstacle.FULL, 0.0
    return None


def due_for_probe(
    states: Sequence[servers.ServerState], call: model.Call, now: float
) -> servers.ServerState | None:
    """Returns an ejected or unreachable server that is due for a probe.

    Only first attempts are probes, so that no request fails twice because of
    probes. A server of another region is probed by calls that may not leave
    that region.
    """
    if call.is_exclusive or call.excluded:
        return None
    has_no_near = call.home_regions is not None and all(
        state.tier is servers.Tier.ELSEWHERE for state in states
    )
    return next(
        (
            state
            for state in states
            if state.health.may_probe(now)
            and not state.is_reserved(now)
            and state.has_room(now)
            and (has_no_near or state.tier is not servers.Tier.ELSEWHERE)
        ),
        None,
    )


def candidates(
    states: Sequence[servers.ServerState],
    call: model.Call,
    cross_region_bytes: budgets.ByteBudget,
    now: float,
) -> Sequence[servers.ServerState]:
    """Returns the servers that a policy chooses among.

    Servers below their limit are preferred. Servers of other regions are
    excluded while the rate limit of cross-region traffic is exhausted.

    Raises:
        NoServerError: No server can accept the call.
    """
    usable = [state for state in states if not state.health.is_out]
    if not usable:
        return [_fallback(states, call, now)]
    unreserved = [state for state in usable if not state.is_reserved(now)]
    if not unreserved:
        raise exceptions.NoServerError(
            call.pool,
            "all servers are reserved for crash suspects",
            POLL_INTERVAL_S,
            is_busy=True,
        )
    if not cross_region_bytes.allows(call.size_bytes, now):
        near = servers.Tier.REGION
        unreserved = [state for state in unreserved if state.tier <= near]
        if not unreserved:
            raise exceptions.NoServerError(
                call.pool,
                "no server of the local region is usable and the rate limit"
                " of traffic to other regions is reached",
                RETRY_AFTER_S,
            )
    below_limit = [state for state in unreserved if state.has_room(now)]
    return below_limit or _nearest(unreserved)


def idle_server(
    states: Sequence[servers.ServerState], call: model.Call, now: float
) -> servers.ServerState:
    """Returns an idle server for a call that must run alone.

    When none is idle, the server with the fewest calls is drained. At most half
    of the servers run such calls, so that other calls can proceed. A server
    that has just crashed is not used, because a connection reset while its
    process ends would be mistaken for a second crash.

    Raises:
        NoServerError: No server is idle yet, or none can accept the call.
    """
    usable = [state for state in states if not state.health.is_out]
    if not usable:
        return _fallback(states, call, now)
    usable = _nearest(usable)
    not_idle = exceptions.NoServerError(
        call.pool,
        "a crash suspect waits for an idle server",
        POLL_INTERVAL_S,
        is_busy=True,
    )
    if sum(state.is_exclusive for state in usable) >= max(1, len(usable) // 2):
        raise not_idle
    settled = [state for state in usable if state.is_settled(now)]
    idle = [state for state in settled if not state.in_flight]
    if idle:
        return min(idle, key=lambda s: (s.load(now), s.server.name))
    if settled and not any(state.drained_until > now for state in settled):
        least = min(settled, key=lambda s: s.in_flight)
        least.drained_until = now + DRAIN_TIMEOUT_S
    raise not_idle


def _nearest(
    states: Sequence[servers.ServerState],
) -> Sequence[servers.ServerState]:
    near = [s for s in states if s.tier is not servers.Tier.ELSEWHERE]
    return near or states


def _fallback(
    states: Sequence[servers.ServerState], call: model.Call, now: float
) -> servers.ServerState:
    if not states:
        reason = "no server is live"
        if call.excluded:
            reason = (
                "no server is live besides those that failed or refused it:"
                f" {', '.join(sorted(call.excluded))}"
            )
        raise exceptions.NoServerError(call.pool, reason, RETRY_AFTER_S)
    reachable = [state for state in states if not state.health.is_unreachable]
    due = reachable or [
        state for state in states if state.health.may_probe(now)
    ]
    if not due:
        raise exceptions.NoServerError(
            call.pool,
            "all servers refused a connection",
            max(
                POLL_INTERVAL_S,
                min(state.health.probe_at for state in states) - now,
            ),
        )
    return min(due, key=lambda s: (s.tier, s.in_flight))
