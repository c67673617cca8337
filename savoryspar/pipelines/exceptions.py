"""Errors of requests, with the extent to which the request ran."""

import enum

from savoryspar import errors


class RunState(enum.Enum):
    """Extent to which a request is known to have run."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    PARTIAL = "partial"
    COMPLETE = "complete"


class RunError(errors.SavorysparError):
    """A request failed without a complete answer.

    Attributes:
        kind: Stable name of the problem type, for example ``deadline``.
        status: HTTP status.
        run_state: Extent to which the request is known to have run.
        retry_after_s: Seconds to wait before a retry, or None.
    """

    def __init__(
        self,
        kind: str,
        status: int,
        message: str,
        remedy: str,
        run_state: RunState,
        retry_after_s: float | None = None,
    ):
        super().__init__(message, remedy)
        self.kind = kind
        self.status = status
        self.run_state = run_state
        self.retry_after_s = retry_after_s
