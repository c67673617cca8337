"""Builds the parts of an entry process and connects them."""

import time

import eventlet

from savoryspar import (
    backends,
    conf,
    http,
    log,
    membership,
    metrics,
    pipelines,
    platform,
    routing,
    scheduling,
    sheet,
)

LEAVE_S = 0.1
"""Time to write the last frames to peers before the process ends."""


class Node:
    """The parts of one entry process.

    Attributes:
        server: The callers' server.
        sheets: The sheet in force.
        members: The peers.
    """

    __slots__ = (
        "_app",
        "_cfg",
        "_logger",
        "_router",
        "_sheet_watch",
        "_vm_list",
        "members",
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
        sheet_watch: membership.SheetWatch,
        vm_list: platform.VmListClient,
        members: membership.Membership,
    ):
        self._cfg = cfg
        self._app = app
        self.server = server
        self.sheets = sheets
        self._router = router
        self._sheet_watch = sheet_watch
        self._vm_list = vm_list
        self.members = members
        self._logger = log.new_logger("entry")

    @property
    def peer_port(self) -> int:
        """TCP port on which peers are served."""
        return int(self.members.connector.address.rpartition(":")[2])

    def start(self) -> None:
        """Starts the server and the background duties."""
        self.members.start()
        self.server.start()
        eventlet.spawn(self._sheet_watch.run)
        eventlet.spawn(self._follow_vm_list)

    def stop(self) -> None:
        """Leaves: not ready first, then finishes every request."""
        self._app.is_draining = True
        self.members.leave(time.monotonic())
        self._logger.notice("Draining.")
        eventlet.sleep(self._cfg.entry.drain_notice_s)
        self.server.stop()
        self.members.stop(time.monotonic())
        eventlet.sleep(LEAVE_S)
        self._logger.notice("Stopped. Every request was answered.")

    def _follow_vm_list(self) -> None:
        while True:
            try:
                vms = self._vm_list.read()
                self.members.set_listed(vm.peer_address for vm in vms)
                servers = [
                    backends.Server(
                        vm.name, vm.address, vm.region, vm.zone, vm.pool
                    )
                    for vm in vms
                    if vm.role == "backend" and not vm.is_leaving
                ]
                self._router.replace_servers(servers, time.monotonic())
            except platform.PlatformError as exc:
                self._logger.warning(f"VM list not read. {exc}")
            eventlet.sleep(self._cfg.platform.vm_list_interval_s)


def new_node(cfg: conf.Settings) -> Node:
    """Builds an entry process from its settings."""
    sheets = sheet.new_sheet_holder()
    members = membership.new_membership(cfg, time.monotonic(), time.time())
    membership.new_sheet_spreader(members, sheets, time.monotonic)
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
        membership.new_sheet_watch(
            members,
            sheets,
            platform.new_config_client(
                cfg.platform.config_url,
                cfg.platform.config_calls_per_s,
                cfg.platform.config_burst_calls,
            ),
            cfg.platform.watch_timeout_s,
            time.monotonic,
        ),
        platform.new_vm_list_client(cfg.platform.vm_list_url),
        members,
    )
