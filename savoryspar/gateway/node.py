"""The process of an entry VM on the users' platform."""

from collections.abc import Callable, Iterable
import math
import resource
import sys
import time
from typing import Any

import eventlet

import savoryspar
from savoryspar import (
    backends,
    conf,
    eventloop,
    fleet,
    http,
    log,
    membership,
    platform,
    ratelimits,
    routing,
)
from savoryspar.gateway import (
    app,
    blaming,
    cold_limits,
    counters,
    draining,
    explanation,
    fleet_watch,
    gatherers,
    gathering,
    limiting,
    peer_traffic,
    placing,
    plain,
    pool_shares,
    slow_starts,
    stage_runner,
    streams,
    trials,
    where_endpoint,
)

INTERNAL_CONNECTIONS = 64
"""Limit of the connections of the balancer, and of those for metrics."""
DEFAULT_IDLE_S = 15.0
"""Idle timeout of connections until a configuration sets another."""
BALANCER_NOTICE_S = 2.3
"""Time after SIGTERM during which new connections are accepted: the balancer
checks readiness once a second and removes a VM after two failures."""
STOP_MARGIN_S = 0.6
"""Subtracted from the grace period, so that the process ends before SIGKILL,
also on a busy machine."""
STOP_MARGIN_SHARE = 1 / 7
"""Largest part of the grace period that is subtracted; the platform expects
that requests are served for the first five sixths."""
FINAL_ANSWERS_S = 0.15
"""Time to write the answers of requests that the grace period does not suffice
for; part of ``STOP_MARGIN_S``."""
MIN_FLEET_SIZE = 3
"""Lower bound of the estimated fleet size, three VMs for each zone, by which
the retry budget is divided."""
DRAIN_POLL_S = 0.05
"""Interval at which a draining process checks for running requests."""
CROSS_REGION_COST = 0.9
"""Difference in utilization above which a server of another region is preferred
to one of the local region."""
PREFIX_BLOCKS = 4000
"""Number of 512-token prompt blocks that the engines of a zone can cache: three
engines with memory for 600,000 tokens each, most of it for cached prefixes."""
RETRY_BUDGET_SHARE = 0.4
"""Share of the fleet's retry budget that is given out to VMs: they split it
without coordination, and callers are spread over them unevenly."""


class Node:
    """The process of one entry VM; construct it with ``new_node``."""

    __slots__ = (
        "_app",
        "_blame",
        "_bodies",
        "_cfg",
        "_clock",
        "_connections",
        "_events",
        "_gatherers",
        "_holder",
        "_internal_servers",
        "_limiter",
        "_members",
        "_metrics",
        "_peer_traffic",
        "_placer",
        "_responses",
        "_router",
        "_server",
        "_server_registry",
        "_shares",
        "_stage_runner",
        "_watch",
        "_where",
    )

    def __init__(self, cfg: conf.Settings, clock: Callable[[], float]):
        section = cfg.gateway
        self._cfg = cfg
        self._clock = clock
        self._events = log.new_event_log(sys.stdout.fileno(), section.name)
        log.redirect_logs(self._events, cfg.log.level, clock)
        self._holder = fleet.new_holder(self._events)
        self._server_registry = fleet.new_server_registry(
            self._events, section.zone_regions
        )
        self._members = _new_members(cfg, clock())
        availability = backends.new_server_availability()
        self._limiter = limiting.new_fleet_limiter(
            self._server_registry,
            self._members,
            self._events,
            clock,
            cold_limits.new_cold_limits(
                self._holder,
                self._server_registry,
                self._members,
                self._events,
                clock,
                _new_cold_bounds(section),
            ),
            slow_starts.new_slow_starts(
                self._holder,
                self._server_registry,
                self._members,
                self._events,
                clock,
                section.start_pacing,
            ),
        )
        self._router = _new_router(cfg, availability, self._limiter)
        self._blame = blaming.new_fleet_blame(
            self._server_registry,
            self._members,
            trials.new_trial_placer(
                self._router,
                self._server_registry,
                self._members,
                self._events,
                clock,
            ),
            self._events,
            clock,
        )
        self._connections = backends.new_connections(
            platform.decode_answer_facts, clock, availability, self._limiter
        )
        self._placer = placing.new_fleet_placer(
            self._router,
            self._server_registry,
            self._members,
            self._events,
            clock,
        )
        self._gatherers = gatherers.new_gatherers(
            self._holder,
            self._server_registry,
            self._members,
            self._connections,
            self._events,
            clock,
        )
        self._stage_runner = stage_runner.new_stage_runner(
            self._server_registry,
            self._members,
            self._gatherers,
            self._events,
            clock,
            section.zone_regions,
        )
        self._peer_traffic = peer_traffic.new_peer_traffic_log(
            self._members, self._events, clock
        )
        self._watch = fleet_watch.FleetWatch(
            section.store_address,
            self._holder,
            self._server_registry,
            self._members,
            self._events,
            self._apply_change,
            clock,
            _new_bounds(section),
        )
        self._metrics = counters.new_counters()
        self._bodies = http.new_body_reader(section.memory_mb, clock)
        connection_budget = http.new_connection_budget(
            http.max_connections(_max_descriptors(section)),
            section.memory_mb or http.DEFAULT_MEMORY_MB,
        )
        self._responses = http.new_response_budget(
            section.memory_mb or http.DEFAULT_MEMORY_MB
        )
        self._shares = pool_shares.new_pool_shares(connection_budget.max_bytes)
        self._app = app.new_gateway_app(
            self._holder,
            plain.new_plain_forwarder(
                self._router,
                self._blame,
                self._connections,
                self._events,
                clock,
                self._responses,
            ),
            streams.new_stream_forwarder(
                self._holder,
                self._router,
                self._placer,
                self._blame,
                self._stage_runner,
                self._connections,
                self._events,
                clock,
            ),
            draining.Drain(),
            self._events,
            self._metrics,
            clock,
            self._bodies,
            self._shares,
            self._responses,
        )
        self._where = where_endpoint.new_where_endpoint(
            explanation.new_explainer(
                self._app,
                self._holder,
                self._server_registry,
                self._router,
                self._limiter,
                self._members,
            ),
            clock,
        )
        self._server = http.new_server_at(
            self._app,
            _address(section.callers_address),
            connection_budget,
            DEFAULT_IDLE_S,
        )
        self._internal_servers = [
            http.new_server_at(
                answer,
                _address(address),
                INTERNAL_CONNECTIONS,
                DEFAULT_IDLE_S,
            )
            for answer, address in (
                (self._answer_ready, section.ready_address),
                (self._answer_metrics, section.metrics_address),
            )
        ]
        self._add_gauges()

    def start(self) -> None:
        """Starts serving peers, the load balancer and callers."""
        self._events.state_change(
            "start",
            self._clock(),
            version=savoryspar.__version__,
            zone=self._cfg.gateway.zone,
            callers=self._cfg.gateway.callers_address,
            seeds=self._cfg.gateway.seeds,
        )
        self._members.start()
        self._peer_traffic.start()
        self._limiter.start()
        self._blame.start(
            any(
                seed != self._cfg.gateway.peers_address
                for seed in self._cfg.gateway.seeds
            )
        )
        self._watch.start()
        self._server.start()
        for server in self._internal_servers:
            server.start()

    def stop(self) -> None:
        """Reports not ready, drains requests and stops the servers.

        Requests that still run at the end of the grace period get an error, and
        streams that have begun are cut off.
        """
        now = self._clock()
        grace_s = self._cfg.gateway.grace_s
        ends_at = (
            now + grace_s - min(STOP_MARGIN_S, STOP_MARGIN_SHARE * grace_s)
        )
        self._app.start_draining(now, ends_at)
        self._events.state_change(
            "stopping",
            now,
            running=self._app.running_by_kind(now),
            connections=self._server.connections,
            gathered=self._gatherers.unfinished(),
            ends_in_s=round(ends_at - now, 3),
        )
        self._members.leave(now)
        self._server.drain()
        eventlet.sleep(min(BALANCER_NOTICE_S, ends_at - now))
        # Connections are accepted until the last request is done, so callers
        # that the balancer still sends here get a response. Pieces that other
        # VMs submitted here are processed before the process ends.
        while (
            self._app.running or self._gatherers.unfinished()
        ) and self._clock() < ends_at:
            eventlet.sleep(DRAIN_POLL_S)
        # Open connections may still bring requests.
        self._server.stop(ends_at)
        cut_off = self._app.end_requests(self._clock())
        self._server.stop(ends_at + FINAL_ANSWERS_S)
        self._members.stop(self._clock())
        self._events.state_change(
            "stopped",
            self._clock(),
            cut_off=cut_off,
            running=self._app.running_by_kind(self._clock()),
            connections=self._server.connections,
            gathered=self._gatherers.unfinished(),
            took_s=round(self._clock() - now, 3),
        )

    def unready_reason(self) -> str:
        """Returns why the process is not ready, or an empty string."""
        if self._app.is_stopping:
            return "stopping"
        if self._holder.current is None:
            return "no configuration"
        # If all zones are evacuated, requests are refused here.
        if not (
            self._server_registry.usable()
            or self._server_registry.evacuated_servers()
        ):
            return "no backend servers"
        if not self._watch.is_synced:
            return "neither the store nor several peers answered yet"
        if not self._blame.is_ready:
            return "no peer told of crashes yet"
        return ""

    def reload(self, cfg: conf.Settings) -> None:
        """Applies changed settings; addresses need a restart."""
        self._cfg = cfg
        self._watch.set_bounds(_new_bounds(cfg.gateway))
        self._server_registry.zone_regions = cfg.gateway.zone_regions
        self._limiter.cold.set_bounds(_new_cold_bounds(cfg.gateway))
        self._limiter.starts.mode = cfg.gateway.start_pacing
        self._apply_change(self._clock())
        self._events.state_change(
            "settings reloaded",
            self._clock(),
            grace_s=cfg.gateway.grace_s,
            seeds=cfg.gateway.seeds,
        )

    def record_settings_error(self, cause: str) -> None:
        """Logs that changed settings are invalid and were not applied."""
        self._events.state_change(
            "settings refused", self._clock(), cause=cause
        )

    def status(self) -> dict[str, Any]:
        """Returns the status that operators see for this process."""
        now = self._clock()
        view = self._members.view(now)
        return {
            "name": self._cfg.gateway.name,
            "zone": self._cfg.gateway.zone,
            "missing": self.unready_reason(),
            "running": self._app.running,
            "configuration": {
                "version": self._holder.version,
                "age_s": round(now - self._holder.active_since, 1),
            },
            "store": {
                prefix: {
                    "is_connected": state.is_connected,
                    "heard_s_ago": round(now - state.last_heard_at, 1),
                    **state.describe_told(now),
                }
                for prefix, state in self._watch.states.items()
            },
            "evacuated_zones": sorted(self._server_registry.evacuated_zones()),
            "peers": sorted(f"{m.zone}/{m.name}" for m in view.members),
            "gatherers": {
                f"{pool}/{zone}": len(gatherer.queue)
                for (
                    pool,
                    zone,
                ), gatherer in self._gatherers.by_pool_and_zone().items()
            },
            "limits": self._limiter.status(now),
            "crashes": self._blame.status(now),
            "routing": self._router.status(now),
            "prefill_tokens_per_s": self._router.prefill_rates.rates(),
        }

    def _apply_change(self, now: float) -> None:
        """Updates the router and the connection limits after a change."""
        usable = self._server_registry.usable()
        live = [
            backends.Server(
                entry.name,
                entry.address,
                self._server_registry.region_of(entry.zone),
                entry.zone,
                entry.service,
                entry.version,
            )
            for entry in usable
        ]
        self._router.replace_servers(live, now)
        starts = {
            (entry.name, entry.address): entry.started_ms
            for entry in self._server_registry.entries()
        }
        self._connections.availability.update(starts, now)
        self._limiter.update(starts, now, usable)
        self._connections.drop_unlisted([server.key for server in live])
        self._connections.forbid(
            (entry.name, entry.address)
            for entry in self._server_registry.evacuated_servers()
        )
        self._gatherers.record_evacuations()
        current = self._holder.current
        if current is not None:
            limits = current.limits
            self._server.set_limits(
                limits.header_timeout_s,
                limits.idle_timeout_s,
                limits.max_header_bytes,
            )

    def _answer_ready(
        self, environ: dict[str, Any], start_response: app.StartResponse
    ) -> Iterable[bytes]:
        del environ
        unready_reason = self.unready_reason()
        start_response(
            "503 Service Unavailable" if unready_reason else "200 OK",
            [("Content-Type", "text/plain")],
        )
        return [f"{unready_reason or 'ready'}\n".encode()]

    def _answer_metrics(
        self, environ: dict[str, Any], start_response: app.StartResponse
    ) -> Iterable[bytes]:
        if environ["PATH_INFO"] == where_endpoint.PATH:
            return self._where(environ, start_response)
        content, fields = self._metrics.render()
        start_response("200 OK", fields)
        return [content]

    def _add_gauges(self) -> None:
        readers = {
            "running": lambda: self._app.running,
            "connections": lambda: self._server.connections,
            "connection_limit": lambda: self._server.budget.max_connections,
            "request_bytes": lambda: self._server.budget.held,
            "request_limit_bytes": lambda: self._server.budget.max_bytes,
            "connections_refused": lambda: self._server.budget.refused,
            "connections_given_up": lambda: self._server.budget.given_up,
            "response_bytes": lambda: self._responses.held,
            "response_limit_bytes": lambda: self._responses.limit,
            "responses_given_up": lambda: self._responses.given_up,
            "pool_share_refusals": lambda: self._shares.refused,
            "configuration_version": lambda: self._holder.version,
            "store_calls": self._watch.calls,
            "store_changes": self._watch.changes,
            "store_peer_reads": self._watch.peer_reads,
            "store_behind_seconds": self._watch.behind_s,
            "store_era": self._watch.era,
            "evacuated_zones": lambda: len(
                self._server_registry.evacuated_zones()
            ),
            "ignored_entries": lambda: self._watch.ignored.count,
            "peer_links_opened": lambda: self._members.message_counts.opened,
            "peer_links_failed": lambda: self._members.message_counts.failed,
            "peer_longest_wait_seconds": (
                self._members.message_counts.longest_wait_s
            ),
            "peers": lambda: len(self._members.view(self._clock()).members),
            "backend_connections_opened": lambda: self._connections.opened,
            "stray_answers": lambda: self._connections.stray_answers,
            "stage_calls": lambda: sum(g.calls for g in self._all_gatherers()),
            "stage_pieces": lambda: sum(
                g.pieces for g in self._all_gatherers()
            ),
            "stage_waiting": lambda: sum(
                len(g.queue) for g in self._all_gatherers()
            ),
            "cold_servers": self._limiter.cold_count,
            "starting_servers": self._limiter.starting_count,
            "slow_starts": lambda: self._limiter.starts.begun,
            "stage_reserved_bytes": lambda: sum(
                g.reservations.total_bytes for g in self._all_gatherers()
            ),
            "stage_predicted_wait_seconds": lambda: sum(
                g.predicted_wait_s for g in self._all_gatherers()
            ),
            "stage_actual_wait_seconds": lambda: sum(
                g.actual_wait_s for g in self._all_gatherers()
            ),
            "limited_servers": lambda: len(self._limiter.table.limited()),
            "limited_sends": lambda: self._limiter.sends,
            "limit_denials": lambda: self._limiter.denials,
            "limit_permits_granted": self._limiter.granted,
            "limit_per_second": self._limiter.limit_per_s,
            "limit_share_per_second": self._limiter.share_per_s,
            "suspected_parts": self._blame.suspect_count,
            "blocked_parts": self._blame.blocked_count,
            "blocked_requests": lambda: self._blame.refusals,
            "trials": lambda: self._blame.trials.begun,
            "longest_round_seconds": eventloop.longest_round_s,
            "read_waits": eventloop.read_waits,
            "upload_bytes": lambda: self._bodies.budget.held,
            "upload_limit_bytes": lambda: self._bodies.budget.limit,
            "uploads_refused": lambda: self._bodies.budget.refused,
            "uploads_stalled": lambda: self._bodies.budget.stalled,
            "log_lines_left_out": lambda: self._events.left_out,
        }
        for name, reader in readers.items():
            self._metrics.add_gauge(name, reader)
        labelled = {
            "peer_messages": lambda: self._peer_totals(2),
            "peer_bytes": lambda: self._peer_totals(3),
            "peer_delayed_messages": lambda: (
                ({"kind": kind}, counts.delayed)
                for kind, counts in self._members.message_counts.by_kind.items()
            ),
            "prefill_tokens_per_second": lambda: (
                ({"pool": pool}, rate)
                for pool, rate in self._router.prefill_rates.rates().items()
            ),
            "stage_queue_pieces": lambda: (
                ({"pool": pool, "zone": zone}, len(gatherer.queue))
                for (pool, zone), gatherer in (
                    self._gatherers.by_pool_and_zone().items()
                )
            ),
        }
        for name, reader in labelled.items():
            self._metrics.add_labelled_gauge(name, reader)

    def _peer_totals(
        self, column: int
    ) -> Iterable[tuple[dict[str, str], float]]:
        """Returns a column of the traffic's totals with its labels."""
        return (
            ({"kind": row[0], "direction": row[1]}, row[column])
            for row in self._members.message_counts.totals()
        )

    def _all_gatherers(self) -> Iterable[gathering.Gatherer]:
        return self._gatherers.by_pool_and_zone().values()


def _new_members(cfg: conf.Settings, now: float) -> membership.Membership:
    host, port = _address(cfg.gateway.peers_address)
    section = cfg.gateway
    settings = conf.Settings(
        {
            "membership": conf.default_section(
                "membership",
                listen_address=host,
                listen_port=str(port),
                seeds=" ".join(section.seeds),
                tls="yes" if cfg.membership.tls else "no",
                topology=cfg.membership.topology,
            ),
            "entry": conf.default_section(
                "entry",
                name=section.name,
                region=section.region,
                zone=section.zone,
                listen_port=str(port),
            ),
        }
    )
    return membership.new_membership(settings, now, time.time())


def _new_router(
    cfg: conf.Settings,
    availability: backends.ServerAvailability,
    limiter: ratelimits.Limiter,
) -> routing.Router:
    section = cfg.gateway
    fleet_size = max(MIN_FLEET_SIZE, 3 * len(section.zone_regions))
    reserve = int(RETRY_BUDGET_SHARE * section.retry_slack / fleet_size)
    return routing.new_router(
        log.new_decision_log(0.0),
        routing.Options(
            name=section.name,
            region=section.region,
            zone=section.zone,
            policy="timed",
            prefix_entries=PREFIX_BLOCKS,
            limit="fixed",
            initial_limit=64,
            region_cost=CROSS_REGION_COST,
            retry_ratio=RETRY_BUDGET_SHARE * section.retry_ratio,
            retry_reserve=max(1, reserve),
            retry_max_tokens=float(max(1, reserve)),
        ),
        availability,
        limiter,
    )


def _new_bounds(section: conf.Section) -> fleet_watch.Bounds:
    return fleet_watch.Bounds(
        section.config_ms / 1000.0,
        section.drain_ms / 1000.0,
        section.evac_ms / 1000.0,
    )


def _new_cold_bounds(section: conf.Section) -> cold_limits.ColdBounds:
    return cold_limits.ColdBounds(
        section.cold_excess,
        section.cold_slack,
        max(len(section.zone_regions), len(section.seeds)),
    )


def _max_descriptors(section: conf.Section) -> float:
    """Returns how many descriptors the process may have."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = (section.max_fds, limit)
    # Neither may be known, and the latter may be ``RLIM_INFINITY``, below 0.
    return min((value for value in limits if value > 0), default=math.inf)


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def new_node(cfg: conf.Settings) -> Node:
    """Returns an entry VM that is bound to its ports but not serving yet.

    Raises:
        OSError: A port is in use.
    """
    return Node(cfg, time.monotonic)
