"""Streaming quantiles of stage latency by pool, model, rank and cost."""

import array
import itertools
import math

MIN_LATENCY_S = 0.0005
BUCKET_RATIO = 1.08
BUCKET_COUNT = 180  # The last bucket is at about 500 s.
SAMPLES_PER_HALVING = 512
SAMPLES_PER_REFRESH = 8
_LOG_BUCKET_RATIO = math.log(BUCKET_RATIO)


class Quantiles:
    """Quantiles of recent latencies from a histogram with decaying counts.

    Counts are halved every ``SAMPLES_PER_HALVING`` samples, so that recent
    samples dominate. A quantile is at most ``BUCKET_RATIO`` times the exact
    quantile of the weighted samples.

    Attributes:
        p50_s: Median in seconds, 0 before the first sample.
        p95_s: 95th percentile in seconds, 0 before the first sample.
    """

    __slots__ = ("_counts", "_samples", "p50_s", "p95_s")

    def __init__(self) -> None:
        self._counts = array.array("d", [0.0]) * BUCKET_COUNT
        self._samples = 0
        self.p50_s = 0.0
        self.p95_s = 0.0

    def add(self, latency_s: float) -> None:
        """Adds a latency sample in seconds."""
        ratio = max(latency_s, MIN_LATENCY_S) / MIN_LATENCY_S
        bucket = math.ceil(math.log(ratio) / _LOG_BUCKET_RATIO)
        self._counts[min(bucket, BUCKET_COUNT - 1)] += 1.0
        self._samples += 1
        if self._samples % SAMPLES_PER_HALVING == 0:
            self._counts = array.array("d", (c / 2.0 for c in self._counts))
        if self._samples <= SAMPLES_PER_REFRESH or (
            self._samples % SAMPLES_PER_REFRESH == 0
        ):
            self._refresh()

    def _refresh(self) -> None:
        cumulative = list(itertools.accumulate(self._counts))
        self.p50_s = _quantile_s(cumulative, 0.50)
        self.p95_s = _quantile_s(cumulative, 0.95)


def _quantile_s(cumulative: list[float], quantile: float) -> float:
    target = cumulative[-1] * quantile
    bucket = next(i for i, total in enumerate(cumulative) if total >= target)
    return MIN_LATENCY_S * BUCKET_RATIO**bucket


class Estimates:
    """Latency estimates of stages, measured from grant to release.

    Costs of jobs for one model differ by orders of magnitude, and engines run
    urgent work first, so estimates are kept for each rank and power of two of
    the cost. A rank and cost class without samples falls back to the estimate
    for the pool and model.
    """

    __slots__ = ("_quantiles",)

    def __init__(self) -> None:
        self._quantiles: dict[tuple[str, str, str, int], Quantiles] = {}

    def observe(
        self, pool: str, model: str, rank: str, cost: float, latency_s: float
    ) -> None:
        """Records the latency of a completed stage."""
        for key in (
            (pool, model, "", 0),
            (pool, model, rank, _size_class(cost)),
        ):
            quantiles = self._quantiles.get(key)
            if quantiles is None:
                quantiles = self._quantiles[key] = Quantiles()
            quantiles.add(latency_s)

    def p50_s(self, pool: str, model: str, rank: str, cost: float) -> float:
        """Returns the median in seconds, 0 without samples."""
        quantiles = self._find(pool, model, rank, cost)
        return quantiles.p50_s if quantiles else 0.0

    def p95_s(self, pool: str, model: str, rank: str, cost: float) -> float:
        """Returns the 95th percentile in seconds, 0 without samples."""
        quantiles = self._find(pool, model, rank, cost)
        return quantiles.p95_s if quantiles else 0.0

    def _find(
        self, pool: str, model: str, rank: str, cost: float
    ) -> Quantiles | None:
        return self._quantiles.get(
            (pool, model, rank, _size_class(cost))
        ) or self._quantiles.get((pool, model, "", 0))


def _size_class(cost: float) -> int:
    return int(cost).bit_length()
