"""Token buckets: retries of a pool, and traffic to other regions."""


class RetryBudget:
    """Each call earns a part of a retry, so retries stay a share of calls."""

    __slots__ = ("_ceiling", "_ratio", "_tokens")

    def __init__(self, ratio: float, reserve: float, max_tokens: float = 20.0):
        self._ratio = ratio
        self._ceiling = max(max_tokens, float(reserve))
        self._tokens = float(reserve)

    @property
    def has_token(self) -> bool:
        """Whether a retry is allowed."""
        return self._tokens >= 1.0

    def earn(self) -> None:
        """Counts a first attempt."""
        self._tokens = min(self._tokens + self._ratio, self._ceiling)

    def spend(self) -> None:
        """Counts a retry."""
        self._tokens -= 1.0


class ByteBudget:
    """A rate of bytes with a burst."""

    __slots__ = ("_burst", "_filled_at", "_rate", "_tokens")

    BURST_S = 2.0

    def __init__(self, bytes_per_s: float):
        self._rate = bytes_per_s
        self._burst = bytes_per_s * self.BURST_S
        self._tokens = self._burst
        self._filled_at = 0.0

    def allows(self, size: int, now: float) -> bool:
        """Tells whether that many bytes may be sent at ``now``."""
        filled = self._tokens + (now - self._filled_at) * self._rate
        return min(filled, self._burst) >= size

    def spend(self, size: int, now: float) -> None:
        """Counts bytes that are sent."""
        filled = self._tokens + (now - self._filled_at) * self._rate
        self._tokens = min(filled, self._burst) - size
        self._filled_at = now
