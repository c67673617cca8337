"""Counters, histograms and gauges of an entry VM on the platform."""

from collections.abc import Callable

import aioprometheus

BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 5.0, 8.0, 12.0)
"""Upper bounds that separate the objectives of the routes in use."""


class Counters:
    """Counts requests by route and outcome."""

    __slots__ = ("_latency", "_readers", "_registry", "_requests")

    def __init__(self, registry: aioprometheus.Registry):
        self._registry = registry
        self._requests = aioprometheus.Counter(
            "savoryspar_gateway_requests_total",
            "Requests by route and outcome.",
            registry=registry,
        )
        self._latency = aioprometheus.Histogram(
            "savoryspar_gateway_request_seconds",
            "Time from the request's head to the end of its answer, by route.",
            buckets=BUCKETS_S,
            registry=registry,
        )
        self._readers: list[tuple[aioprometheus.Gauge, Callable]] = []

    def count(self, route: str, outcome: str, took_s: float) -> None:
        """Counts a request."""
        self._requests.inc({"route": route, "outcome": outcome})
        self._latency.observe({"route": route}, took_s)

    def read_with(
        self, name: str, text: str, reader: Callable[[], float]
    ) -> None:
        """Adds a gauge whose value is read when the metrics are."""
        gauge = aioprometheus.Gauge(name, text, registry=self._registry)
        self._readers.append((gauge, reader))

    def render(self) -> tuple[bytes, list[tuple[str, str]]]:
        """Returns the metrics as text, and the headers that describe it."""
        for gauge, reader in self._readers:
            gauge.set({}, reader())
        content, headers = aioprometheus.render(self._registry, ["text/plain"])
        return content, list(headers.items())


def new_counters() -> Counters:
    """Returns counters with a registry of their own."""
    return Counters(aioprometheus.Registry())
