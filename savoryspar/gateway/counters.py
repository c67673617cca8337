"""Prometheus metrics of an entry VM on the users' platform."""

from collections.abc import Callable, Iterable

import aioprometheus

BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 5.0, 8.0, 12.0)
"""Upper bounds of the latency buckets, chosen so that the objectives of the
routes fall into different buckets."""

PREFIX = "savoryspar_gateway_"
REQUESTS_METRIC = (PREFIX + "requests_total", "Requests by route and outcome.")
LATENCY_METRIC = (
    PREFIX + "request_seconds",
    "Time from the request head to the end of the response, by route.",
)
LABELLED_GAUGES = {
    "peer_messages": "Messages to and from peers since the start, by kind and"
    " direction.",
    "peer_bytes": "Bytes of these messages.",
    "peer_delayed_messages": "Messages to peers that were written more than"
    " 0.1 s after they were queued, by kind.",
    "prefill_tokens_per_second": "Prefill rate in use, by pool; absent for a"
    " pool without samples.",
    "stage_queue_pieces": "Pieces waiting in the stage queues of this VM, by"
    " pool and zone.",
}
"""Help text of the gauges with labels by name, without the prefix."""
GAUGES = {
    "running": "Requests being served.",
    "connections": "Open connections of callers.",
    "connection_limit": "Most connections of callers.",
    "request_bytes": "Memory that requests count, without their bodies.",
    "request_limit_bytes": "Limit for that memory.",
    "connections_refused": "Connections and requests without room since the"
    " start.",
    "connections_given_up": "Connections closed for others since the start.",
    "response_bytes": "Bytes of responses that wait for their callers.",
    "response_limit_bytes": "Limit for those bytes.",
    "responses_given_up": "Responses given up since the start, as their callers"
    " did not take them and others needed their memory.",
    "pool_share_refusals": "Requests refused since the start as others to their"
    " pool took its share of the memory for requests.",
    "configuration_version": "Version of the active configuration, 0 if none.",
    "store_calls": "Calls to the platform's store since the start.",
    "store_era": "Times that the store came back from a copy, as it tells.",
    "store_changes": "Changes that the store reported since the start.",
    "ignored_entries": "Malformed entries of the store and of peers that were"
    " ignored since the start, one for each revision.",
    "evacuated_zones": "Availability zones to whose servers nothing may be"
    " sent.",
    "store_peer_reads": "Times that peers were asked for the store's contents.",
    "store_behind_seconds": "Time since a peer told a change that is missing.",
    "peer_links_opened": "Links to peers opened by either side since the"
    " start.",
    "peer_links_failed": "Links to peers that this process could not open.",
    "peer_longest_wait_seconds": "Longest time from queueing a message to a"
    " peer to the end of its write, since the start.",
    "peers": "Live peers in the view of this process.",
    "backend_connections_opened": "Connections to backend servers opened"
    " since the start.",
    "stray_answers": "Backend answers skipped because they belong to other"
    " requests.",
    "stage_calls": "Batched calls from this VM to stage servers.",
    "stage_pieces": "Pieces in the batched calls from this VM.",
    "stage_reserved_bytes": "Memory that stage groups admitted by this VM will"
    " still need for results.",
    "stage_predicted_wait_seconds": "Sum of the predicted waits of the stage"
    " groups that this VM served.",
    "stage_actual_wait_seconds": "Sum of the actual waits of the stage groups"
    " that this VM served.",
    "stage_waiting": "Pieces waiting in the stage queues of this VM.",
    "cold_servers": "Backend servers that are cold.",
    "slow_starts": "Slow starts of backend servers since the start.",
    "starting_servers": "Backend servers in their slow start.",
    "limited_servers": "Backend servers that name a rate limit.",
    "limited_sends": "Requests from this VM to backend servers that named a"
    " rate limit.",
    "limit_denials": "Permits that this VM was denied because a rate limit was"
    " reached.",
    "limit_permits_granted": "Permits that this VM granted to the fleet for"
    " servers that it owns.",
    "limit_per_second": "Sum of the rate limits in force.",
    "limit_share_per_second": "Permits per second that this VM was granted in"
    " the last 4 s.",
    "suspected_parts": "Parts of prompts that are suspected of crashing"
    " backend servers.",
    "blocked_parts": "Sets of parts of prompts that requests are refused for.",
    "blocked_requests": "Requests that were refused because they crash backend"
    " servers.",
    "trials": "Requests of this VM that ran alone as suspects.",
    "longest_round_seconds": "Longest round of the event loop in the last one"
    " to two minutes. Requests and health checks wait for its end.",
    "read_waits": "Times that a connection had to wait for its turn to read,"
    " as its bytes took more than its share of the event loop.",
    "upload_bytes": "Bytes of callers' bodies that are held or reserved.",
    "upload_limit_bytes": "Limit for them.",
    "uploads_refused": "Bodies refused since the start because there was no"
    " room for them.",
    "uploads_stalled": "Bodies without progress that were given up for others"
    " since the start.",
    "log_lines_left_out": "Log lines dropped since the start.",
}
"""Help text by gauge name, without the prefix."""


LabelledReader = Callable[[], Iterable[tuple[dict[str, str], float]]]
"""Returns the labels and the value of each series of a gauge."""


class Counters:
    """Counts requests by route and outcome, and renders all metrics."""

    __slots__ = (
        "_labelled_readers",
        "_latency",
        "_readers",
        "_registry",
        "_requests",
    )

    def __init__(self, registry: aioprometheus.Registry):
        self._registry = registry
        self._requests = aioprometheus.Counter(
            *REQUESTS_METRIC, registry=registry
        )
        self._latency = aioprometheus.Histogram(
            *LATENCY_METRIC,
            buckets=BUCKETS_S,
            registry=registry,
        )
        self._readers: list[tuple[aioprometheus.Gauge, Callable]] = []
        self._labelled_readers: list[
            tuple[aioprometheus.Gauge, LabelledReader]
        ] = []

    def count(self, route: str, outcome: str, took_s: float) -> None:
        """Counts a request and records its latency."""
        self._requests.inc({"route": route, "outcome": outcome})
        self._latency.observe({"route": route}, took_s)

    def add_gauge(self, name: str, reader: Callable[[], float]) -> None:
        """Registers a gauge.

        Args:
            name: A key of ``GAUGES``.
            reader: Returns the current value; called for each rendering.
        """
        gauge = aioprometheus.Gauge(
            PREFIX + name, GAUGES[name], registry=self._registry
        )
        self._readers.append((gauge, reader))

    def add_labelled_gauge(self, name: str, reader: LabelledReader) -> None:
        """Registers a gauge with labels.

        Args:
            name: A key of ``LABELLED_GAUGES``.
            reader: Called for each rendering.
        """
        gauge = aioprometheus.Gauge(
            PREFIX + name, LABELLED_GAUGES[name], registry=self._registry
        )
        self._labelled_readers.append((gauge, reader))

    def render(self) -> tuple[bytes, list[tuple[str, str]]]:
        """Returns the metrics as text with their HTTP headers."""
        for gauge, reader in self._readers:
            gauge.set({}, reader())
        for gauge, reader in self._labelled_readers:
            for labels, value in reader():
                gauge.set(labels, value)
        content, headers = aioprometheus.render(self._registry, ["text/plain"])
        return content, list(headers.items())


def descriptions() -> dict[str, str]:
    """Returns the help text of each metric by its full name."""
    gauges = {
        PREFIX + name: text
        for name, text in {**GAUGES, **LABELLED_GAUGES}.items()
    }
    return {**dict([REQUESTS_METRIC, LATENCY_METRIC]), **gauges}


def new_counters() -> Counters:
    """Returns counters with a new registry."""
    return Counters(aioprometheus.Registry())
