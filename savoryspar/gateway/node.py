"""An entry VM on the users' platform: its parts and its life."""

from collections.abc import Callable, Iterable
import sys
import time
from typing import Any

import eventlet

import savoryspar
from savoryspar import (
    backends,
    conf,
    fleet,
    http,
    log,
    membership,
    platform,
    routing,
)
from savoryspar.gateway import (
    app,
    counters,
    fleet_watch,
    gatherers,
    gathering,
    placing,
    plain,
    stage_work,
    streams,
)

MAX_CONNECTIONS = 2000
"""Callers' connections; half of the descriptors of the smallest VMs."""
FIRST_IDLE_S = 15.0
"""Idle time of callers before a configuration tells it."""
NOTICE_S = 2.3
"""Time after SIGTERM in which new connections are accepted: the balancer asks
once a second and takes a VM out after two misses."""
END_MARGIN_S = 0.3
"""Kept off the grace time, so that the process ends before it is killed."""
SUSPECT_FACT = "suspect"
MIN_FLEET = 3
"""Size of the fleet that budgets are divided by at least, while few peers are
known yet."""
WAIT_S = 0.05
"""Pause between two looks at the requests that still run."""
CROSS_REGION_COST = 0.9
"""Utilization by which a server of the own region must be worse before one of
another region is used."""
PREFIX_BLOCKS = 4000
"""Blocks of 512 tokens that the engines of a zone hold in all; three engines
with memory for 600,000 tokens each, most of it for cached parts."""
RETRY_SHARE = 0.4
"""Part of the fleet's retry budget that the VMs use, since they split it
without a message and callers reach them unevenly."""


class Node:
    """One entry VM; construct it with ``new_node``."""

    __slots__ = (
        "_app",
        "_cfg",
        "_clock",
        "_connections",
        "_events",
        "_gatherers",
        "_holder",
        "_members",
        "_metrics",
        "_placing",
        "_router",
        "_server",
        "_server_registry",
        "_side_servers",
        "_watch",
        "_work",
    )

    def __init__(self, cfg: conf.Settings, clock: Callable[[], float]):
        section = cfg.gateway
        self._cfg = cfg
        self._clock = clock
        self._events = log.new_event_log(sys.stdout.fileno(), section.name)
        log.write_to_events(self._events, cfg.log.level, clock)
        self._holder = fleet.new_holder(self._events)
        self._server_registry = fleet.new_server_registry(self._events)
        self._members = _new_members(cfg, clock())
        availability = backends.new_server_availability()
        self._router = _new_router(cfg, availability)
        self._share_suspects()
        self._connections = backends.new_connections(
            platform.answer_facts, clock, availability
        )
        self._placing = placing.new_fleet_placing(
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
        self._work = stage_work.new_stage_work(
            self._server_registry,
            self._members,
            self._gatherers,
            self._events,
            clock,
            section.zone_regions,
        )
        self._watch = fleet_watch.FleetWatch(
            section.store_address,
            self._holder,
            self._server_registry,
            self._members,
            self._events,
            self._take_change,
            clock,
        )
        self._metrics = counters.new_counters()
        self._app = app.new_gateway_app(
            self._holder,
            plain.new_plain_forwarder(
                self._router, self._connections, self._events, clock
            ),
            streams.new_stream_forwarder(
                self._holder,
                self._router,
                self._placing,
                self._work,
                self._connections,
                self._events,
                clock,
            ),
            self._events,
            self._metrics,
            clock,
        )
        self._server = http.new_listener(
            self._app,
            _address(section.callers_address),
            MAX_CONNECTIONS,
            FIRST_IDLE_S,
        )
        self._side_servers = [
            http.new_listener(answer, _address(address), 64, FIRST_IDLE_S)
            for answer, address in (
                (self._answer_ready, section.ready_address),
                (self._answer_metrics, section.metrics_address),
            )
        ]
        self._add_gauges()

    def start(self) -> None:
        """Starts to serve peers, the balancer and callers."""
        self._events.belief(
            "start",
            self._clock(),
            version=savoryspar.__version__,
            zone=self._cfg.gateway.zone,
            callers=self._cfg.gateway.callers_address,
            seeds=self._cfg.gateway.seeds,
        )
        self._members.start()
        self._watch.start()
        self._server.start()
        for server in self._side_servers:
            server.start()

    def stop(self) -> None:
        """Leaves: not ready first, then finishes every request in time."""
        now = self._clock()
        ends_at = now + self._cfg.gateway.grace_s - END_MARGIN_S
        self._app.stop_at(now, ends_at)
        self._events.belief("stopping", now, running=self._app.running)
        self._members.leave(now)
        self._server.drain()
        eventlet.sleep(NOTICE_S)
        # Callers that the balancer still sends here get an answer until the
        # last request is done, rather than a refused connection.
        # Other VMs' pieces that wait here are made before the process ends.
        while (
            self._app.running or self._gatherers.unfinished()
        ) and self._clock() < ends_at:
            eventlet.sleep(WAIT_S)
        with eventlet.Timeout(max(0.0, ends_at - self._clock()), False):
            self._server.stop()
        self._members.stop(self._clock())
        self._events.belief("stopped", self._clock(), cut_off=self._app.running)

    def missing(self) -> str:
        """Returns what the process lacks before it can serve, or ""."""
        if self._app.is_stopping:
            return "stopping"
        if self._holder.current is None:
            return "no configuration"
        if not self._server_registry.usable():
            return "no backend servers"
        return ""

    def reload(self, cfg: conf.Settings) -> None:
        """Takes settings that changed; addresses stay until the next start."""
        self._cfg = cfg
        self._events.belief(
            "settings reloaded",
            self._clock(),
            grace_s=cfg.gateway.grace_s,
            seeds=cfg.gateway.seeds,
        )

    def record_settings_error(self, cause: str) -> None:
        """Logs that changed settings were refused."""
        self._events.belief("settings refused", self._clock(), cause=cause)

    def status(self) -> dict[str, Any]:
        """Returns what operators see of this process."""
        now = self._clock()
        view = self._members.view(now)
        return {
            "name": self._cfg.gateway.name,
            "zone": self._cfg.gateway.zone,
            "missing": self.missing(),
            "running": self._app.running,
            "configuration": {
                "version": self._holder.version,
                "age_s": round(now - self._holder.since, 1),
            },
            "store": {
                prefix: {
                    "is_connected": is_connected,
                    "heard_s_ago": round(
                        now - self._watch.last_heard_at[prefix], 1
                    ),
                }
                for prefix, is_connected in self._watch.is_connected.items()
            },
            "peers": sorted(f"{m.zone}/{m.name}" for m in view.members),
            "gatherers": {
                f"{pool}/{zone}": len(gatherer.queue)
                for (pool, zone), gatherer in self._gatherers.by_place().items()
            },
            "routing": self._router.status(now),
        }

    def _take_change(self, now: float) -> None:
        """Brings the router and the limits up to date with the store."""
        usable = self._server_registry.usable()
        regions = self._cfg.gateway.zone_regions
        live = [
            backends.Server(
                entry.name,
                entry.address,
                regions.get(entry.zone, entry.zone),
                entry.zone,
                entry.service,
            )
            for entry in usable
        ]
        self._router.replace_servers(live, now)
        self._connections.availability.update(
            {
                (entry.name, entry.address): entry.started_ms
                for entry in self._server_registry.entries()
            },
            now,
        )
        self._connections.forget([server.key for server in live])
        current = self._holder.current
        if current is not None:
            limits = current.limits
            self._server.set_limits(
                limits.header_timeout_s, limits.idle_timeout_s
            )

    def _share_suspects(self) -> None:
        suspects, members = self._router.suspects, self._members

        def take(sender: str, record: dict[str, Any]) -> None:
            del sender
            suspects.import_record(record, self._clock())

        suspects.publish = lambda record: members.broadcast(
            SUSPECT_FACT, record
        )
        members.handle(SUSPECT_FACT, take)

    def _answer_ready(
        self, environ: dict[str, Any], start_response: app.StartResponse
    ) -> Iterable[bytes]:
        del environ
        missing = self.missing()
        start_response(
            "503 Service Unavailable" if missing else "200 OK",
            [("Content-Type", "text/plain")],
        )
        return [f"{missing or 'ready'}\n".encode()]

    def _answer_metrics(
        self, environ: dict[str, Any], start_response: app.StartResponse
    ) -> Iterable[bytes]:
        del environ
        content, fields = self._metrics.render()
        start_response("200 OK", fields)
        return [content]

    def _add_gauges(self) -> None:
        readers = {
            "running": lambda: self._app.running,
            "connections": lambda: self._server.connections,
            "configuration_version": lambda: self._holder.version,
            "store_calls": self._watch.calls,
            "store_changes": lambda: sum(self._watch.changes.values()),
            "peers": lambda: len(self._members.view(self._clock()).members),
            "backend_connections_opened": lambda: self._connections.opened,
            "stray_answers": lambda: self._connections.stray_answers,
            "stage_calls": lambda: sum(g.calls for g in self._queues()),
            "stage_pieces": lambda: sum(g.pieces for g in self._queues()),
            "stage_waiting": lambda: sum(len(g.queue) for g in self._queues()),
            "log_lines_left_out": lambda: self._events.left_out,
        }
        for name, reader in readers.items():
            self._metrics.set_gauge_reader(name, reader)

    def _queues(self) -> Iterable[gathering.Gatherer]:
        return self._gatherers.by_place().values()


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
    cfg: conf.Settings, availability: backends.ServerAvailability
) -> routing.Router:
    section = cfg.gateway
    fleet_size = max(MIN_FLEET, 3 * len(section.zone_regions))
    reserve = int(RETRY_SHARE * section.retry_slack / fleet_size)
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
            retry_ratio=RETRY_SHARE * section.retry_ratio,
            retry_reserve=max(1, reserve),
            retry_max_tokens=float(max(1, reserve)),
        ),
        availability,
    )


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def new_node(cfg: conf.Settings) -> Node:
    """Returns an entry VM that listens but does not serve yet.

    Raises:
        OSError: A port is in use.
    """
    return Node(cfg, time.monotonic)
