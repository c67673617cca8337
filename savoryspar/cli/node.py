"""Lifecycle of an entry process: start, status and graceful shutdown."""

import time
from typing import Any

import eventlet
from eventlet import event

import savoryspar
from savoryspar import (
    conf,
    discovery,
    http,
    idempotency,
    log,
    membership,
    placement,
    routing,
    scheduling,
    sheet,
    tasks,
)
from savoryspar.cli import background, suspects
from savoryspar.http import app as http_app
from savoryspar.membership import sheet_watch as watching

LEAVE_FLUSH_S = 0.1
"""Time to write the last frames to peers before the process exits."""


class Components:
    """The components of an entry process."""

    __slots__ = (
        "app",
        "decisions",
        "dispatcher",
        "members",
        "orders",
        "reports",
        "router",
        "scheduler",
        "server",
        "sheet_watch",
        "sheets",
        "suspect_fetch",
        "vm_list",
    )

    def __init__(
        self,
        app: http_app.App,
        decisions: log.DecisionLog,
        orders: idempotency.OrderService,
        dispatcher: placement.Dispatcher,
        members: membership.Membership,
        reports: routing.ReportReader,
        router: routing.Router,
        scheduler: scheduling.Scheduler,
        server: http.Server,
        sheet_watch: watching.SheetWatch,
        sheets: sheet.SheetHolder,
        suspect_fetch: suspects.SuspectFetch,
        vm_list: discovery.VmListClient,
    ):
        self.app = app
        self.decisions = decisions
        self.orders = orders
        self.dispatcher = dispatcher
        self.members = members
        self.reports = reports
        self.router = router
        self.scheduler = scheduler
        self.server = server
        self.sheet_watch = sheet_watch
        self.sheets = sheets
        self.suspect_fetch = suspect_fetch
        self.vm_list = vm_list


class Node:
    """One entry process.

    Attributes:
        server: The HTTP server for callers.
        stop_requested: Event that is sent when the process is to stop.
    """

    __slots__ = (
        "_cfg",
        "_components",
        "_logger",
        "_notice_skipped",
        "server",
        "stop_requested",
    )

    def __init__(self, cfg: conf.Settings, components: Components):
        self._cfg = cfg
        self._components = components
        self._logger = log.new_logger("entry")
        self.server = components.server
        self.stop_requested = event.Event()
        self._notice_skipped = event.Event()

    @property
    def peer_port(self) -> int:
        """TCP port on which peers are served."""
        address = self._components.members.connector.address
        return int(address.rpartition(":")[2])

    def start(self) -> None:
        """Starts the servers and the background tasks."""
        components = self._components
        components.members.start()
        components.server.start()
        self._serve_operators()
        interval_s = self._cfg.routing.report_interval_s
        tasks.spawn_task("configuration watch", components.sheet_watch.run)
        tasks.spawn_task(
            "VM list",
            background.follow_vm_list,
            self._cfg,
            components.vm_list,
            components.router,
            components.members,
            components.dispatcher,
        )
        tasks.spawn_task(
            "placement",
            background.run_placement,
            self._cfg.placement.interval_s,
            components.dispatcher,
        )
        tasks.spawn_task(
            "crash suspects", components.suspect_fetch.run, time.monotonic()
        )
        tasks.spawn_task(
            "scheduler", background.poll_scheduler, components.scheduler
        )
        tasks.spawn_task(
            "scheduling reports",
            background.exchange_reports,
            components.scheduler,
            components.members,
        )
        tasks.spawn_task(
            "engine reports",
            background.poll_engine_reports,
            interval_s,
            self._cfg.routing.report_reads_per_s,
            components.sheets,
            components.router,
            components.reports,
        )

    def request_stop(self) -> None:
        """Requests a graceful stop; further calls have no effect."""
        if not self.stop_requested.ready():
            self.stop_requested.send(None)

    def skip_drain_notice(self) -> None:
        """Closes the listener without further waiting for the balancer."""
        if not self._notice_skipped.ready():
            self._notice_skipped.send(None)

    def stop(self) -> None:
        """Stops gracefully.

        The process first reports itself as not ready, then closes its listener
        and finishes every request.
        """
        components = self._components
        components.app.is_draining = True
        components.members.leave(time.monotonic())
        self._logger.notice("Draining.")
        components.server.drain()
        with eventlet.Timeout(self._cfg.entry.drain_notice_s, False):
            self._notice_skipped.wait()
        components.server.stop()
        components.orders.shut_down(self._cfg.idempotency.handover_timeout_s)
        components.members.stop(time.monotonic())
        eventlet.sleep(LEAVE_FLUSH_S)
        self._logger.notice("Stopped. All requests were answered.")

    def status(self) -> dict[str, Any]:
        """Returns the document of the operators' ``/status`` endpoint."""
        return {
            "version": savoryspar.__version__,
            "name": self._cfg.entry.name,
            "region": self._cfg.entry.region,
            "zone": self._cfg.entry.zone,
            "is_draining": self._components.app.is_draining,
            "sheet": sheet_status(self._components.sheets),
            "membership": view_status(
                self._components.members.view(time.monotonic())
            ),
            "routing": self._components.router.status(time.monotonic()),
        }

    def _serve_operators(self) -> None:
        port = http.serve_operators(
            http.OperatorApp(
                self.status, self.request_stop, self._components.decisions
            ),
            self._cfg.entry.operator_address,
            self._cfg.entry.operator_port,
        )
        self._logger.notice(f"Serving operators. port={port}")


def sheet_status(sheets: sheet.SheetHolder) -> dict[str, Any]:
    """Returns the status of the sheet in force and of the refused revision."""
    current = sheets.current
    return {
        "revision": sheets.revision,
        "digest": current.digest if current else "",
        "conflict": str(sheets.conflict) if sheets.conflict else "",
        "refused_revision": sheets.refused_revision,
        "refused": list(sheets.refused),
    }


def view_status(view: membership.View) -> dict[str, Any]:
    """Returns the status of the membership view."""
    return {
        "incarnation": view.own.incarnation,
        "is_confirmed": view.is_confirmed,
        "peers": sorted(f"{m.zone}/{m.name}" for m in view.members),
    }
