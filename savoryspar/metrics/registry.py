"""The metrics of one process."""

import aioprometheus

ACCEPT = ("text/plain",)


class Metrics:
    """Counts what the process does."""

    __slots__ = ("_problems", "_registry", "_requests")

    def __init__(self, registry: aioprometheus.Registry):
        self._registry = registry
        self._requests = aioprometheus.Counter(
            "savoryspar_requests_total",
            "Requests answered whole, by pipeline and rank.",
            registry=registry,
        )
        self._problems = aioprometheus.Counter(
            "savoryspar_problems_total",
            "Requests answered with a problem document, by type.",
            registry=registry,
        )

    def count_request(self, pipeline: str, rank: str) -> None:
        """Counts a request that was answered whole."""
        self._requests.inc({"pipeline": pipeline, "rank": rank})

    def count_problem(self, kind: str) -> None:
        """Counts a request that was answered with a problem."""
        self._problems.inc({"type": kind})

    def descriptions(self) -> dict[str, str]:
        """Returns what each metric counts, by its name."""
        return {
            name: collector.doc
            for name, collector in self._registry.collectors.items()
        }

    def render(self) -> tuple[bytes, list[tuple[str, str]]]:
        """Returns the metrics as text, and the headers that describe it."""
        content, headers = aioprometheus.render(self._registry, list(ACCEPT))
        return content, list(headers.items())


def new_metrics() -> Metrics:
    """Returns metrics with a registry of their own."""
    return Metrics(aioprometheus.Registry())
