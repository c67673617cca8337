"""Errors of the clients of the platform's services."""

from savoryspar import errors


class PlatformError(errors.SavorysparError):
    """A service of the platform did not answer or returned an error."""
