"""Background tasks of an entry process, one green thread each."""

from collections.abc import Sequence
import time

import eventlet

from savoryspar import (
    backends,
    conf,
    decoding,
    discovery,
    log,
    membership,
    placement,
    routing,
    scheduling,
    sheet,
)

POLL_INTERVAL_S = 0.05
"""Longest delay until slots that were freed without a release are granted."""
SCHEDULING_FACT = "scheduling"
EXCHANGE_INTERVAL_S = 0.5
"""Time between two reports of service and backlog to the zone's peers."""


def poll_scheduler(scheduler: scheduling.Scheduler) -> None:
    """Grants slots that were freed without a release; never returns.

    Such slots appear, for example, when the capacity of a pool grows.
    """
    while True:
        eventlet.sleep(POLL_INTERVAL_S)
        scheduler.poll(time.monotonic())


def follow_vm_list(
    cfg: conf.Settings,
    client: discovery.VmListClient,
    router: routing.Router,
    members: membership.Membership,
    dispatcher: placement.Dispatcher,
) -> None:
    """Reads the VM list at each interval and applies it; never returns."""
    logger = log.new_logger("platform")
    while True:
        try:
            vms = client.read()
            members.set_peer_addresses(vm.peer_address for vm in vms)
            apply_vm_list(vms, router, time.monotonic())
            dispatcher.set_servers(
                _server(vm)
                for vm in vms
                if vm.role == "backend" and not vm.is_leaving
            )
        except discovery.PlatformError as exc:
            logger.warning(f"Cannot read the VM list. {exc}")
        eventlet.sleep(cfg.platform.vm_list_interval_s)


def apply_vm_list(
    vms: Sequence[discovery.Vm], router: routing.Router, now: float
) -> None:
    """Replaces the router's servers and entry VMs by those of the list."""
    live = [vm for vm in vms if not vm.is_leaving]
    router.replace_servers(
        [_server(vm) for vm in live if vm.role == "backend"],
        now,
        [_server(vm) for vm in vms if vm.is_leaving],
        [_server(vm) for vm in live if vm.role == "entry"],
    )


def _server(vm: discovery.Vm) -> backends.Server:
    return backends.Server(vm.name, vm.address, vm.region, vm.zone, vm.pool)


def poll_engine_reports(
    interval_s: float,
    reads_per_s: float,
    sheets: sheet.SheetHolder,
    router: routing.Router,
    reports: routing.ReportReader,
) -> None:
    """Reads each engine's load and cache events in turn; never returns.

    Args:
        interval_s: Time between two reads of an engine.
        reads_per_s: Maximum reads per second over all engines. A read costs
            2 ms of CPU, and each response carries the load as well, so with
            many engines each is read less often.
        sheets: Holds the sheet in force, which names the engine pools.
        router: Holds the servers of each pool.
        reports: Reads the reports and passes them to the router.
    """
    logger = log.new_logger("routing")
    while True:
        engines = _engines(sheets.get(), router)
        for server in engines:
            # Reads are spread over the interval: a burst would delay requests.
            eventlet.sleep(max(interval_s / len(engines), 1.0 / reads_per_s))
            try:
                reports.read(server, time.monotonic())
            except backends.BackendError as exc:
                logger.debug(f"Cannot read engine reports. {exc}")
            except Exception as exc:
                # The reports of the other engines are read all the same.
                logger.error(
                    f"Cannot apply engine reports. server={server.name}"
                    f" {decoding.describe(exc)}"
                )
        reports.retain(frozenset(server.address for server in engines))
        if not engines:
            eventlet.sleep(interval_s)


def _engines(
    current: sheet.Sheet | None, router: routing.Router
) -> list[backends.Server]:
    pools = current.pools.values() if current is not None else ()
    return [
        server
        for pool in pools
        if pool.kind == "engine"
        for server in router.servers_of(pool.name)
    ]


def exchange_reports(
    scheduler: scheduling.Scheduler, members: membership.Membership
) -> None:
    """Exchanges service and backlog with the zone's peers; never returns."""
    logger = log.new_logger("scheduling")
    while True:
        now = time.monotonic()
        members.publish_fact(SCHEDULING_FACT, scheduler.service_report(now))
        facts = members.peer_facts(SCHEDULING_FACT, now)
        for incarnation, report in facts.items():
            try:
                scheduler.store_peer_report(incarnation, report, now)
            except Exception as exc:
                # A peer of another version may send another report.
                logger.warning(
                    f"Report of a peer is malformed. peer={incarnation}"
                    f" {decoding.describe(exc)}"
                )
        eventlet.sleep(EXCHANGE_INTERVAL_S)


def zone_peers(members: membership.Membership, now: float) -> list[str]:
    """Returns incarnations of the zone's live peers that accept new work."""
    view = members.view(now)
    return [
        member.incarnation
        for member in view.members
        if member.zone == view.own.zone and not member.is_leaving
    ]


def run_placement(interval_s: float, dispatcher: placement.Dispatcher) -> None:
    """Plans placement and sends orders to engines at each interval.

    Returns immediately if the interval is 0, and otherwise never.
    """
    logger = log.new_logger("placement")
    while interval_s > 0:
        eventlet.sleep(max(interval_s, dispatcher.min_interval_s))
        try:
            dispatcher.tick()
        except Exception as exc:
            # An error in one round must not end placement permanently.
            logger.error(f"Placement round failed. {exc!r}")
