"""Rate limit for the calls of one process to a service."""


class CallBudget:
    """A token bucket of calls.

    A long poll occupies the service while it waits, so it costs one call for
    each second of its duration.
    """

    __slots__ = ("_burst", "_rate", "_tokens", "_updated_at")

    def __init__(self, calls_per_s: float, burst: float, now: float):
        self._rate = calls_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_at = now

    def wait_s(self, now: float) -> float:
        """Returns the time until the next call is within the budget."""
        return max(0.0, (1.0 - self._available(now)) / self._rate)

    def spend(self, calls: float, now: float) -> None:
        """Deducts calls from the budget, which may become negative."""
        self._tokens = self._available(now) - calls
        self._updated_at = now

    def _available(self, now: float) -> float:
        refilled = (now - self._updated_at) * self._rate
        return min(self._burst, self._tokens + refilled)
