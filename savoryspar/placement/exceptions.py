"""Exceptions of placement."""

from savoryspar import errors


class PlacementError(errors.SavorysparError):
    """Base class of the exceptions of this package."""


class EngineRequestError(PlacementError):
    """A request to an engine failed or was rejected.

    Attributes:
        fencing_number: Highest fencing number that the engine reported, or 0.
    """

    def __init__(self, message: str, remedy: str, fencing_number: int = 0):
        super().__init__(message, remedy)
        self.fencing_number = fencing_number


class StaleSenderError(PlacementError):
    """This process may no longer be the engine's sender."""
