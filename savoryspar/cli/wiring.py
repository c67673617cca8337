"""Builds the parts of an entry process and connects them."""

from collections.abc import Sequence
import time

import eventlet

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


class Node:
    """The parts of one entry process.

    Attributes:
        server: The callers' server.
        sheets: The sheet in force.
    """

    __slots__ = (
        "_app",
        "_cfg",
        "_config_client",
        "_logger",
        "_reports",
        "_router",
        "_vm_list",
        "server",
        "sheets",
    )

    def __init__(
        self,
        cfg: conf.Settings,
        app: http.App,
        server: http.Server,
        sheets: sheet.SheetHolder,
        router: routing.Router,
        reports: routing.ReportReader,
        config_client: platform.ConfigClient,
        vm_list: platform.VmListClient,
    ):
        self._cfg = cfg
        self._app = app
        self.server = server
        self.sheets = sheets
        self._router = router
        self._reports = reports
        self._config_client = config_client
        self._vm_list = vm_list
        self._logger = log.new_logger("entry")

    def start(self) -> None:
        """Starts the server and the background duties."""
        self.server.start()
        eventlet.spawn(self._follow_sheet)
        eventlet.spawn(self._follow_vm_list)
        eventlet.spawn(self._read_reports)

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


def new_node(cfg: conf.Settings) -> Node:
    """Builds an entry process from its settings."""
    sheets = sheet.new_sheet_holder()
    router = routing.new_router(
        log.new_decision_log(cfg.log.decision_sample_percent),
        routing.new_options(cfg),
    )
    client = backends.new_client()
    scheduler = scheduling.new_scheduler(router.capacity)
    runner = pipelines.new_runner(
        sheets.get, scheduler, router, client, time.monotonic
    )
    app = http.new_app(
        cfg, sheets.get, runner, metrics.new_metrics(), time.monotonic
    )
    return Node(
        cfg,
        app,
        http.new_server(app, cfg),
        sheets,
        router,
        routing.new_report_reader(router, client),
        platform.new_config_client(cfg.platform.config_url),
        platform.new_vm_list_client(cfg.platform.vm_list_url),
    )
