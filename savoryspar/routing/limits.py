"""The concurrency limit of one server."""

import math

SHORT_WEIGHT = 0.2
LONG_WEIGHT = 0.002
"""With 0.01, a queue that lasted for seconds passed as normal latency."""
TOLERANCE = 2.0
"""Latency above the long-term one, as a factor, that lowers no limit."""
SMOOTHING = 0.2
LOWEST_GRADIENT = 0.5
REFUSAL_FACTOR = 0.9
READY_CALLS = 1
"""Calls that wait at a busy server; without them, each slot that became free
stayed idle for a round trip and 6.5% of a batch of 4 was lost."""


class FixedLimit:
    """Stays as it is, whatever the server's latency."""

    __slots__ = ("calls",)

    def __init__(self, calls: int):
        self.calls = calls

    def sample(self, latency_s: float, in_flight: int) -> None:
        """Ignores the latency."""

    def take_queue(self, running: int, waiting: int) -> None:
        """Ignores the queue."""

    def take_refusal(self) -> None:
        """Ignores the refusal."""


class GradientLimit:
    """Follows the gradient between long-term and recent latency.

    The limit grows while calls use it and latency stays near its long-term
    value, and shrinks in proportion when latency rises. Queue reports, where
    a server has them, set a ceiling.
    """

    __slots__ = ("_cap", "_ceiling", "_long_s", "_short_s", "_value")

    def __init__(self, initial: int, cap: int):
        self._cap = cap
        self._ceiling = cap
        self._value = float(min(initial, cap))
        self._short_s = 0.0
        self._long_s = 0.0

    @property
    def calls(self) -> int:
        """Concurrent calls that the server takes; at least 1."""
        return int(self._value)

    def sample(self, latency_s: float, in_flight: int) -> None:
        """Takes the latency of a call that was answered."""
        if not self._long_s:
            self._short_s = self._long_s = latency_s
            return
        self._short_s += SHORT_WEIGHT * (latency_s - self._short_s)
        self._long_s += LONG_WEIGHT * (latency_s - self._long_s)
        # A long-term value from a slow period would hide a new slowdown.
        self._long_s = min(self._long_s, 2.0 * self._short_s)
        gradient = TOLERANCE * self._long_s / max(self._short_s, 1e-6)
        gradient = max(LOWEST_GRADIENT, min(1.0, gradient))
        if gradient == 1.0 and in_flight < self._value / 2:
            return
        target = self._value * gradient + math.sqrt(self._value)
        self._move(self._value + SMOOTHING * (target - self._value))

    def take_queue(self, running: int, waiting: int) -> None:
        """Takes a queue report.

        A queue shows how many calls the server runs at a time. That stays the
        ceiling until the server is as busy without a queue.
        """
        if waiting > 0:
            self._ceiling = running + READY_CALLS
        elif running >= self._ceiling:
            self._ceiling += max(1, self._ceiling // 4)
        self._move(self._value)

    def take_refusal(self) -> None:
        """Takes a refused call, which means that the limit is too high."""
        self._move(self._value * REFUSAL_FACTOR)

    def _move(self, value: float) -> None:
        ceiling = min(self._ceiling, self._cap)
        self._value = max(1.0, min(value, float(ceiling)))


Limit = GradientLimit | FixedLimit


def new_limit(kind: str, initial: int, cap: int) -> Limit:
    """Returns a limit.

    Args:
        kind: ``gradient`` or ``fixed``.
        initial: Concurrent calls before any latency is known.
        cap: Concurrent calls that are never passed.
    """
    if kind == "fixed":
        return FixedLimit(min(initial, cap))
    return GradientLimit(initial, cap)
