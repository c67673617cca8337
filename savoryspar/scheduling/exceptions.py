"""Errors of admission."""

from savoryspar import errors


class AdmissionError(errors.SavorysparError):
    """A job was refused before it ran.

    Attributes:
        retry_after_s: When asking again makes sense, in seconds.
    """

    def __init__(self, message: str, retry_after_s: float):
        super().__init__(message, f"ask again in {retry_after_s:.1f} s")
        self.retry_after_s = retry_after_s
