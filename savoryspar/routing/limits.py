"""The concurrency limit of one server."""

import math

SHORT_WEIGHT = 0.2
LONG_WEIGHT = 0.01
TOLERANCE = 2.0
"""Latency above the long-term one, as a factor, that lowers no limit."""
SMOOTHING = 0.2
LOWEST_GRADIENT = 0.5
REFUSAL_FACTOR = 0.9


class Limit:
    """Follows the gradient between long-term and recent latency.

    The limit grows while calls use it and latency stays near its long-term
    value, and shrinks in proportion when latency rises.
    """

    __slots__ = ("_cap", "_long_s", "_short_s", "_value")

    def __init__(self, initial: int, cap: int):
        self._cap = cap
        self._value = float(min(initial, cap))
        self._short_s = 0.0
        self._long_s = 0.0

    @property
    def calls(self) -> int:
        """Concurrent calls that the server takes; at least 1."""
        return int(self._value)

    @property
    def latency_s(self) -> float:
        """Recent latency in seconds, 0 when none is known."""
        return self._short_s

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
        """Takes a queue report; a queue means that the limit is too high."""
        if waiting > 0:
            self._move(min(self._value, max(running, 1)))

    def take_refusal(self) -> None:
        """Takes a refused call, which means that the limit is too high."""
        self._move(self._value * REFUSAL_FACTOR)

    def _move(self, value: float) -> None:
        self._value = max(1.0, min(value, float(self._cap)))


def new_limit(initial: int, cap: int) -> Limit:
    """Returns a limit that starts at ``initial`` and never passes ``cap``."""
    return Limit(initial, cap)
