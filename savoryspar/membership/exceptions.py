"""Errors of the links and requests between peers."""

from savoryspar import errors


class MembershipError(errors.SavorysparError):
    """The settings of the peer links are invalid."""


class FrameError(errors.SavorysparError):
    """A frame from a peer was rejected without any effect.

    Attributes:
        reason: Short name of the reason, used as key of the refusal counter.
    """

    def __init__(self, reason: str, message: str, remedy: str):
        super().__init__(message, remedy)
        self.reason = reason


class PeerUnreachableError(errors.SavorysparError):
    """A peer did not answer a request.

    Attributes:
        has_sent: Whether any byte of the request may have left this process.
    """

    def __init__(self, message: str, remedy: str, has_sent: bool):
        super().__init__(message, remedy)
        self.has_sent = has_sent
