"""Errors of placement."""

from savoryspar import errors


class PlacementError(errors.SavorysparError):
    """Base class of the errors of placement."""


class OrderFailedError(PlacementError):
    """An engine did not take an order.

    Attributes:
        fencing_number: Highest number that the engine reported, or 0.
    """

    def __init__(self, message: str, remedy: str, fencing_number: int = 0):
        super().__init__(message, remedy)
        self.fencing_number = fencing_number


class StaleSenderError(PlacementError):
    """This process may not be the engine's sender any more."""
