"""Checks of servers, routes and processes after the last fault of a soak."""

from collections.abc import Collection, Iterable, Iterator
import itertools

from savoryspar.soak import checker, servers, vms

RECOVERY_TIMEOUT_S = 5.0
"""Time after the last fault from which every VM must serve each route; stricter
than the 12 s that the platform requires."""
STREAM_SERVICES = frozenset(
    itertools.chain.from_iterable(checker.STREAM_SERVICES.values())
)


def find_misused_servers(
    used: Iterable[servers.BackendServer],
    gone: Collection[servers.BackendServer],
    after: float,
) -> Iterator[str]:
    """Yields a line for each server that is used or left out wrongly.

    Args:
        used: Servers of the services that routes use.
        gone: The servers that are not listed any more.
        after: Time from which only listed servers are used; monotonic seconds.
            Listed ones are used from the last fault on, those of streams from
            their last start on.
    """
    for server in used:
        count = sum(at >= after for at in server.arrivals)
        if server in gone and count:
            name = server.entry.name
            yield f"a server is gone and got requests: {name}, {count}"
            continue
        # VMs choose among engines and stage servers by their load, so that
        # some may get nothing while there is little to do.
        since = after - RECOVERY_TIMEOUT_S
        if server.entry.service in STREAM_SERVICES:
            since = server.started_at
        if server not in gone and not any(
            at >= since for at in server.arrivals
        ):
            yield f"a server is listed and got no request: {server.entry.name}"


def find_failed_processes(fleet_vms: Iterable[vms.EntryVm]) -> Iterator[str]:
    """Yields a line for each VM whose processes failed by themselves."""
    for vm in fleet_vms:
        if vm.own_ends:
            yield f"{vm.own_ends} processes of {vm.name} ended by themselves"
        if vm.has_traceback():
            yield f"a process of {vm.name} printed an uncaught exception"


def find_unserved_routes(
    answers: list[checker.Answer], after: float
) -> list[str]:
    """Returns a line for each route that a VM did not serve after a time."""
    # Routes of a version are removed with the next one.
    recent = [
        a
        for a in answers
        if a.started_at >= after and not a.route.startswith("v")
    ]
    served = {
        (a.vm, a.route) for a in recent if a.status == 200 and a.is_complete
    }
    requested = {(a.vm, a.route) for a in recent}
    return [
        f"a route was not served after the last fault: {route} at {vm}"
        for vm, route in sorted(requested - served)
    ]
