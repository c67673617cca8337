"""Builds the parts of an entry process and connects them."""

from collections.abc import Callable, Iterable, Mapping, Sequence
import time
from typing import Any

import eventlet
from eventlet import event

import savoryspar
from savoryspar import (
    backends,
    conf,
    http,
    log,
    metrics,
    pipelines,
    platform,
    routing,
    scheduling,
    sheet,
)

RETRY_S = 0.5
POLL_S = 0.05
"""Time after which slots that appear without a release are granted."""
SCHEDULING_FACT = "scheduling"


class Node:
    """The parts of one entry process.

    Attributes:
        server: The callers' server.
        sheets: The sheet in force.
        stop_requested: Event that is sent when the process is to leave.
        scheduler: The scheduler.
    """

    __slots__ = (
        "_app",
        "_cfg",
        "_config_client",
        "_decisions",
        "_logger",
        "_reports",
        "_router",
        "_vm_list",
        "scheduler",
        "server",
        "sheets",
        "stop_requested",
    )

    def __init__(
        self,
        cfg: conf.Settings,
        app: http.App,
        server: http.Server,
        sheets: sheet.SheetHolder,
        router: routing.Router,
        scheduler: scheduling.Scheduler,
        reports: routing.ReportReader,
        config_client: platform.ConfigClient,
        vm_list: platform.VmListClient,
        decisions: log.DecisionLog,
    ):
        self._cfg = cfg
        self._app = app
        self.server = server
        self.sheets = sheets
        self._router = router
        self.scheduler = scheduler
        self._reports = reports
        self._config_client = config_client
        self._vm_list = vm_list
        self._decisions = decisions
        self._logger = log.new_logger("entry")
        self.stop_requested = event.Event()

    def start(self) -> None:
        """Starts the server and the background duties."""
        self.server.start()
        port = http.serve_operators(
            http.OperatorApp(self.status, self.request_stop, self._decisions),
            self._cfg.entry.operator_address,
            self._cfg.entry.operator_port,
        )
        self._logger.notice(f"Serving operators. port={port}")
        eventlet.spawn(self._follow_sheet)
        eventlet.spawn(self._follow_vm_list)
        eventlet.spawn(self._poll_scheduler)
        eventlet.spawn(self._read_reports)

    def request_stop(self) -> None:
        """Asks the process to leave; asking again changes nothing."""
        if not self.stop_requested.ready():
            self.stop_requested.send(None)

    def status(self) -> dict[str, Any]:
        """Returns what operators see of this process."""
        current = self.sheets.current
        conflict = self.sheets.conflict
        return {
            "version": savoryspar.__version__,
            "name": self._cfg.entry.name,
            "region": self._cfg.entry.region,
            "zone": self._cfg.entry.zone,
            "is_draining": self._app.is_draining,
            "sheet": {
                "revision": self.sheets.revision,
                "digest": current.digest if current else "",
                "conflict": str(conflict) if conflict else "",
                "refused": list(self.sheets.refused),
            },
        }

    def stop(self) -> None:
        """Leaves: not ready first, then finishes every request."""
        self._app.is_draining = True
        self._logger.notice("Draining.")
        eventlet.sleep(self._cfg.entry.drain_notice_s)
        self.server.stop()
        self._logger.notice("Stopped. Every request was answered.")

    def _follow_sheet(self) -> None:
        while True:
            try:
                self._config_client.watch(
                    self.sheets.revision, self._cfg.platform.watch_timeout_s
                )
                sheet.refresh(
                    self._config_client, self.sheets, time.monotonic()
                )
            except platform.PlatformError as exc:
                self._logger.warning(f"Configuration not read. {exc}")
                eventlet.sleep(RETRY_S)

    def _poll_scheduler(self) -> None:
        while True:
            eventlet.sleep(POLL_S)
            self.scheduler.poll(time.monotonic())

    def _follow_vm_list(self) -> None:
        while True:
            try:
                self._take_vm_list(self._vm_list.read())
            except platform.PlatformError as exc:
                self._logger.warning(f"VM list not read. {exc}")
            eventlet.sleep(self._cfg.platform.vm_list_interval_s)

    def _take_vm_list(self, vms: Sequence[platform.Vm]) -> None:
        live = [vm for vm in vms if not vm.is_leaving]
        self._router.replace_servers(
            [_server(vm) for vm in live if vm.role == "backend"],
            time.monotonic(),
            [_server(vm) for vm in vms if vm.is_leaving],
            [_server(vm) for vm in live if vm.role == "entry"],
        )

    def _read_reports(self) -> None:
        interval_s = self._cfg.routing.report_interval_s
        while True:
            current = self.sheets.get()
            pools = current.pools.values() if current is not None else ()
            engines = [
                server
                for pool in pools
                if pool.kind == "engine"
                for server in self._router.servers_of(pool.name)
            ]
            for server in engines:
                # Spread over the interval, so that no burst delays requests.
                eventlet.sleep(interval_s / len(engines))
                try:
                    self._reports.read(server, time.monotonic())
                except backends.BackendError as exc:
                    self._logger.debug(f"Reports not read. {exc}")
            self._reports.retain(frozenset(s.address for s in engines))
            if not engines:
                eventlet.sleep(interval_s)


def _server(vm: platform.Vm) -> backends.Server:
    return backends.Server(vm.name, vm.address, vm.region, vm.zone, vm.pool)


def _missing(sheets: sheet.SheetHolder, router: routing.Router) -> str:
    """Returns what the process lacks before it can serve, or an empty text."""
    if sheets.current is None:
        return "no configuration"
    if not router.has_servers():
        return "no backend servers"
    return ""


def connect_scheduler(
    scheduler: scheduling.Scheduler,
    own: str,
    live_peers: Callable[[float], Iterable[str]],
    publish_fact: Callable[[str, dict], None],
    peer_facts: Callable[[str, float], Mapping[str, dict]],
    interval_s: float,
) -> None:
    """Divides slots and compares service with the zone's peers from now on.

    Args:
        scheduler: The scheduler of this process.
        own: Incarnation of this process.
        live_peers: Returns the incarnations of the zone's live peers.
        publish_fact: Puts a fact into the own heartbeats: (name, body).
        peer_facts: Returns the facts of the zone's peers: (name, now).
        interval_s: Time between two reports.
    """
    scheduler.peers.connect(own, live_peers)

    def exchange() -> None:
        while True:
            now = time.monotonic()
            publish_fact(SCHEDULING_FACT, scheduler.service_report(now))
            facts = peer_facts(SCHEDULING_FACT, now)
            for incarnation, report in facts.items():
                scheduler.take_peer_report(incarnation, report, now)
            eventlet.sleep(interval_s)

    eventlet.spawn(exchange)


def new_node(cfg: conf.Settings) -> Node:
    """Builds an entry process from its settings."""
    sheets = sheet.new_sheet_holder()
    decisions = log.new_decision_log(cfg.log.decision_sample_percent)
    router = routing.new_router(decisions, routing.new_options(cfg))
    client = backends.new_client()
    scheduler = scheduling.new_scheduler(
        router.capacity, cfg.scheduling, decisions=decisions
    )
    sheets.listen(
        lambda current: scheduler.configure(current, time.monotonic())
    )
    runner = pipelines.new_runner(
        sheets.get, scheduler, router, client, time.monotonic
    )
    app = http.new_app(
        cfg,
        sheets.get,
        runner,
        metrics.new_metrics(),
        time.monotonic,
        lambda: _missing(sheets, router),
    )
    return Node(
        cfg,
        app,
        http.new_server(app, cfg),
        sheets,
        router,
        scheduler,
        routing.new_report_reader(router, client),
        platform.new_config_client(cfg.platform.config_url),
        platform.new_vm_list_client(cfg.platform.vm_list_url),
        decisions,
    )
