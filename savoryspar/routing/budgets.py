"""Token buckets for the retries of a pool and for cross-region traffic."""


class RetryBudget:
    """Limits retries to a ratio of first attempts, plus a reserve."""

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
        """Adds the tokens that a first attempt earns."""
        self._tokens = min(self._tokens + self._ratio, self._ceiling)

    def spend(self) -> None:
        """Removes the token for a retry."""
        self._tokens -= 1.0


class ByteBudget:
    """Limits the byte rate and allows bursts of ``BURST_S`` seconds."""

    __slots__ = ("_burst", "_rate", "_refilled_at", "_tokens")

    BURST_S = 2.0

    def __init__(self, bytes_per_s: float):
        self._rate = bytes_per_s
        self._burst = bytes_per_s * self.BURST_S
        self._tokens = self._burst
        self._refilled_at = 0.0

    def allows(self, size: int, now: float) -> bool:
        """Returns whether ``size`` bytes may be sent at ``now``."""
        tokens = self._tokens + (now - self._refilled_at) * self._rate
        return min(tokens, self._burst) >= size

    def spend(self, size: int, now: float) -> None:
        """Removes the tokens for bytes that are sent."""
        tokens = self._tokens + (now - self._refilled_at) * self._rate
        self._tokens = min(tokens, self._burst) - size
        self._refilled_at = now
