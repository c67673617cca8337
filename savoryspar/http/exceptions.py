"""Errors of the HTTP server for callers."""

from savoryspar import errors


class ConnectionsFullError(errors.SavorysparError):
    """There is no room for a connection or a request; nothing was passed on."""


class UploadError(errors.SavorysparError):
    """A body was not read; nothing of its request was passed on."""


class UploadRefusedError(UploadError):
    """The memory for bodies has no room for a body."""


class UploadStalledError(UploadError):
    """A body that made no progress was given up for another one."""


class UploadLateError(UploadError):
    """A body did not arrive before the deadline of its request."""


class BodyTooLongError(UploadError):
    """A body is longer than the limit."""


class BadBodyError(UploadError):
    """A body is malformed or ended early."""
