"""Errors of calls to backend servers."""

from savoryspar import errors


class BackendError(errors.SavorysparError):
    """A call to a backend server failed.

    Attributes:
        server: Name of the backend server.
        has_sent: Whether a byte of the call may have reached it.
        is_crash: Whether the connection died while the call was running.
    """

    def __init__(
        self,
        server: str,
        message: str,
        remedy: str,
        has_sent: bool,
        is_crash: bool = False,
    ):
        super().__init__(f"backend server {server}: {message}", remedy)
        self.server = server
        self.has_sent = has_sent
        self.is_crash = is_crash


class CallRefusedError(BackendError):
    """The call did not run: no connection, or an answer that says so."""


class CallOutcomeUnknownError(BackendError):
    """The call may have run: the answer was lost or came too late."""


class StreamBrokenError(BackendError):
    """A stream ended before its last event."""
