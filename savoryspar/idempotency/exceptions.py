"""Errors of orders and tickets."""

from savoryspar import errors


class OrderError(errors.SavorysparError):
    """Base class of the errors of orders."""


class TicketError(OrderError):
    """A ticket is forged, cut off or belongs to another workspace."""

    def __init__(self) -> None:
        # One message for all causes, so that it tells nothing of tickets of
        # other workspaces.
        super().__init__(
            "there is no such ticket",
            "send the ticket as POST /v1/tickets returned it, with a key of"
            " the same workspace",
        )


class LedgerFullError(OrderError):
    """No ticket can be issued now.

    Attributes:
        retry_after_s: Seconds until an entry expires.
    """

    def __init__(self, message: str, remedy: str, retry_after_s: float):
        super().__init__(message, remedy)
        self.retry_after_s = retry_after_s
