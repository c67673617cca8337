"""Explains where a request would go now, and why, without sending it.

The explanation is built from the queries of the classes that decide on
requests; see ``model.Preview``. It asks no peer and changes no state.
"""

from collections.abc import Iterable, Sequence
import enum
from typing import Any

from savoryspar import backends, fleet, membership, ratelimits, routing
from savoryspar.gateway import app, limiting, model, placing, stage_runner


class Limit(enum.Enum):
    """Why a server that accepts calls has no permit for one.

    Members:
        COLD: It is cold, and its rate is used up.
        SLOW_START: It is in its slow start, and its rate is used up.
        RATE_LIMIT: The limit that it names is reached.
    """

    COLD = "cold"
    SLOW_START = "slow_start"
    RATE_LIMIT = "rate_limit"


PAUSED = "paused"
SUSPECTED = "may_crash_under_this_request"

NO_BODY = (
    "the question has no body: its size, and crashes of this very request, are"
    " not checked"
)
NO_SCORE_JITTER = (
    "scores of servers have a random part, so servers that are about equal"
    " take turns"
)
WEIGHTED_POOLS = (
    "the route has several pools; the attempt ID chooses one by weight"
)
LATER_STAGES = (
    "a stage that needs results of earlier ones prefers their zone, which is"
    " not known yet"
)
OTHER_VMS = (
    "VMs that are named as placer or gatherer decide with their own state; this"
    " VM knows what they reported last"
)


class Explainer:
    """Builds explanations; construct with ``new_explainer``."""

    __slots__ = (
        "_app",
        "_holder",
        "_limiter",
        "_members",
        "_router",
        "_server_registry",
    )

    def __init__(
        self,
        gateway_app: app.GatewayApp,
        holder: fleet.ConfigurationHolder,
        server_registry: fleet.ServerRegistry,
        router: routing.Router,
        limiter: limiting.FleetLimiter,
        members: membership.Membership,
    ):
        self._app = gateway_app
        self._holder = holder
        self._server_registry = server_registry
        self._router = router
        self._limiter = limiter
        self._members = members

    def explain(
        self, req: backends.CallerRequest, now: float
    ) -> dict[str, Any]:
        """Returns what would happen to a request now.

        Args:
            req: The request; its body is not considered.
            now: Monotonic time in seconds.
        """
        result = self._describe_vm(now)
        current = self._holder.current
        route = current and current.find_route(req.host, req.path)
        result["route"] = route.name if route else None
        try:
            job = self._app.new_job(req, now, now)
        except model.GatewayError as exc:
            result["refusal"] = _describe_refusal(exc)
            result["unknown"] = [NO_BODY]
            return result
        found = self._app.preview(job, now)
        result["refusal"] = found.refusal and _describe_refusal(found.refusal)
        result |= {
            "workspace": job.workspace,
            "rank": job.rank,
            "home_regions": None
            if job.home_regions is None
            else sorted(job.home_regions),
            "deadline_s": round(job.left_s(now), 3),
            "stages": [
                self._describe_stage(stage, job, now) for stage in found.stages
            ],
            "pool": self._describe_pool(job, found, now),
            "unknown": self._unknown(job, found),
        }
        return result

    def _describe_vm(self, now: float) -> dict[str, Any]:
        own = self._members.incarnation
        return {
            "vm": self._vm_name(own, now),
            "zone": self._members.zone,
            "configuration": {
                "version": self._holder.version,
                "age_s": round(now - self._holder.active_since, 1)
                if self._holder.current is not None
                else None,
            },
            "evacuated_zones": sorted(self._server_registry.evacuated_zones()),
        }

    def _describe_stage(
        self, stage: stage_runner.StagePreview, job: model.Job, now: float
    ) -> dict[str, Any]:
        admission = stage.admission
        return {
            "stage": stage.number,
            "pool": stage.group.pool,
            "pieces": stage.group.pieces,
            "left_out": self._left_out(stage.group.pool, job, (), False, now),
            "zones": _describe_zones(stage.zones),
            "zone": stage.zone,
            "gatherer": self._vm_name(stage.gatherer, now),
            "is_gathered_here": stage.gatherer == self._members.incarnation,
            "predicted_wait_s": round(
                admission.wait_s if admission else stage.wait_s, 3
            ),
            "left_s": round(stage.group.deadline_at - now, 3),
        }

    def _describe_pool(
        self, job: model.Job, found: model.Preview, now: float
    ) -> dict[str, Any]:
        """Returns the placement in the pool that serves the request."""
        placement = found.placement or placing.Preview(None, "")
        server = placement.server
        return {
            "pool": job.pool,
            "left_out": self._left_out(job.pool, job, found.avoided, True, now),
            "zones": _describe_zones(found.zones),
            "zone": placement.zone or (server.zone if server else ""),
            "server": server.name if server else "",
            "placer": self._vm_name(
                placement.placer or self._members.incarnation, now
            ),
            "is_placed_here": not placement.placer,
            "reason": placement.reason,
            "predicted_wait_s": round(placement.wait_s, 3),
        }

    def _left_out(
        self,
        pool: str,
        job: model.Job,
        avoided: Iterable[str],
        is_routed: bool,
        now: float,
    ) -> list[dict[str, Any]]:
        """Returns the servers of a pool that are left out, with the reason.

        Args:
            pool: The pool.
            job: The request.
            avoided: Servers that the request may crash.
            is_routed: Whether the router chooses the servers of the pool. The
                gatherer does so for stages.
            now: Monotonic time in seconds.
        """
        found = []
        entries = self._entries(pool)
        obstacles = {}
        if is_routed:
            obstacles = self._router.obstacles(
                pool, [entry.name for entry in entries], job.home_regions, now
            )
        for entry in entries:
            reason, until_s = self._reason(
                entry, job, obstacles.get(entry.name), now
            )
            if not reason and entry.name in avoided:
                reason = SUSPECTED
            if reason:
                found.append(
                    {
                        "server": entry.name,
                        "zone": entry.zone,
                        "reason": reason,
                        "for_s": round(until_s, 3) or None,
                    }
                )
        return found

    def _entries(self, pool: str) -> Sequence[fleet.BackendEntry]:
        registry = self._server_registry
        entries = {
            entry.name: entry
            for known in (
                registry.entries(),
                registry.usable(),
                registry.evacuated_servers(),
            )
            for entry in known
            if entry.service == pool
        }
        return [entries[name] for name in sorted(entries)]

    def _reason(
        self,
        entry: fleet.BackendEntry,
        job: model.Job,
        obstacle: tuple[routing.Obstacle, float] | None,
        now: float,
    ) -> tuple[str, float]:
        """Returns why a server is left out, and for how long in seconds."""
        registry, availability = (
            self._server_registry,
            self._router.availability,
        )
        key = (entry.name, entry.address)
        exclusion = fleet.exclusion(
            entry.zone,
            registry.region_of(entry.zone),
            job.home_regions,
            registry.evacuated_zones(),
            entry not in registry.usable_in(entry.service, entry.zone)
            or availability.is_leaving(key),
        )
        if exclusion is not None:
            return exclusion.value, 0.0
        pause_s = availability.pause_s(key, now)
        if pause_s > 0.0:
            return PAUSED, pause_s
        if obstacle:
            return obstacle[0].value, obstacle[1]
        wait_s = self._limiter.preview_wait_s(key, now)
        if wait_s > 0.0:
            return self._limit(key, now).value, wait_s
        return "", 0.0

    def _limit(self, key: ratelimits.Server, now: float) -> Limit:
        """Returns which limit of a server is reached."""
        if not self._limiter.is_bound(key):
            return Limit.SLOW_START
        if self._limiter.is_cold(key, now):
            return Limit.COLD
        return Limit.RATE_LIMIT

    def _vm_name(self, incarnation: str, now: float) -> str:
        return next(
            (
                f"{member.zone}/{member.name}"
                for member in self._members.all_members(now)
                if member.incarnation == incarnation
            ),
            incarnation,
        )

    def _unknown(self, job: model.Job, found: model.Preview) -> list[str]:
        """Returns what this VM cannot know, for the reader."""
        placement = found.placement
        is_decided_elsewhere = bool(placement and placement.placer) or any(
            stage.gatherer not in ("", self._members.incarnation)
            for stage in found.stages
        )
        statements = {
            NO_BODY: True,
            NO_SCORE_JITTER: placement is not None,
            WEIGHTED_POOLS: len(job.route.services) > 1
            and not job.req.attempt_id,
            LATER_STAGES: len(found.stages) > 1,
            OTHER_VMS: is_decided_elsewhere,
        }
        return [text for text, holds in statements.items() if holds]


def _describe_refusal(exc: model.GatewayError) -> dict[str, Any]:
    return {
        "status": exc.status,
        "reason": exc.reason,
        "message": exc.message,
        "retry_after_s": exc.retry_after_s
        if exc.retry_after_s is None
        else round(exc.retry_after_s, 2),
    }


def _describe_zones(
    zones: Iterable[tuple[str, float, float | None]],
) -> list[dict[str, Any]]:
    return [
        {
            "zone": zone,
            "cost_s": round(cost_s, 3),
            "report_age_s": None if age_s is None else round(age_s, 2),
        }
        for zone, cost_s, age_s in zones
    ]


def new_explainer(
    gateway_app: app.GatewayApp,
    holder: fleet.ConfigurationHolder,
    server_registry: fleet.ServerRegistry,
    router: routing.Router,
    limiter: limiting.FleetLimiter,
    members: membership.Membership,
) -> Explainer:
    """Returns an explainer that uses the parts of a VM.

    Args:
        gateway_app: Admits requests and previews them.
        holder: The configuration.
        server_registry: The backend servers.
        router: Chooses servers.
        limiter: Rate limits of the servers.
        members: The entry VMs.
    """
    return Explainer(
        gateway_app, holder, server_registry, router, limiter, members
    )
