"""Reports that engines publish: load and cache events."""

from savoryspar import decoding

MAX_LOAD = 1e9
MAX_REPORT_BYTES = 8 << 20
LOAD_NAMES = ("engine_running", "engine_waiting")


class LoadReport:
    """Number of requests at a server.

    Attributes:
        running: Running requests.
        waiting: Queued requests.
    """

    __slots__ = ("running", "waiting")

    def __init__(self, running: int, waiting: int):
        self.running = running
        self.waiting = waiting


class CacheReport:
    """Cache events of one server since the previous report.

    Attributes:
        stored, removed: Hashes of the blocks whose last event in the report is
            of this kind.
        last: Sequence number of the last event.
        has_gap: Whether events are missing from the report.
    """

    __slots__ = ("has_gap", "last", "removed", "stored")

    def __init__(
        self, stored: list[int], removed: list[int], last: int, has_gap: bool
    ):
        self.stored = stored
        self.removed = removed
        self.last = last
        self.has_gap = has_gap


def decode_load(text: str) -> LoadReport:
    """Decodes ``GET /load`` (Prometheus text).

    Raises:
        DecodingError: The text is not a load report.
    """
    if not text.endswith("\n"):
        raise ValueError("the load report ends within a line")
    lines = (line.split() for line in text.splitlines())
    values = {line[0]: line[1] for line in lines if len(line) == 2}
    with decoding.reading("not a load report"):
        running, waiting = (
            int(decoding.number(float(values[name]), 0, MAX_LOAD))
            for name in LOAD_NAMES
        )
    return LoadReport(running, waiting)


def decode_cache_events(text: bytes, after: int) -> CacheReport:
    """Decodes ``GET /cache-events?after=N``.

    Args:
        text: JSON with ``events`` (each with ``sequence``, ``kind`` and
            ``blocks``) and ``last``.
        after: Sequence number that was requested.

    Raises:
        DecodingError: The text is not a valid report.
    """
    document = decoding.decode_json(text, MAX_REPORT_BYTES)
    with decoding.reading("not a report of cache events"):
        last = decoding.integer(document["last"], 0)
        events = document["events"]
        states = {
            int(block, 16): event["kind"]
            for event in events
            for block in event["blocks"]
        }
        return CacheReport(
            [block for block, kind in states.items() if kind == "stored"],
            [block for block, kind in states.items() if kind == "removed"],
            last,
            len(events) != last - after,
        )
