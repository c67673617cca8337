"""Builds the parts of an entry process and connects them."""

import time

import eventlet
from eventlet import event

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
        "_hastened",
        "_logger",
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
        config_client: platform.ConfigClient,
        vm_list: platform.VmListClient,
    ):
        self._cfg = cfg
        self._app = app
        self.server = server
        self.sheets = sheets
        self._router = router
        self._config_client = config_client
        self._vm_list = vm_list
        self._hastened = event.Event()
        self._logger = log.new_logger("entry")

    def start(self) -> None:
        """Starts the server and the background duties."""
        self.server.start()
        eventlet.spawn(self._follow_sheet)
        eventlet.spawn(self._follow_vm_list)

    def stop(self) -> None:
        """Leaves: not ready first, then finishes every request."""
        self._app.is_draining = True
        self._logger.notice("Draining.")
        self.server.drain()
        with eventlet.Timeout(self._cfg.entry.drain_notice_s, False):
            self._hastened.wait()
        self.server.stop()
        self._logger.notice("Stopped. Every request was answered.")

    def hasten(self) -> None:
        """Ends the notice that the balancer gets before the listener closes."""
        if not self._hastened.ready():
            self._hastened.send(None)

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
                servers = [
                    backends.Server(
                        vm.name, vm.address, vm.region, vm.zone, vm.pool
                    )
                    for vm in self._vm_list.read()
                    if vm.role == "backend" and not vm.is_leaving
                ]
                self._router.replace_servers(servers, time.monotonic())
            except platform.PlatformError as exc:
                self._logger.warning(f"VM list not read. {exc}")
            eventlet.sleep(self._cfg.platform.vm_list_interval_s)


def new_node(cfg: conf.Settings) -> Node:
    """Builds an entry process from its settings."""
    sheets = sheet.new_sheet_holder()
    router = routing.new_router(
        log.new_decision_log(cfg.log.decision_sample_percent)
    )
    scheduler = scheduling.new_scheduler(router.capacity)
    runner = pipelines.new_runner(
        sheets.get, scheduler, router, backends.new_client(), time.monotonic
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
        platform.new_config_client(cfg.platform.config_url),
        platform.new_vm_list_client(cfg.platform.vm_list_url),
    )
