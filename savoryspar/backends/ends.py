"""How the answer of a backend server ended, for logs."""

import enum
import http.client


class End(enum.StrEnum):
    """How an answer ended.

    The first three are the ends of complete answers.
    """

    LENGTH = "length"
    LAST_CHUNK = "last chunk"
    CONNECTION = "connection"
    CUT = "cut"
    RESET = "reset"
    UNCONFIRMED = "unconfirmed"
    TIMEOUT = "timeout"
    MALFORMED = "malformed"
    CLOSED_HERE = "closed here"


EARLY_ENDS = (ConnectionError, EOFError, http.client.IncompleteRead)
"""Errors of a connection that ends where more bytes are due."""


def end_of_error(exc: Exception, is_reset: bool) -> End:
    """Returns the end that an error of a connection stands for.

    Args:
        exc: The error.
        is_reset: Whether the peer reset the connection, which the reader
            reports as its end.
    """
    # An end where a line is due is a ConnectionResetError of http.client.
    is_disconnected = isinstance(exc, http.client.RemoteDisconnected)
    if is_reset or (isinstance(exc, ConnectionError) and not is_disconnected):
        return End.RESET
    if isinstance(exc, TimeoutError):
        return End.TIMEOUT
    return End.CUT if isinstance(exc, EARLY_ENDS) else End.MALFORMED
