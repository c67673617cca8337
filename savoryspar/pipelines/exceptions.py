"""How a request failed and what is known about its effects."""

import enum

from savoryspar import errors


class RunState(enum.Enum):
    """What is known to have run."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    PARTIAL = "partial"
    COMPLETE = "complete"


class RunError(errors.SavorysparError):
    """A request got no whole answer.

    Attributes:
        kind: Stable name of the problem type, for example ``deadline``.
        status: HTTP status.
        run_state: What is known to have run.
        retry_after_s: When asking again makes sense, or None.
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
