"""Errors of rate limits."""

from savoryspar import errors


class LimitReachedError(errors.SavorysparError):
    """A server takes no further request within its rate limit now.

    Attributes:
        retry_after_s: Time after which a request would be sent, in seconds.
        next_s: Time after which a permit may be free, in seconds; other
            requests may take it.
        decided_at: When the permit was refused; monotonic seconds.
    """

    def __init__(
        self,
        message: str,
        retry_after_s: float,
        next_s: float,
        decided_at: float,
    ):
        super().__init__(message, f"retry in {retry_after_s:.1f} s")
        self.retry_after_s = retry_after_s
        self.next_s = next_s
        self.decided_at = decided_at
