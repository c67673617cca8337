"""Places the requests that are suspected of crashing servers, one at a time.

The VM that places a pool's requests in one availability zone also places the
trials of the pool, of all VMs: it knows which engine of the zone has the least
load, and keeps other requests away from it during the trial. Every VM computes
the same one from the live members. A VM that reaches no other places its own
trials.
"""

from collections.abc import Iterable
import itertools
from typing import Any

from savoryspar import (
    blame,
    decoding,
    fleet,
    log,
    membership,
    routing,
    stages,
)
from savoryspar.gateway import model, placing

BEGIN_KIND = "trial_begin"
ANSWER_START_KIND = "trial_answer_start"
FINISH_KIND = "trial_finish"
BEGIN_TIMEOUT_S = 0.25
"""Timeout for a reply; a round trip between regions takes 40 ms."""
OWNER_BACKOFF_S = 1.0
"""Time for which a VM that did not answer is not asked."""
MAX_SERVERS_REJECTED = 3
"""Servers outside the home regions of a request that the owner of the trials
may choose until the request waits; it may know servers that this VM does not
know yet."""
MAX_OWNERS = 2
"""VMs that are asked before this one places its trial itself."""
KINDS = {
    placing.ANSWER_START_KIND: ANSWER_START_KIND,
    placing.FINISH_KIND: FINISH_KIND,
}
"""Kinds of the messages that a placement sends, for trials."""

Holder = tuple[str, int]
"""Incarnation of the VM that runs a trial, and the number of the trial."""


class TrialPlacer:
    """Places trials, own ones and those of peers that ask this VM.

    Attributes:
        begun: Trials of this VM since the start.
    """

    __slots__ = (
        "_clock",
        "_events",
        "_lanes",
        "_members",
        "_numbers",
        "_open_choices",
        "_owner_cache",
        "_router",
        "_server_registry",
        "_unreachable_until",
        "begun",
    )

    def __init__(
        self,
        router: routing.Router,
        server_registry: fleet.ServerRegistry,
        members: membership.Membership,
        events: log.EventLog,
        clock: model.Clock,
    ):
        self.begun = 0
        self._router = router
        self._server_registry = server_registry
        self._members = members
        self._events = events
        self._clock = clock
        self._lanes: dict[str, blame.TrialLane] = {}
        self._numbers = itertools.count(1)
        self._open_choices: dict[Holder, routing.Choice] = {}
        self._owner_cache = stages.GathererCache()
        self._unreachable_until: dict[str, float] = {}
        members.handle(BEGIN_KIND, self._serve_begin)
        members.handle(ANSWER_START_KIND, self._serve_answer_start)
        members.handle(FINISH_KIND, self._serve_finish)

    def begin(
        self, call: routing.Call, crashed: Iterable[str], now: float
    ) -> placing.Placement | None:
        """Chooses the server of a trial.

        Args:
            call: The call that must run alone.
            crashed: Servers of the crashes that make it a suspect. Another one
                is used if there is one, which may show that they are to blame.
            now: Monotonic time in seconds.

        Returns:
            The placement, None while another trial runs in the pool.

        Raises:
            NoServerError: No server can run it.
        """
        # The owner learns the home regions as names of servers that must not
        # run the trial, which VMs of earlier versions understand as well.
        call.excluded |= self._server_registry.names_outside(
            call.pool, call.home_regions
        )
        for _ in range(MAX_SERVERS_REJECTED):
            body = _begin_body(call, crashed, self._evacuated_servers())
            owner, reply = self._ask(call.pool, body, now)
            if reply["is_busy"]:
                return None
            if reply["refused_s"] is not None:
                raise routing.NoServerError(
                    call.pool, reply["reason"], reply["refused_s"]
                )
            self.begun += 1
            placement, is_outside = self._placement(call, owner, reply)
            if not is_outside:
                return placement
            now = self._clock()
        return None

    def _evacuated_servers(self) -> frozenset[str]:
        return frozenset(
            entry.name for entry in self._server_registry.evacuated_servers()
        )

    def _placement(
        self, call: routing.Call, owner: str, reply: dict[str, Any]
    ) -> tuple[placing.Placement | None, bool]:
        """Returns the placement that an owner chose.

        Returns:
            The placement, None if the server may not be used, and whether that
            is because it is outside the home regions.
        """
        name, address, region, zone = reply["server"]
        number = int(reply["number"])

        def notify(kind: str, values: list) -> None:
            self._notify(owner, KINDS[kind], [number, *values])

        server = placing.placed_server(
            self._server_registry, name, address, region, zone, call.pool
        )
        placement = placing.Placement(
            server, owner, "trial", self._router, None, notify
        )
        now = self._clock()
        reason = placing.exclusion(
            self._server_registry, server, region, call.home_regions
        )
        if reason is None and self._router.availability.may_send(
            server.key, now
        ):
            return placement, False
        # The owner may be cut off from the store.
        placement.finish(routing.Outcome.CANCELLED, None, now)
        call.excluded |= {name}
        is_outside = reason is fleet.Exclusion.OUTSIDE_HOME_REGIONS
        if is_outside:
            placing.log_outside(self._events, call, owner, server, now)
        return None, is_outside

    def _ask(
        self, pool: str, body: list, now: float
    ) -> tuple[str, dict[str, Any]]:
        """Asks the owner of the pool's trials, or decides here.

        Returns:
            The incarnation that decided, and its reply.
        """
        own = self._members.incarnation
        for _ in range(MAX_OWNERS):
            owner = self._owner(pool, now)
            if owner == own:
                break
            try:
                reply = self._members.request(
                    owner, BEGIN_KIND, body, BEGIN_TIMEOUT_S
                )
                if "is_busy" in reply:
                    return owner, reply
                cause = "the reply is malformed"
            except (membership.PeerUnreachableError, TypeError) as exc:
                cause = str(exc)
            now = self._clock()
            self._unreachable_until = {
                n: until
                for n, until in self._unreachable_until.items()
                if until > now
            } | {owner: now + OWNER_BACKOFF_S}
            self._events.state_change(
                "trial owner lost", now, pool=pool, owner=owner, cause=cause
            )
        return own, self._serve_begin(own, body)

    def _owner(self, pool: str, now: float) -> str:
        unreachable = frozenset(
            n for n, until in self._unreachable_until.items() if until > now
        )
        zones = self._server_registry.zones_of(pool)
        zone = max(
            zones,
            key=lambda z: stages.rendezvous(z, pool),
            default=self._members.zone,
        )
        member = self._owner_cache.choose(
            pool, zone, self._members.all_members(now), unreachable
        )
        return member.incarnation if member else self._members.incarnation

    def _notify(self, owner: str, kind: str, body: list) -> None:
        own = self._members.incarnation
        if owner == own:
            handlers = {
                ANSWER_START_KIND: self._serve_answer_start,
                FINISH_KIND: self._serve_finish,
            }
            handlers[kind](own, body)
        elif not self._members.send_message(owner, kind, body):
            # The lane is free again after its timeout.
            self._events.state_change(
                "placer not told", self._clock(), kind=kind, peer=owner
            )

    def _serve_begin(self, sender: str, body: Any) -> dict[str, Any]:
        (
            pool,
            request_id,
            workspace,
            rank,
            model_name,
            tokens,
            excluded,
            crashed,
        ) = body
        now = self._clock()
        self._expire(now)
        call = routing.Call(
            str(request_id),
            str(workspace),
            str(rank),
            "",
            str(pool),
            str(model_name),
            "",
            frozenset(map(str, excluded)),
            prompt_tokens=decoding.integer(tokens, 0),
        )
        lane = self._lanes.setdefault(call.pool, blame.new_trial_lane())
        if not lane.is_free(now):
            return {"is_busy": True}
        zones = [self._members.zone]
        try:
            call.server = self._router.quietest(
                pool, zones, call.excluded, frozenset(crashed), now
            ).name
            choice = self._router.choose(call, now)
        except routing.NoServerError as exc:
            return {
                "is_busy": False,
                "refused_s": exc.retry_after_s,
                "reason": str(exc),
            }
        number = next(self._numbers)
        self._open_choices[sender, number] = choice
        self._router.reserve(choice, lane.begin((sender, number), now), now)
        server = choice.server
        self._events.state_change(
            "trial begins",
            now,
            pool=pool,
            server=server.name,
            version=server.version,
            running=choice.state.in_flight - 1,
            peer=sender,
        )
        return {
            "is_busy": False,
            "refused_s": None,
            "number": number,
            "server": [
                server.name,
                server.address,
                server.region,
                server.zone,
            ],
        }

    def _serve_answer_start(self, sender: str, body: Any) -> None:
        holder = (sender, int(body[0]))
        choice = self._open_choices.get(holder)
        if choice is None:
            return
        now = self._clock()
        self._router.record_answer_start(choice, now)
        until = self._lanes[choice.call.pool].record_answer_start(holder, now)
        if until is not None:
            self._router.reserve(choice, until, now)

    def _serve_finish(self, sender: str, body: Any) -> None:
        number, outcome, load, *_ = body
        holder = (sender, decoding.integer(number, 0))
        decoding.integer(load, -1)
        choice = self._open_choices.get(holder)
        if choice is not None:
            self._end(holder, routing.Outcome(outcome), load, self._clock())

    def _end(
        self,
        holder: Holder,
        outcome: routing.Outcome,
        load: int,
        now: float,
    ) -> None:
        choice = self._open_choices.pop(holder)
        lane = self._lanes[choice.call.pool]
        if lane.is_held_by(holder):
            lane.end(holder, outcome is routing.Outcome.CRASHED, now)
            self._router.reserve(choice, now, now)
        self._router.observe(choice, outcome, load, now)
        self._events.state_change(
            "trial ends",
            now,
            pool=choice.call.pool,
            server=choice.server.name,
            outcome=outcome.value,
            took_s=round(now - choice.chosen_at, 3),
            peer=holder[0],
        )

    def _expire(self, now: float) -> None:
        expired = [
            holder
            for holder, choice in self._open_choices.items()
            if now - choice.chosen_at > placing.PLACEMENT_TTL_S
        ]
        for holder in expired:
            self._end(holder, routing.Outcome.CANCELLED, -1, now)


def _begin_body(
    call: routing.Call, crashed: Iterable[str], evacuated: frozenset[str]
) -> list:
    """Returns the message that asks for the server of a trial.

    Args:
        call: The call.
        crashed: Servers of the crashes that make it a suspect.
        evacuated: Servers of evacuated zones, of which the owner may not know
            yet.
    """
    return [
        call.pool,
        call.request_id,
        call.workspace,
        call.rank,
        call.model,
        call.prompt_tokens,
        sorted(call.excluded | evacuated),
        sorted(crashed),
    ]


def new_trial_placer(
    router: routing.Router,
    server_registry: fleet.ServerRegistry,
    members: membership.Membership,
    events: log.EventLog,
    clock: model.Clock,
) -> TrialPlacer:
    """Returns a placer of trials, with its peer handlers registered."""
    return TrialPlacer(router, server_registry, members, events, clock)
