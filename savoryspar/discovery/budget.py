"""Limits the calls of one process at a service."""


class CallBudget:
    """A token bucket.

    A waiting long poll holds its place at the service, so it costs one call
    for each second that it waited.
    """

    __slots__ = ("_at", "_burst", "_rate", "_tokens")

    def __init__(self, calls_per_s: float, burst: float, now: float):
        self._rate = calls_per_s
        self._burst = burst
        self._tokens = burst
        self._at = now

    def wait_s(self, now: float) -> float:
        """Returns the time until the next call is within the budget."""
        return max(0.0, (1.0 - self._available(now)) / self._rate)

    def spend(self, calls: float, now: float) -> None:
        """Takes calls from the budget, which may go below zero."""
        self._tokens = self._available(now) - calls
        self._at = now

    def _available(self, now: float) -> float:
        earned = (now - self._at) * self._rate
        return min(self._burst, self._tokens + earned)
