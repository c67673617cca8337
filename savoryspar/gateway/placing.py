"""Places requests on backend servers, with one placing entry VM per zone.

The time to first token depends on the prompts queued at an engine and on the
prefixes that it has cached. One entry VM per pool and zone, the placer, places
the requests of all VMs on the zone's engines, so that its router tracks both.
If the placer does not answer in time, the VM places the request with its local
router.

Requests with the same long prefix prefer the same zone, the home zone of the
prefix, whose engines are likely to have it cached.
"""

from collections.abc import Callable
import itertools
import math
from typing import Any

from savoryspar import (
    backends,
    decoding,
    fleet,
    log,
    membership,
    platform,
    ratelimits,
    routing,
    stages,
)
from savoryspar.gateway import model

MAX_HASH = 2**64 - 1
PLACE_KIND = "place"
ANSWER_START_KIND = "placed_first"
FINISH_KIND = "placed_finish"
PLACE_TIMEOUT_S = 0.25
"""Timeout for a placer's reply; a round trip between regions takes 40 ms."""
REMOTE_COST_S = 0.08
"""Advantage in time to first token that another zone must have, to make up for
a round trip of 40 ms for the request and one for its stages."""
HOME_WEIGHT = 1.3
"""Weight of the prefill time saved by a cached prefix. It is above 1 because
prefill also delays the requests queued behind, and limited because the home
zone may have evicted the prefix."""
MIN_HOME_TOKENS = 6000
"""Shared tokens from which the home zone is preferred despite the distance;
their prefill takes 100 ms."""
REPORTED_WAIT_HALF_LIFE_S = 0.3
"""Age at which the estimate of a reported wait has halved."""
PLACEMENT_TTL_S = 60.0
"""Time after which a placement whose end was not reported expires."""
PLACER_BACKOFF_S = 1.0
"""Time for which a placer that did not answer is not used."""
RATE_FIELD = "prefill_per_s"
"""Field of a placer's reply with the measured prefill rate of the pool; absent
while it is the usual one."""
NEAR_DELAY_S = 0.004
"""Delay of a placement for a VM in another zone of the region: a round trip of
2 ms between the VMs and one to the server."""
EVACUATED_RETRY_S = 1.0
"""Retry delay reported while all zones of a pool are evacuated, as for a pool
without servers; how long an operator keeps a zone evacuated is not known."""


class Placement:
    """Choice of a server for one send of a request.

    Attributes:
        server: The server.
        placer: Incarnation of the VM that chose it, empty for this VM.
        reason: Why it was chosen.
        answer_started_at: Monotonic time at which the answer began, None
            before.
        permit: Permit for the send, None before it was acquired.
    """

    __slots__ = (
        "_choice",
        "_notify",
        "_router",
        "answer_started_at",
        "permit",
        "placer",
        "reason",
        "server",
    )

    def __init__(
        self,
        server: backends.Server,
        placer: str,
        reason: str,
        router: routing.Router,
        choice: routing.Choice | None,
        notify: Callable[[str, list], None] | None,
    ):
        self.server = server
        self.placer = placer
        self.reason = reason
        self.answer_started_at: float | None = None
        self.permit: ratelimits.Permit | None = None
        self._router = router
        self._choice = choice
        self._notify = notify

    def record_answer_start(self, now: float) -> None:
        """Records the start of the answer."""
        self.answer_started_at = now
        if self._choice is not None:
            self._router.record_answer_start(self._choice, now)
        else:
            self._notify(ANSWER_START_KIND, [])

    def finish(
        self,
        outcome: routing.Outcome,
        facts: backends.AnswerFacts | None,
        now: float,
    ) -> None:
        """Records the end of the send.

        Args:
            outcome: How it ended.
            facts: Facts from the head of the answer, None without one.
            now: Monotonic time in seconds.
        """
        load = facts.load if facts else -1
        if self._choice is not None:
            self._router.observe(self._choice, outcome, load, now)
            return
        reported = [facts.is_leaving, facts.pause_s] if facts else [False, 0.0]
        self._notify(FINISH_KIND, [outcome.value, load, *reported])


class Preview:
    """Where a request would be placed now.

    Attributes:
        server: The server, None if this VM cannot tell.
        zone: Zone whose placer decides, empty if zones do not matter.
        placer: Incarnation of the VM that decides, empty for this VM.
        reason: Why it is chosen.
        wait_s: Time until it has a permit for the request, in seconds.
    """

    __slots__ = ("placer", "reason", "server", "wait_s", "zone")

    def __init__(
        self,
        server: backends.Server | None,
        reason: str,
        zone: str = "",
        placer: str = "",
        wait_s: float = 0.0,
    ):
        self.server = server
        self.reason = reason
        self.zone = zone
        self.placer = placer
        self.wait_s = wait_s


class LocalPlacer:
    """Places requests with the local router only."""

    __slots__ = ("_router",)

    def __init__(self, router: routing.Router):
        self._router = router

    def preferred_zone(self, call: routing.Call, now: float) -> str:
        """Returns an empty string, as there is no preference."""
        del call, now
        return ""

    def place(self, call: routing.Call, zone: str, now: float) -> Placement:
        """Chooses a server.

        Raises:
            NoServerError: No server can accept the call.
        """
        del zone
        return place_locally(self._router, call, now)

    def preview(self, call: routing.Call, zone: str, now: float) -> Preview:
        """Returns where ``place`` would place a call; changes no state.

        Raises:
            NoServerError: No server can accept the call.
        """
        del zone
        return Preview(*self._router.preview(call, now))

    def zone_costs(
        self, call: routing.Call, now: float
    ) -> list[tuple[str, float, float | None]]:
        """Returns an empty list, as zones have no costs."""
        del call, now
        return []


class FleetPlacer:
    """Places requests through the placers of zones, and serves as a placer.

    The placer of a pool and zone is the entry VM that selects engines for the
    requests of all VMs that are sent to this zone. Every VM computes it from
    the live members, in the same way as the gatherer of a stage pool.
    """

    __slots__ = (
        "_clock",
        "_events",
        "_members",
        "_open_choices",
        "_placement_numbers",
        "_placer_cache",
        "_reported_waits",
        "_router",
        "_server_registry",
        "_unreachable_until",
    )

    def __init__(
        self,
        router: routing.Router,
        server_registry: fleet.ServerRegistry,
        members: membership.Membership,
        events: log.EventLog,
        clock: model.Clock,
    ):
        self._router = router
        self._server_registry = server_registry
        self._members = members
        self._events = events
        self._clock = clock
        self._placement_numbers = itertools.count(1)
        # Choices for peers, with the start of the server that was chosen.
        self._open_choices: dict[
            tuple[str, int], tuple[routing.Choice, int]
        ] = {}
        self._reported_waits: dict[tuple[str, str], tuple[float, float]] = {}
        self._unreachable_until: dict[str, float] = {}
        self._placer_cache = stages.GathererCache()
        router.prefill_rates.listener = self._log_rate
        members.handle(PLACE_KIND, self._serve_place)
        members.handle(ANSWER_START_KIND, self._serve_answer_start)
        members.handle(FINISH_KIND, self._serve_finish)

    def preferred_zone(self, call: routing.Call, now: float) -> str:
        """Returns the zone with the lowest estimated cost for the call."""
        own_zone = self._members.zone
        zones = [*self._server_registry.zones_of(call.pool, call.home_regions)]
        if not zones:
            return own_zone
        home_zone = self._home_zone(call, zones)
        return min(
            zones, key=lambda z: self._cost_s(call, z, own_zone, home_zone, now)
        )

    def place(self, call: routing.Call, zone: str, now: float) -> Placement:
        """Chooses a server, in the given zone if one is available there.

        Raises:
            NoServerError: No server can accept the call.
        """
        self._router.record_call(call.pool)
        for candidate in self._zones_to_try(call, zone, now):
            call.zone = candidate
            try:
                return self._place_in_zone(candidate, call, self._clock())
            except routing.NoServerError as exc:
                self._events.failure(
                    "zone has no server",
                    self._clock(),
                    call.request_id,
                    zone=candidate,
                    cause=str(exc),
                )
        call.zone = ""
        call.report_delay_s = None
        return place_locally(self._router, call, self._clock())

    def _zones_to_try(
        self, call: routing.Call, zone: str, now: float
    ) -> list[str]:
        """Returns the zones whose placers are asked, in their order."""
        own_zone = self._members.zone
        return sorted(
            self._server_registry.zones_of(call.pool, call.home_regions),
            key=lambda z: (z != zone, self._cost_s(call, z, own_zone, "", now)),
        )[:2]

    def preview(self, call: routing.Call, zone: str, now: float) -> Preview:
        """Returns where ``place`` would place a call; changes no state.

        The placer of another VM is not asked. The server is then what this VM
        would choose in its place, None if this VM knows none.

        Raises:
            NoServerError: No server can accept the call.
        """
        for candidate in self._zones_to_try(call, zone, now):
            call.zone = candidate
            placer = self._placer_of(call.pool, candidate, now)
            try:
                server, reason = self._router.preview(call, now)
            except routing.NoServerError as exc:
                if placer is None:
                    continue
                server, reason = None, str(exc)
            incarnation = placer.incarnation if placer else ""
            return Preview(server, reason, candidate, incarnation)
        call.zone = ""
        return Preview(*self._router.preview(call, now))

    def zone_costs(
        self, call: routing.Call, now: float
    ) -> list[tuple[str, float, float | None]]:
        """Returns each zone, its cost and the age of its last report.

        Cost and age are in seconds; the age is None without a report.
        """
        zones = [*self._server_registry.zones_of(call.pool, call.home_regions)]
        home_zone = self._home_zone(call, zones) if zones else ""
        costs = []
        for zone in zones:
            _, at = self._reported_waits.get((call.pool, zone), (0.0, None))
            cost_s = self._cost_s(
                call, zone, self._members.zone, home_zone, now
            )
            costs.append((zone, cost_s, None if at is None else now - at))
        return costs

    def _home_zone(self, call: routing.Call, zones: list[str]) -> str:
        """Returns the home zone of the call's prefix, empty for a short one."""
        if len(call.blocks) * routing.BLOCK_TOKENS < MIN_HOME_TOKENS:
            return ""
        return max(
            zones, key=lambda z: stages.rendezvous(z, str(call.blocks[-1]))
        )

    def _cost_s(
        self,
        call: routing.Call,
        zone: str,
        own_zone: str,
        home_zone: str,
        now: float,
    ) -> float:
        """Returns the estimated time to first token in a zone, for comparison.

        The benefit of the home zone is subtracted, so it may be negative.
        """
        wait_s, at = self._reported_waits.get((call.pool, zone), (0.0, now))
        cost_s = wait_s * 0.5 ** ((now - at) / REPORTED_WAIT_HALF_LIFE_S)
        if zone != own_zone:
            cost_s += REMOTE_COST_S
        if zone == home_zone:
            shared_tokens = len(call.blocks) * routing.BLOCK_TOKENS
            rate = self._router.prefill_rates.tokens_per_s(call.pool)
            cost_s -= HOME_WEIGHT * shared_tokens / rate
        return cost_s

    def _place_in_zone(
        self, zone: str, call: routing.Call, now: float
    ) -> Placement:
        if self._server_registry.is_evacuated(zone):
            # It may have been evacuated while a placer was asked, which may not
            # know it yet.
            raise routing.NoServerError(
                call.pool, f"zone {zone} is evacuated", EVACUATED_RETRY_S
            )
        placer = self._placer_of(call.pool, zone, now)
        call.report_delay_s = None
        if placer is None:
            call.report_delay_s = self._report_delay_s(
                call.pool, zone, self._members.incarnation, now
            )
            return place_locally(self._router, call, now)
        body = [
            call.pool,
            zone,
            call.request_id,
            call.workspace,
            call.rank,
            call.stage,
            call.model,
            [*call.blocks],
            call.prompt_tokens,
            sorted(call.excluded),
        ]
        try:
            reply = self._members.request(
                placer.incarnation, PLACE_KIND, body, PLACE_TIMEOUT_S
            )
        except membership.PeerUnreachableError as exc:
            self._unreachable_until[placer.incarnation] = now + PLACER_BACKOFF_S
            self._events.failure(
                "placer lost", now, call.request_id, zone=zone, cause=str(exc)
            )
            return place_locally(self._router, call, self._clock())
        if reply["refused_s"] is not None:
            raise routing.NoServerError(
                call.pool, reply["reason"], reply["refused_s"]
            )
        self._reported_waits[call.pool, zone] = (reply["pending_s"], now)
        if RATE_FIELD in reply:
            self._router.prefill_rates.record_report(
                call.pool, reply[RATE_FIELD], placer.incarnation, now
            )
        name, address, region = reply["server"]
        number = reply["number"]

        def notify(kind: str, values: list) -> None:
            self._notify(placer.incarnation, kind, [number, *values])

        now = self._clock()
        server = placed_server(
            self._server_registry, name, address, region, zone, call.pool
        )
        availability = self._router.availability
        reason = exclusion(
            self._server_registry, server, region, call.home_regions
        )
        if reason is fleet.Exclusion.OUTSIDE_HOME_REGIONS:
            return self._place_instead(call, server, placer, notify, now)
        if reason is not None or not availability.may_send(server.key, now):
            # The server is leaving or paused. The placer may be cut off from
            # the store, or the server has notified only this VM. Or the server
            # has restarted, which only the placer knows yet.
            reported: list[Any] = [False, 0.0]
            if not availability.has_restarted(
                server.key, reply.get("started_ms", 0)
            ):
                reported = [
                    availability.is_leaving(server.key),
                    availability.pause_s(server.key, now),
                ]
            notify(
                FINISH_KIND,
                [routing.Outcome.CANCELLED.value, -1, *reported],
            )
            call.excluded |= {name}
            return self._place_in_zone(zone, call, self._clock())
        return Placement(
            server,
            placer.incarnation,
            reply["reason"],
            self._router,
            None,
            notify,
        )

    def _placer_of(
        self, pool: str, zone: str, now: float
    ) -> membership.Record | None:
        """Returns the VM that places requests in a zone, None for this one."""
        unreachable = frozenset(
            n for n, until in self._unreachable_until.items() if until > now
        )
        placer = self._placer_cache.choose(
            pool, zone, self._members.all_members(now), unreachable
        )
        if placer is None or placer.incarnation == self._members.incarnation:
            return None
        return placer

    def _place_instead(
        self,
        call: routing.Call,
        server: backends.Server,
        placer: membership.Record,
        notify: Callable[[str, list], None],
        now: float,
    ) -> Placement:
        """Places a call whose placer chose a server outside the home regions.

        The placer was asked for a zone at home. One that does not keep to it
        is not asked again for this call.

        Raises:
            NoServerError: No server of the zone can accept the call.
        """
        notify(FINISH_KIND, [routing.Outcome.CANCELLED.value, -1, False, 0.0])
        log_outside(self._events, call, placer.incarnation, server, now)
        call.excluded |= {server.name}
        return place_locally(self._router, call, now)

    def _notify(self, incarnation: str, kind: str, body: list) -> None:
        if not self._members.send_message(incarnation, kind, body):
            # The placer expires the placement after PLACEMENT_TTL_S.
            self._events.state_change(
                "placer not told", self._clock(), kind=kind, peer=incarnation
            )

    def _serve_place(self, sender: str, body: Any) -> dict[str, Any]:
        now = self._clock()
        self._expire_placements(now)
        (
            pool,
            zone,
            request_id,
            workspace,
            rank,
            stage,
            model_name,
            blocks,
            prompt_tokens,
            excluded,
        ) = body
        call = routing.Call(
            str(request_id),
            str(workspace),
            str(rank),
            str(stage),
            str(pool),
            str(model_name),
            "",
            frozenset(map(str, excluded)),
            blocks=tuple(decoding.integer(b, 0, MAX_HASH) for b in blocks),
            prompt_tokens=decoding.integer(prompt_tokens, 0),
            zone=str(zone),
        )
        call.report_delay_s = self._report_delay_s(
            call.pool, call.zone, sender, now
        )
        try:
            choice = self._router.choose(call, now)
        except routing.NoServerError as exc:
            return {"refused_s": exc.retry_after_s, "reason": str(exc)}
        number = next(self._placement_numbers)
        started_ms = self._router.availability.started_ms(choice.server.key)
        self._open_choices[sender, number] = choice, started_ms
        rate = self._router.prefill_rates.report(call.pool)
        return {
            "refused_s": None,
            "reason": choice.reason,
            "number": number,
            "pending_s": self._router.least_pending_s(pool, zone),
            "server": [
                choice.server.name,
                choice.server.address,
                choice.server.region,
            ],
            "started_ms": started_ms,
            **({} if rate is None else {RATE_FIELD: rate}),
        }

    def _report_delay_s(
        self, pool: str, zone: str, sender: str, now: float
    ) -> float | None:
        """Returns ``Call.report_delay_s`` for a call that this VM places.

        None if another VM is the placer of the zone, so that its pending
        prompts are not known here, or if the sender is in another region,
        because the delays of its messages vary more than those of prefills.

        Args:
            pool: Pool of the call.
            zone: Zone of the server.
            sender: Incarnation of the VM that sends the request.
            now: Monotonic time in seconds.
        """
        own = self._members.incarnation
        members = self._members.all_members(now)
        placer = self._placer_cache.choose(pool, zone, members)
        if placer is None or placer.incarnation != own:
            return None
        if sender == own:
            return 0.0
        region_of = self._server_registry.region_of
        own_zone = self._members.zone
        for member in members:
            if member.incarnation == sender:
                if region_of(member.zone) != region_of(own_zone):
                    return None
                return NEAR_DELAY_S if member.zone != own_zone else 0.0
        return None

    def _log_rate(
        self, pool: str, tokens_per_s: float, source: str, now: float
    ) -> None:
        self._events.state_change(
            "prefill rate changed",
            now,
            pool=pool,
            tokens_per_s=round(tokens_per_s),
            source=source or "measured",
        )

    def _serve_answer_start(self, sender: str, body: Any) -> None:
        choice, _ = self._open_choices.get((sender, body[0]), (None, 0))
        if choice is not None:
            self._router.record_answer_start(choice, self._clock())

    def _serve_finish(self, sender: str, body: Any) -> None:
        # A malformed message leaves the choice open, which then expires.
        number, name, load, is_leaving, value = body
        outcome = routing.Outcome(name)
        decoding.integer(load, -1)
        pause_s = decoding.number(value, 0, math.inf)
        choice, started_ms = self._open_choices.pop((sender, number), (None, 0))
        if choice is None:
            return
        now = self._clock()
        self._router.observe(choice, outcome, load, now)
        availability = self._router.availability
        # What an earlier instance said does not concern a server that has
        # restarted since.
        if not availability.has_restarted(choice.server.key, started_ms):
            availability.record(
                choice.server.key,
                bool(is_leaving),
                min(pause_s, platform.MAX_PAUSE_S),
                now,
                choice.chosen_at,
            )

    def _expire_placements(self, now: float) -> None:
        expired = itertools.takewhile(
            lambda item: now - item[1][0].chosen_at > PLACEMENT_TTL_S,
            [*self._open_choices.items()],
        )
        for key, (choice, _) in expired:
            del self._open_choices[key]
            self._router.observe(choice, routing.Outcome.CANCELLED, -1, now)


Placer = LocalPlacer | FleetPlacer


def placed_server(
    server_registry: fleet.ServerRegistry,
    name: str,
    address: str,
    region: str,
    zone: str,
    pool: str,
) -> backends.Server:
    """Returns a server that a peer chose, with the version of its entry."""
    entry = server_registry.find(name)
    zone = entry.zone if entry else zone
    return backends.Server(
        name, address, region, zone, pool, entry.version if entry else ""
    )


def exclusion(
    server_registry: fleet.ServerRegistry,
    server: backends.Server,
    told_region: str,
    home_regions: frozenset[str] | None,
) -> fleet.Exclusion | None:
    """Returns why a server that a peer chose may not be used, None if it may.

    Peers of earlier versions do not know home regions. A server that this VM
    does not know yet is believed to be where the peer told.

    Args:
        server_registry: The backend servers.
        server: The server.
        told_region: Its region as the peer told it.
        home_regions: Regions in which the request may be served, None for all.
    """
    region = server_registry.region_of(server.zone)
    if not fleet.is_at_home(told_region, home_regions):
        region = told_region
    return fleet.exclusion(
        server.zone,
        region,
        home_regions,
        server_registry.evacuated_zones(),
        server_registry.is_leaving(server.name),
    )


def log_outside(
    events: log.EventLog,
    call: routing.Call,
    peer: str,
    server: backends.Server,
    now: float,
) -> None:
    """Logs that a peer chose a server outside the home regions of a call."""
    events.failure(
        "server outside home regions",
        now,
        call.request_id,
        peer=peer,
        server=server.name,
        zone=server.zone,
        home_regions=sorted(call.home_regions),
    )


def place_locally(
    router: routing.Router, call: routing.Call, now: float
) -> Placement:
    """Chooses a server with the router of this VM.

    Raises:
        NoServerError: No server can accept the call.
    """
    choice = router.choose(call, now)
    return Placement(choice.server, "", choice.reason, router, choice, None)


def new_local_placer(router: routing.Router) -> LocalPlacer:
    """Returns a placer that uses the local router only."""
    return LocalPlacer(router)


def new_fleet_placer(
    router: routing.Router,
    server_registry: fleet.ServerRegistry,
    members: membership.Membership,
    events: log.EventLog,
    clock: model.Clock,
) -> FleetPlacer:
    """Returns a placer that uses peers, with its peer handlers registered."""
    return FleetPlacer(router, server_registry, members, events, clock)
