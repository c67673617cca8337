"""Which servers of a pool may take a call."""

from collections.abc import Sequence

from savoryspar.routing import budgets, exceptions, model, servers

RETRY_AFTER_S = 1.0
WAIT_S = 0.02
"""Time between two looks for a server that must be free of calls."""
DRAIN_S = 1.0
"""How long a server gets no work for a call that must run alone."""


def probe(
    states: Sequence[servers.ServerState], call: model.Call, now: float
) -> servers.ServerState | None:
    """Returns a server that was taken out and is due for a probe.

    Only first attempts probe, so that no request fails twice for probes.
    """
    if call.is_alone or call.excluded:
        return None
    return next(
        (
            state
            for state in states
            if state.health.may_probe(now)
            and not state.is_closed(now)
            and state.has_room(now)
            and state.tier is not servers.Tier.ELSEWHERE
        ),
        None,
    )


def candidates(
    states: Sequence[servers.ServerState],
    call: model.Call,
    bytes_across: budgets.ByteBudget,
    now: float,
) -> Sequence[servers.ServerState]:
    """Returns the servers that a policy chooses among.

    Servers with room come first. Servers of another region are left out while
    the cap on traffic to other regions is used up.

    Raises:
        NoServerError: No server can take the call.
    """
    usable = [state for state in states if not state.health.is_out]
    if not usable:
        return [_last_resort(states, call, now)]
    opened = [state for state in usable if not state.is_closed(now)]
    if not opened:
        raise exceptions.NoServerError(
            call.pool, "a suspect runs alone", WAIT_S, is_waiting=True
        )
    if not bytes_across.allows(call.size_bytes, now):
        near = servers.Tier.REGION
        opened = [state for state in opened if state.tier <= near]
        if not opened:
            raise exceptions.NoServerError(
                call.pool,
                "no server of the own region is usable and the cap on"
                " traffic to other regions is reached",
                RETRY_AFTER_S,
            )
    with_room = [state for state in opened if state.has_room(now)]
    return with_room or _nearest(opened)


def alone(
    states: Sequence[servers.ServerState], call: model.Call, now: float
) -> servers.ServerState:
    """Returns a server without calls for a call that must run alone.

    When none is free, the one with the fewest calls is drained. At most half
    of the servers run such calls, so that other work goes on. A server that
    crashed just now gets none: its end would look like a second crash.

    Raises:
        NoServerError: None is free yet, or none can take the call.
    """
    usable = [state for state in states if not state.health.is_out]
    if not usable:
        return _last_resort(states, call, now)
    usable = _nearest(usable)
    waiting = exceptions.NoServerError(
        call.pool, "a suspect waits for a free server", WAIT_S, is_waiting=True
    )
    if sum(state.is_alone for state in usable) >= max(1, len(usable) // 2):
        raise waiting
    settled = [state for state in usable if state.is_settled(now)]
    free = [state for state in settled if not state.in_flight]
    if free:
        return min(free, key=lambda s: (s.load(now), s.server.name))
    if settled and not any(state.drained_until > now for state in settled):
        least = min(settled, key=lambda s: s.in_flight)
        least.drained_until = now + DRAIN_S
    raise waiting


def _nearest(
    states: Sequence[servers.ServerState],
) -> Sequence[servers.ServerState]:
    near = [s for s in states if s.tier is not servers.Tier.ELSEWHERE]
    return near or states


def _last_resort(
    states: Sequence[servers.ServerState], call: model.Call, now: float
) -> servers.ServerState:
    if not states:
        raise exceptions.NoServerError(call.pool, "none is live", RETRY_AFTER_S)
    known = [state for state in states if not state.health.is_unreachable]
    due = known or [state for state in states if state.health.may_probe(now)]
    if not due:
        raise exceptions.NoServerError(
            call.pool,
            "all refused a connection",
            max(WAIT_S, min(state.health.probe_at for state in states) - now),
        )
    return min(due, key=lambda s: (s.tier, s.in_flight))
