"""Builds the parts of an entry process and connects them."""

import secrets
import time

import eventlet

from savoryspar import (
    backends,
    conf,
    http,
    idempotency,
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
        "_desk",
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
        desk: idempotency.OrderDesk,
    ):
        self._cfg = cfg
        self._app = app
        self.server = server
        self.sheets = sheets
        self._router = router
        self._config_client = config_client
        self._vm_list = vm_list
        self._desk = desk
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
        eventlet.sleep(self._cfg.entry.drain_notice_s)
        self.server.stop()
        self._desk.shut_down(self._cfg.idempotency.handover_timeout_s)
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
    desk = _new_order_desk(
        cfg,
        secrets.token_hex(8),
        idempotency.NoLinks(),
        pipelines.new_order_runner(sheets.get, runner, time.monotonic),
    )
    app = http.new_app(
        cfg, sheets.get, runner, metrics.new_metrics(), time.monotonic, desk
    )
    return Node(
        cfg,
        app,
        http.new_server(app, cfg),
        sheets,
        router,
        platform.new_config_client(cfg.platform.config_url),
        platform.new_vm_list_client(cfg.platform.vm_list_url),
        desk,
    )


def _new_order_desk(
    cfg: conf.Settings,
    incarnation: str,
    links: idempotency.Links,
    order_runner: pipelines.OrderRunner,
) -> idempotency.OrderDesk:
    settings = cfg.idempotency
    return idempotency.new_order_desk(
        incarnation,
        idempotency.new_ticket_signer(
            settings.ticket_keys, settings.ticket_ttl_s
        ),
        idempotency.new_ledger(
            settings.ledger_max_entries,
            settings.ledger_workspace_percent,
            settings.ledger_max_result_bytes,
        ),
        links,
        order_runner.execute,
    )
