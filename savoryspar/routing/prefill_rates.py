"""Prefill rates of the engines of each pool, measured or told by peers.

The VM that places all requests of a zone measures the rate there. It tells the
rate with its replies, and other VMs use what they were told. A pool without a
measurement has the usual rate.

The time to the first output is a fixed delay plus the uncached tokens divided
by the rate. The fixed delay (network, first step on a busy engine) is not
known, so the rate is the slope of a line through samples and not a quotient.
"""

import collections
from collections.abc import Callable, Sequence
import math
import statistics

from savoryspar import decoding

MIN_TOKENS = 1000
"""Uncached tokens of a sample. Below, the prefill takes less time than a step
of a busy engine."""
BLOCK_SAMPLES = 32
"""Samples of one estimate. In a simulation with prompts of 500 to 14,000
tokens, slow moments (2.5 times the duration, 15% of the samples), 10% wrong
samples and steps of 4 to 20 ms, 80% of the estimates were within 5% of the
rate."""
BLOCKS = 3
"""Estimates that must agree before another rate is used."""
MIN_SPREAD_TOKENS = 2000
"""Difference in uncached tokens from which two samples are compared. A
difference of 20 ms in fixed delays is 60% of their prefill time."""
MIN_PARTNERS = 8
"""Samples with which a sample must be comparable to count."""
DIFFERENT_FACTOR = 1.25
"""Factor between the usual rate and each estimate from which another rate is
used. Engines are known with 1.4 and 1.6 times less than the usual rate."""
SAME_FACTOR = 1.12
"""Factor between the usual rate and the median estimate up to which the usual
rate is used again."""
UPDATE_FACTOR = 1.1
"""Factor by which a measured rate must change to replace the one in use."""
MAX_FACTOR = 4.0
"""Factor between the usual rate and any other rate; more is an error."""
MEASUREMENT_TTL_S = 60.0
"""Age from which a rate told by a peer replaces an own measurement. A VM that
no longer places the requests of a zone measures nothing."""
SOURCE_TTL_S = 5.0
"""Time for which rates of other peers are ignored after a peer told one, so
that two zones with different rates do not alternate."""


class Sample:
    """A call whose prompt is prefilled alone, as far as is known.

    Attributes:
        tokens: Uncached tokens, as the prefix index tells.
        delay_s: Known delays other than the prefill, in seconds.
        starts: Number of calls started on the server, with this one.
    """

    __slots__ = ("delay_s", "starts", "tokens")

    def __init__(self, tokens: float, delay_s: float, starts: int):
        self.tokens = tokens
        self.delay_s = delay_s
        self.starts = starts


class PoolRate:
    """Rate of one pool.

    Attributes:
        tokens_per_s: The rate in use.
        has_differed: Whether another rate than the usual one was ever used.
        is_measured: Whether the rate in use is an own measurement.
        measured_at: Monotonic time of the last own measurement that showed
            which rate to use.
        samples: Tokens and seconds of the samples of the next estimate.
        estimates: The last estimates, 0 for one that failed.
        source: Peer that told the rate in use, empty for none.
        told_at: Monotonic time at which it told a rate last.
    """

    __slots__ = (
        "estimates",
        "has_differed",
        "is_measured",
        "measured_at",
        "samples",
        "source",
        "tokens_per_s",
        "told_at",
    )

    def __init__(self, tokens_per_s: float):
        self.tokens_per_s = tokens_per_s
        self.has_differed = False
        self.is_measured = False
        self.measured_at = -math.inf
        self.samples: list[tuple[float, float]] = []
        self.estimates: collections.deque[float] = collections.deque(
            maxlen=BLOCKS
        )
        self.source = ""
        self.told_at = -math.inf


Listener = Callable[[str, float, str, float], None]
"""Called with pool, tokens per second, source (empty for an own measurement)
and monotonic time when the rate in use has changed."""


class PrefillRates:
    """Rates of all pools; create it with ``new_prefill_rates``.

    Attributes:
        usual: Tokens per second of a pool of which nothing else is known.
        listener: Called when a rate in use changes, None for no one.
    """

    __slots__ = ("_pools", "listener", "usual")

    def __init__(self, usual: float):
        self.usual = usual
        self.listener: Listener | None = None
        self._pools: dict[str, PoolRate] = {}

    def tokens_per_s(self, pool: str) -> float:
        """Returns the rate in use."""
        found = self._pools.get(pool)
        return self.usual if found is None else found.tokens_per_s

    def rates(self) -> dict[str, float]:
        """Returns the rates in use of the pools with samples or reports."""
        return {name: p.tokens_per_s for name, p in self._pools.items()}

    def report(self, pool: str) -> float | None:
        """Returns the own measurement that peers must know, None for none.

        The usual rate is told only after another one was used. A rate that a
        peer told is not passed on: it would outlive its measurement.
        """
        found = self._pools.get(pool)
        if found is None or not found.is_measured or not found.has_differed:
            return None
        return found.tokens_per_s

    def record_sample(
        self, pool: str, tokens: float, took_s: float, now: float
    ) -> None:
        """Records a prompt that was prefilled while no other one was pending.

        Args:
            pool: Pool of the engine.
            tokens: Uncached tokens, as the prefix index tells.
            took_s: Time to the first output in seconds.
            now: Monotonic time in seconds.
        """
        if tokens < MIN_TOKENS or took_s <= 0.0:
            return
        found = self._pool(pool)
        found.samples.append((tokens, took_s))
        if len(found.samples) < BLOCK_SAMPLES:
            return
        estimate = fitted_rate(found.samples)
        found.samples = []
        found.estimates.append(
            estimate if self._is_plausible(estimate) else 0.0
        )
        self._assess(pool, found, now)

    def record_report(
        self, pool: str, value: object, source: str, now: float
    ) -> None:
        """Uses a rate that a peer told; a malformed one is ignored.

        Args:
            pool: The pool.
            value: Tokens per second as received.
            source: Incarnation of the peer.
            now: Monotonic time in seconds.
        """
        try:
            rate = decoding.number(
                value, self.usual / MAX_FACTOR, self.usual * MAX_FACTOR
            )
        except decoding.DecodingError:
            return
        found = self._pool(pool)
        if now - found.measured_at < MEASUREMENT_TTL_S:
            return
        if source != found.source and now - found.told_at < SOURCE_TTL_S:
            return
        found.source, found.told_at = source, now
        found.is_measured = False
        self._use(pool, found, rate, source, now)

    def _assess(self, pool: str, found: PoolRate, now: float) -> None:
        """Uses the rate that the last estimates show, if they agree."""
        rate = self._measured(found)
        if rate is None:
            return
        found.is_measured, found.measured_at = True, now
        found.source = ""
        if (
            rate == self.usual
            or found.tokens_per_s == self.usual
            or _factor(rate, found.tokens_per_s) > UPDATE_FACTOR
        ):
            self._use(pool, found, rate, "", now)

    def _measured(self, found: PoolRate) -> float | None:
        """Returns the measured rate, None while the estimates do not agree."""
        estimates = found.estimates
        if len(estimates) < BLOCKS or not all(estimates):
            return None
        median = statistics.median(estimates)
        if _factor(median, self.usual) <= SAME_FACTOR:
            return self.usual
        is_slower = all(e * DIFFERENT_FACTOR <= self.usual for e in estimates)
        is_faster = all(e >= self.usual * DIFFERENT_FACTOR for e in estimates)
        return median if is_slower or is_faster else None

    def _use(
        self, pool: str, found: PoolRate, rate: float, source: str, now: float
    ) -> None:
        if rate == found.tokens_per_s:
            return
        found.tokens_per_s = rate
        found.has_differed = True
        if self.listener is not None:
            self.listener(pool, rate, source, now)

    def _is_plausible(self, rate: float) -> bool:
        return rate > 0.0 and _factor(rate, self.usual) <= MAX_FACTOR

    def _pool(self, name: str) -> PoolRate:
        found = self._pools.get(name)
        if found is None:
            found = self._pools[name] = PoolRate(self.usual)
        return found


def fitted_rate(samples: Sequence[tuple[float, float]]) -> float:
    """Returns the rate that fits samples of tokens and seconds.

    It is the inverse of the repeated median slope (Siegel), which is right
    while fewer than half of the samples are wrong. Returns 0 if the numbers of
    tokens are too similar, or if more tokens do not take longer.
    """
    slopes = []
    for tokens, took_s in samples:
        own = [
            (other_s - took_s) / (other - tokens)
            for other, other_s in samples
            if abs(other - tokens) >= MIN_SPREAD_TOKENS
        ]
        if len(own) >= MIN_PARTNERS:
            slopes.append(statistics.median(own))
    if len(slopes) < len(samples) / 2:
        return 0.0
    slope = statistics.median(slopes)
    return 1.0 / slope if slope > 0.0 else 0.0


def _factor(rate: float, other: float) -> float:
    return max(rate / other, other / rate)


def new_prefill_rates(usual: float) -> PrefillRates:
    """Returns rates of pools of which nothing is known.

    Args:
        usual: Tokens per second of such a pool.
    """
    return PrefillRates(usual)
