"""Errors between peers."""

from savoryspar import errors


class MembershipError(errors.SavorysparError):
    """The settings do not allow links to peers."""


class FrameError(errors.SavorysparError):
    """A frame of a peer was refused and changed nothing.

    Attributes:
        reason: Name of the reason, the label of its counter.
    """

    def __init__(self, reason: str, message: str, remedy: str):
        super().__init__(message, remedy)
        self.reason = reason


class PeerUnreachableError(errors.SavorysparError):
    """A peer did not answer a request.

    Attributes:
        has_sent: Whether a byte of the request may have left this process.
    """

    def __init__(self, message: str, remedy: str, has_sent: bool):
        super().__init__(message, remedy)
        self.has_sent = has_sent
