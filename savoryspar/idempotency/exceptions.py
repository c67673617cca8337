"""Exceptions of orders and tickets."""

from savoryspar import errors


class OrderError(errors.SavorysparError):
    """Base class of the exceptions of this package."""


class TicketError(OrderError):
    """A ticket is forged, truncated or belongs to another workspace."""

    def __init__(self) -> None:
        # The message is the same for all causes, so that it does not reveal
        # whether another workspace has the ticket.
        super().__init__(
            "there is no such ticket",
            "send the ticket as POST /v1/tickets returned it, with a key of"
            " the same workspace",
        )


class LedgerFullError(OrderError):
    """No ticket can be issued at present.

    Attributes:
        retry_after_s: Seconds until the caller may retry, as a rule until an
            entry expires.
    """

    def __init__(self, message: str, remedy: str, retry_after_s: float):
        super().__init__(message, remedy)
        self.retry_after_s = retry_after_s
