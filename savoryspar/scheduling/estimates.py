"""Streaming quantiles of stage latency, by pool, model, rank and size."""

import array
import itertools
import math

FIRST_S = 0.0005
RATIO = 1.08
BUCKETS = 180  # Up to 500 s.
HALVE_AFTER = 512
REFRESH_AFTER = 8
_LOG_RATIO = math.log(RATIO)


class Quantiles:
    """Quantiles of recent latencies from a histogram that ages.

    Counts are halved every ``HALVE_AFTER`` samples, so old samples fade. A
    quantile is at most ``RATIO`` times the exact one of the weighted samples.

    Attributes:
        p50_s, p95_s: Quantiles in seconds, 0 before the first sample.
    """

    __slots__ = ("_counts", "_samples", "p50_s", "p95_s")

    def __init__(self) -> None:
        self._counts = array.array("d", [0.0]) * BUCKETS
        self._samples = 0
        self.p50_s = 0.0
        self.p95_s = 0.0

    def add(self, latency_s: float) -> None:
        """Adds a sample in seconds."""
        ratio = max(latency_s, FIRST_S) / FIRST_S
        bucket = math.ceil(math.log(ratio) / _LOG_RATIO)
        self._counts[min(bucket, BUCKETS - 1)] += 1.0
        self._samples += 1
        if self._samples % HALVE_AFTER == 0:
            self._counts = array.array("d", (c / 2.0 for c in self._counts))
        if self._samples <= REFRESH_AFTER or (
            self._samples % REFRESH_AFTER == 0
        ):
            self._refresh()

    def _refresh(self) -> None:
        sums = list(itertools.accumulate(self._counts))
        self.p50_s = _value(sums, 0.50)
        self.p95_s = _value(sums, 0.95)


def _value(sums: list[float], quantile: float) -> float:
    wanted = sums[-1] * quantile
    bucket = next(i for i, total in enumerate(sums) if total >= wanted)
    return FIRST_S * RATIO**bucket


class Estimates:
    """Latency of a stage once it has a slot.

    Jobs of one model differ in size by orders of magnitude, and engines run
    urgent work first, so estimates are kept for each rank and power of two of
    the cost. A rank and size without samples of its own takes the estimate of
    the pool and model.
    """

    __slots__ = ("_quantiles",)

    def __init__(self) -> None:
        self._quantiles: dict[tuple[str, str, str, int], Quantiles] = {}

    def observe(
        self, pool: str, model: str, rank: str, cost: float, latency_s: float
    ) -> None:
        """Adds the latency of a finished stage."""
        for key in ((pool, model, "", 0), (pool, model, rank, _size(cost))):
            found = self._quantiles.get(key)
            if found is None:
                found = self._quantiles[key] = Quantiles()
            found.add(latency_s)

    def p50_s(self, pool: str, model: str, rank: str, cost: float) -> float:
        """Returns the median in seconds, 0 when nothing is known."""
        found = self._find(pool, model, rank, cost)
        return found.p50_s if found else 0.0

    def p95_s(self, pool: str, model: str, rank: str, cost: float) -> float:
        """Returns the 95th percentile in seconds, 0 when it is unknown."""
        found = self._find(pool, model, rank, cost)
        return found.p95_s if found else 0.0

    def _find(
        self, pool: str, model: str, rank: str, cost: float
    ) -> Quantiles | None:
        return self._quantiles.get(
            (pool, model, rank, _size(cost))
        ) or self._quantiles.get((pool, model, "", 0))


def _size(cost: float) -> int:
    return int(cost).bit_length()
