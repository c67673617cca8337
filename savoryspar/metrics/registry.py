"""The metrics of one process."""

from collections.abc import Callable

import aioprometheus

ACCEPT = ("text/plain",)
GAUGES = {
    "savoryspar_dropped_answers": "Backend answers dropped since the start,"
    " because they were late or for another attempt.",
    "savoryspar_peers": "Live peers in the membership view of this process.",
    "savoryspar_refused_frames": "Frames and handshakes of peers refused since"
    " the start.",
    "savoryspar_sheet_revision": "Revision of the sheet in force, 0 if none.",
}
"""Help text of each gauge; gauges are read when the metrics are rendered."""


class Metrics:
    """Counters and gauges of one process."""

    __slots__ = ("_gauges", "_problems", "_readers", "_registry", "_requests")

    def __init__(self, registry: aioprometheus.Registry):
        self._registry = registry
        self._requests = aioprometheus.Counter(
            "savoryspar_requests_total",
            "Requests answered completely, by pipeline and rank.",
            registry=registry,
        )
        self._problems = aioprometheus.Counter(
            "savoryspar_problems_total",
            "Requests answered with a problem document, by type.",
            registry=registry,
        )

        self._gauges = {
            name: aioprometheus.Gauge(name, text, registry=registry)
            for name, text in GAUGES.items()
        }
        self._readers: dict[str, Callable[[], float]] = {}

    def set_gauge_reader(self, name: str, reader: Callable[[], float]) -> None:
        """Sets the function that returns the value of a gauge of ``GAUGES``."""
        self._readers[name] = reader

    def count_request(self, pipeline: str, rank: str) -> None:
        """Counts a request that was answered completely."""
        self._requests.inc({"pipeline": pipeline, "rank": rank})

    def count_problem(self, kind: str) -> None:
        """Counts a request that was answered with a problem document."""
        self._problems.inc({"type": kind})

    def descriptions(self) -> dict[str, str]:
        """Returns the help text of each metric, by name."""
        return {
            name: collector.doc
            for name, collector in self._registry.collectors.items()
        }

    def render(self) -> tuple[bytes, list[tuple[str, str]]]:
        """Returns the metrics as text, and the response headers for it."""
        for name, reader in self._readers.items():
            self._gauges[name].set({}, reader())
        content, headers = aioprometheus.render(self._registry, list(ACCEPT))
        return content, list(headers.items())


def new_metrics() -> Metrics:
    """Returns metrics with a separate registry."""
    return Metrics(aioprometheus.Registry())
