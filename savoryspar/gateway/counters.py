"""Counters, histograms and gauges of an entry VM on the platform."""

from collections.abc import Callable

import aioprometheus

BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 5.0, 8.0, 12.0)
"""Upper bounds that separate the objectives of the routes in use."""

PREFIX = "savoryspar_gateway_"
REQUESTS = (PREFIX + "requests_total", "Requests by route and outcome.")
SECONDS = (
    PREFIX + "request_seconds",
    "Time from the request's head to the end of its answer, by route.",
)
GAUGES = {
    "running": "Requests being served.",
    "connections": "Open connections of callers.",
    "configuration_version": "Version of the configuration, 0 if none.",
    "store_calls": "Calls to the platform's store since the start.",
    "store_changes": "Changes that the store reported since the start.",
    "peers": "Live peers in the view of this process.",
    "backend_connections_opened": "Connections to backend servers opened"
    " since the start.",
    "stray_answers": "Answers to other requests that were skipped.",
    "stage_calls": "Calls to stage servers that this VM gathered.",
    "stage_pieces": "Pieces in the calls that this VM gathered.",
    "stage_waiting": "Pieces that wait in the queues of this VM.",
    "log_lines_left_out": "Log lines that were not written.",
}
"""What each gauge tells; its value is read when the metrics are."""


class Counters:
    """Counts requests by route and outcome."""

    __slots__ = ("_latency", "_readers", "_registry", "_requests")

    def __init__(self, registry: aioprometheus.Registry):
        self._registry = registry
        self._requests = aioprometheus.Counter(*REQUESTS, registry=registry)
        self._latency = aioprometheus.Histogram(
            *SECONDS,
            buckets=BUCKETS_S,
            registry=registry,
        )
        self._readers: list[tuple[aioprometheus.Gauge, Callable]] = []

    def count(self, route: str, outcome: str, took_s: float) -> None:
        """Counts a request."""
        self._requests.inc({"route": route, "outcome": outcome})
        self._latency.observe({"route": route}, took_s)

    def set_gauge_reader(self, name: str, reader: Callable[[], float]) -> None:
        """Adds a gauge of ``GAUGES``, read when the metrics are."""
        gauge = aioprometheus.Gauge(
            PREFIX + name, GAUGES[name], registry=self._registry
        )
        self._readers.append((gauge, reader))

    def render(self) -> tuple[bytes, list[tuple[str, str]]]:
        """Returns the metrics as text, and the headers that describe it."""
        for gauge, reader in self._readers:
            gauge.set({}, reader())
        content, headers = aioprometheus.render(self._registry, ["text/plain"])
        return content, list(headers.items())


def descriptions() -> dict[str, str]:
    """Returns what each metric tells, by its name."""
    gauges = {PREFIX + name: text for name, text in GAUGES.items()}
    return {**dict([REQUESTS, SECONDS]), **gauges}


def new_counters() -> Counters:
    """Returns counters with a registry of their own."""
    return Counters(aioprometheus.Registry())
