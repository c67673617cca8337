"""Exceptions raised by the scheduler."""

from savoryspar import errors


class AdmissionError(errors.SavorysparError):
    """A job was rejected or dropped before it ran.

    Attributes:
        retry_after_s: Seconds to wait before a retry.
    """

    def __init__(self, message: str, retry_after_s: float):
        super().__init__(message, f"retry in {retry_after_s:.1f} s")
        self.retry_after_s = retry_after_s
