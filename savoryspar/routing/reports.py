"""Reads the reports that engines publish and gives them to the router."""

from savoryspar import backends
from savoryspar.routing import router


class ReportReader:
    """Remembers how far each server's cache events were read."""

    __slots__ = ("_client", "_last", "_router")

    def __init__(self, router_: router.Router, client: backends.Client):
        self._router = router_
        self._client = client
        self._last: dict[str, int] = {}

    def read(self, server: backends.Server, now: float) -> None:
        """Reads the load and the cache events of one server.

        Raises:
            BackendError: The server did not answer with reports.
        """
        load = self._client.read_load(server)
        self._router.take_report(server, load.running, load.waiting, now)
        after = self._last.get(server.address, 0)
        report = self._client.read_cache_events(server, after)
        self._last[server.address] = report.last
        self._router.take_cache_events(server.name, report, now)

    def retain(self, addresses: frozenset[str]) -> None:
        """Drops the notes on servers that are no longer read."""
        for address in self._last.keys() - addresses:
            del self._last[address]


def new_report_reader(
    router_: router.Router, client: backends.Client
) -> ReportReader:
    """Returns a reader that has read nothing."""
    return ReportReader(router_, client)
