"""Errors of the platform's store and of its documents."""

from savoryspar import errors


class StoreError(errors.SavorysparError):
    """The store did not answer, or rejected the call."""


class HistoryGoneError(StoreError):
    """The store no longer keeps the history from a watch's start revision."""


class DocumentError(errors.SavorysparError):
    """A document of the platform or of a backend server cannot be decoded."""
