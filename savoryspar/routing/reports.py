"""Reads the load and cache reports of engines into the router."""

from savoryspar import backends
from savoryspar.routing import router


class ReportReader:
    """Reads engine reports, with a read position for each server's events."""

    __slots__ = ("_client", "_last_event", "_router")

    def __init__(self, router_: router.Router, client: backends.Client):
        self._router = router_
        self._client = client
        self._last_event: dict[str, int] = {}

    def read(self, server: backends.Server, now: float) -> None:
        """Reads the load and the cache events of one server.

        Raises:
            BackendError: The server did not return valid reports.
        """
        load = self._client.read_load(server)
        self._router.record_load_report(server, load.running, load.waiting, now)
        after = self._last_event.get(server.address, 0)
        report = self._client.read_cache_events(server, after)
        self._last_event[server.address] = report.last
        self._router.apply_cache_events(server.name, report, now)

    def retain(self, addresses: frozenset[str]) -> None:
        """Drops the read positions of servers not in ``addresses``."""
        for address in self._last_event.keys() - addresses:
            del self._last_event[address]


def new_report_reader(
    router_: router.Router, client: backends.Client
) -> ReportReader:
    """Returns a reader that starts at the servers' first cache events."""
    return ReportReader(router_, client)
