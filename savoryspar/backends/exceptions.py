"""Errors of calls to backend servers."""

from savoryspar import errors


class BackendError(errors.SavorysparError):
    """A call to a backend server failed.

    Attributes:
        server: Name of the backend server.
        has_sent: Whether any byte of the call may have reached the server.
        is_crash: Whether the connection was lost while the call was running,
            which may mean that the call crashed the server.
        end: How the answer ended, empty if there was none.
    """

    def __init__(
        self,
        server: str,
        message: str,
        remedy: str,
        has_sent: bool,
        is_crash: bool = False,
        end: str = "",
    ):
        super().__init__(f"backend server {server}: {message}", remedy)
        self.server = server
        self.has_sent = has_sent
        self.is_crash = is_crash
        self.end = end


class CallRefusedError(BackendError):
    """The call did not run: no connection, or the server rejected it."""


class CallExpiredError(CallRefusedError):
    """The call was not sent, as its deadline left no time for a connection."""


class RateLimitedError(CallRefusedError):
    """The call was not sent, as the rate limit of the server is reached."""


class ServerForbiddenError(CallRefusedError):
    """The call was not sent, as nothing may be sent to the server any more."""


class CallOutcomeUnknownError(BackendError):
    """The call may have run: its answer was lost or late."""


class UnattributedAnswerError(CallOutcomeUnknownError):
    """The answer may be that of another request, so it was not used.

    It is no failure of the server, which may go on with the answer that is due.
    """


class StreamBrokenError(BackendError):
    """A stream ended before its last event."""
