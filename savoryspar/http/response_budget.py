"""One limit on the responses that wait for their callers to take them.

A response that was read whole from a backend server is kept until its caller
has taken it; one that is relayed waits in the receive buffer of the connection
to the server. Where there is no room for another one, the connection of the
caller that has had the most time is closed.
"""

from collections.abc import Callable

MEMORY_SHARE = 0.08
"""Part of the memory for responses: 16 MB on the smallest VM."""
MIN_COUNTED_BYTES = 4096
"""Smaller responses are part of what their requests count."""


class Reservation:
    """Memory of one response; ``ResponseBudget.reserve`` returns it.

    Attributes:
        size: Bytes.
        abort: Closes the connection of the caller.
    """

    __slots__ = ("_remove", "abort", "size")

    def __init__(
        self,
        size: int,
        abort: Callable[[], None],
        remove: Callable[["Reservation"], None],
    ):
        self.size = size
        self.abort = abort
        self._remove = remove

    def end(self) -> None:
        """Ends the count, as the response was sent or has failed."""
        self._remove(self)


class HeldBody(list[bytes]):
    """The body of a response, which counts until it is closed (PEP 3333)."""

    def __init__(self, body: bytes, reservation: Reservation):
        super().__init__([body])
        self._reservation = reservation

    def close(self) -> None:
        """Ends the count of the body."""
        self._reservation.end()


class ResponseBudget:
    """Bytes of responses; create it with ``new_response_budget``.

    Attributes:
        limit: Bytes that they may have.
        held: Bytes that they have now.
        given_up: Responses whose callers took too long, since the start.
    """

    __slots__ = ("_reservations", "given_up", "held", "limit")

    def __init__(self, limit: float):
        self.limit = limit
        self.held = 0
        self.given_up = 0
        # The oldest first.
        self._reservations: dict[Reservation, None] = {}

    def has_room(self, size: float) -> bool:
        """Returns whether a response fits and no other one is given up."""
        return size < MIN_COUNTED_BYTES or self.held + size <= self.limit

    def reserve(self, size: int, abort: Callable[[], None]) -> Reservation:
        """Counts a response; callers that have had the most time give way.

        Args:
            size: Bytes that it takes while its caller does not read.
            abort: Closes the connection of the caller.
        """
        while self._reservations and not self.has_room(size):
            oldest = next(iter(self._reservations))
            self._remove(oldest)
            self.given_up += 1
            oldest.abort()
        reservation = Reservation(size, abort, self._remove)
        self._reservations[reservation] = None
        self.held += size
        return reservation

    def hold(self, body: bytes, abort: Callable[[], None]) -> list[bytes]:
        """Returns a body as the result of a WSGI application.

        Args:
            body: The body.
            abort: As for ``reserve``.
        """
        if len(body) < MIN_COUNTED_BYTES:
            return [body]
        return HeldBody(body, self.reserve(len(body), abort))

    def _remove(self, reservation: Reservation) -> None:
        if reservation in self._reservations:
            del self._reservations[reservation]
            self.held -= reservation.size


def new_response_budget(memory_mb: float) -> ResponseBudget:
    """Returns an empty budget.

    Args:
        memory_mb: Memory of the VM in MB.
    """
    return ResponseBudget(memory_mb * 1_000_000 * MEMORY_SHARE)
