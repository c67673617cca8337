"""Errors of the platform's store and of what it holds."""

from savoryspar import errors


class StoreError(errors.SavorysparError):
    """The store did not answer, or refused the call."""


class HistoryGoneError(StoreError):
    """The store no longer has the changes that a watch asked for."""


class DocumentError(errors.SavorysparError):
    """A document of the platform or of a backend server cannot be read."""
