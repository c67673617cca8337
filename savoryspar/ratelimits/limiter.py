"""What connections to backend servers need from a rate limiter."""

from typing import Protocol

from savoryspar.ratelimits import table


class Limiter(Protocol):
    """Counts requests to servers, and learns limits from their answers."""

    def record_send(self, server: table.Server, now: float) -> None:
        """Records that a request is being sent to a server."""

    def record_answer(
        self,
        server: table.Server,
        limit_per_s: float | None,
        invalid_limit: str,
        sent_at: float,
        now: float,
    ) -> None:
        """Records the rate limit in the head of an answer.

        Args:
            server: The server that answered.
            limit_per_s: The limit, None without a valid one.
            invalid_limit: Text of a limit that cannot be used, else empty.
            sent_at: When the request was sent; monotonic seconds.
            now: Monotonic time in seconds.
        """


class Unlimited:
    """Limiter of a process whose servers name no limits."""

    __slots__ = ()

    def record_send(self, server: table.Server, now: float) -> None:
        """Does nothing."""

    def record_answer(
        self,
        server: table.Server,
        limit_per_s: float | None,
        invalid_limit: str,
        sent_at: float,
        now: float,
    ) -> None:
        """Does nothing."""


def new_unlimited() -> Unlimited:
    """Returns a limiter that limits nothing."""
    return Unlimited()
