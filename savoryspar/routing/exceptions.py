"""Errors of routing."""

from savoryspar import errors


class NoServerError(errors.SavorysparError):
    """No backend server of a pool can accept a call.

    Attributes:
        retry_after_s: Time after which to retry, in seconds.
        is_busy: Whether live servers are only busy, so that one becomes
            available once its calls end.
    """

    def __init__(
        self,
        pool: str,
        reason: str,
        retry_after_s: float,
        is_busy: bool = False,
    ):
        super().__init__(
            f"no backend server of pool {pool!r} can accept the call: {reason}",
            f"retry in {retry_after_s:.1f} s",
        )
        self.retry_after_s = retry_after_s
        self.is_busy = is_busy
