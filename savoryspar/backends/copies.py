"""Detects copies of answers by the results that they name.

A server may send an answer twice, the second time where the next answer on the
connection is due. Answers to calls that run pieces name no request, but each
result has a unique handle. On a connection that carries only such calls:

- Every call is answered before the next one is sent, or the connection is
  closed.
- The handles of every answer are kept with the connection, which is closed
  after an answer without a handle, and before more handles would be kept than
  the limit.

- An answer that ends with the connection is the last one on it.

So an answer that names a known handle is a copy, and the next one is read. An
answer that names new handles, or none, is no copy of any earlier answer on the
connection, and the only call without an answer is the one that was just sent.
"""

from collections.abc import Callable, Iterable

MAX_KEPT_RESULTS = 2048
"""Results after which a connection is closed; about 0.2 MB of handles."""

ResultsOf = Callable[[bytes], Iterable[str]]
"""Returns the handles of the results that the body of an answer names."""


class ResultLog:
    """Handles of the results in the answers on one connection."""

    __slots__ = ("_handles",)

    def __init__(self) -> None:
        self._handles: set[str] = set()

    def is_copy(self, handles: Iterable[str]) -> bool:
        """Returns whether an earlier answer named one of the results."""
        return not self._handles.isdisjoint(handles)

    def record(self, handles: Iterable[str]) -> bool:
        """Records the results of an answer that is no copy.

        Returns:
            Whether a copy of this answer, and of all before it, can be
            detected, so that the connection may be used again.
        """
        handles = [*handles]
        self._handles.update(handles)
        return bool(handles) and len(self._handles) <= MAX_KEPT_RESULTS


def new_result_log() -> ResultLog:
    """Returns the log of a new connection."""
    return ResultLog()
