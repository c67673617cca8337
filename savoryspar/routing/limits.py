"""Concurrency limits for calls to one server."""

import math

SHORT_WEIGHT = 0.2
"""Weight of a new sample in the recent mean latency."""
LONG_WEIGHT = 0.002
"""Weight of a new sample in the long-term mean latency. With 0.01, a queue that
lasted for seconds was absorbed into the long-term mean."""
TOLERANCE = 2.0
"""Ratio of recent to long-term latency up to which the limit is not lowered."""
SMOOTHING = 0.2
MIN_GRADIENT = 0.5
REFUSAL_FACTOR = 0.9
QUEUE_DEPTH = 1
"""Calls kept queued at a busy server. Without them, each freed slot stayed idle
for a round trip, which wasted 6.5% of a batch of 4."""


class FixedLimit:
    """A constant limit that ignores the server's latency and queue."""

    __slots__ = ("calls",)

    def __init__(self, calls: int):
        self.calls = calls

    def record_latency(self, latency_s: float, in_flight: int) -> None:
        """Does nothing; the limit is constant."""

    def record_queue(self, running: int, waiting: int) -> None:
        """Does nothing; the limit is constant."""

    def record_refusal(self) -> None:
        """Does nothing; the limit is constant."""


class GradientLimit:
    """Adapts the limit to the ratio of long-term to recent latency.

    The limit grows while calls use it and latency stays near its long-term
    value, and shrinks in proportion when latency rises. Queue reports, from
    servers that publish them, set a floor and a ceiling.
    """

    __slots__ = (
        "_cap",
        "_ceiling",
        "_floor",
        "_long_s",
        "_short_s",
        "_value",
    )

    def __init__(self, initial: int, cap: int):
        self._cap = cap
        self._ceiling = cap
        self._floor = 1
        self._value = float(min(initial, cap))
        self._short_s = 0.0
        self._long_s = 0.0

    @property
    def calls(self) -> int:
        """Maximum number of concurrent calls; at least 1."""
        return int(self._value)

    def record_latency(self, latency_s: float, in_flight: int) -> None:
        """Updates the limit with the latency of a successful call.

        Args:
            latency_s: Latency in seconds.
            in_flight: Concurrent calls, this one included.
        """
        if not self._long_s:
            self._short_s = self._long_s = latency_s
            return
        self._short_s += SHORT_WEIGHT * (latency_s - self._short_s)
        self._long_s += LONG_WEIGHT * (latency_s - self._long_s)
        # A long-term mean from a slow period would mask a new slowdown.
        self._long_s = min(self._long_s, 2.0 * self._short_s)
        gradient = TOLERANCE * self._long_s / max(self._short_s, 1e-6)
        gradient = max(MIN_GRADIENT, min(1.0, gradient))
        if gradient == 1.0 and in_flight < self._value / 2:
            return
        target = self._value * gradient + math.sqrt(self._value)
        self._set_value(self._value + SMOOTHING * (target - self._value))

    def record_queue(self, running: int, waiting: int) -> None:
        """Updates floor and ceiling from a queue report.

        While calls are queued, the number of running calls is the server's
        actual concurrency. It becomes the floor, because high latency at a
        full server is no reason to use less than its capacity. The ceiling is
        ``QUEUE_DEPTH`` calls more, and rises again once the server is that
        busy without a queue.
        """
        if waiting > 0:
            self._ceiling = running + QUEUE_DEPTH
            self._floor = max(running, 1)
        elif running >= self._ceiling:
            self._ceiling += max(1, self._ceiling // 4)
        self._set_value(self._value)

    def record_refusal(self) -> None:
        """Lowers the limit after the server refused a call."""
        self._floor = 1
        self._set_value(self._value * REFUSAL_FACTOR)

    def _set_value(self, value: float) -> None:
        ceiling = min(self._ceiling, self._cap)
        floor = min(self._floor, ceiling)
        self._value = max(float(floor), min(value, float(ceiling)))


Limit = GradientLimit | FixedLimit


def new_limit(kind: str, initial: int, cap: int) -> Limit:
    """Creates a concurrency limit.

    Args:
        kind: ``gradient`` or ``fixed``.
        initial: Initial number of concurrent calls.
        cap: Upper bound of the limit.
    """
    if kind == "fixed":
        return FixedLimit(min(initial, cap))
    return GradientLimit(initial, cap)
