"""Permits for requests to servers that name a rate limit."""

from typing import Protocol

from savoryspar.ratelimits import slow_start, table

PERMIT_TTL_S = 0.5
"""Time within which a permit must be used, as the limit counts arrivals."""
MAX_PATIENCE_S = 2.0
"""Longest time that a request waits for a permit."""
LOWEST_RANK = 1 << 16
"""Rank of requests that are sent only while nothing else needs a permit."""


class Permit:
    """Allows one request to a server.

    Attributes:
        granted_at: Monotonic time in seconds.
        is_counted: Whether it counts toward a limit; the server had none
            otherwise.
        is_used: Whether the request was sent.
    """

    __slots__ = ("granted_at", "is_counted", "is_used")

    def __init__(self, granted_at: float, is_counted: bool = True):
        self.granted_at = granted_at
        self.is_counted = is_counted
        self.is_used = False

    def is_valid(self, now: float) -> bool:
        """Returns whether a request may be sent with this permit."""
        return not self.is_used and now - self.granted_at < PERMIT_TTL_S


class PermitRequest:
    """A request to a server that may need a permit.

    Attributes:
        rank: Rank of the request, 0 is the most urgent.
        workspace: Workspace of the request, empty for none.
        key: Digest that is equal for requests with the same work, or empty.
        patience_s: Longest time to wait for a permit, in seconds.
        ignores_pace: Whether the slow start of the server does not hold for it,
            as no other server may take it.
    """

    __slots__ = ("ignores_pace", "key", "patience_s", "rank", "workspace")

    def __init__(
        self,
        rank: int = LOWEST_RANK,
        workspace: str = "",
        key: str = "",
        patience_s: float = 0.0,
        ignores_pace: bool = False,
    ):
        self.rank = rank
        self.workspace = workspace
        self.key = key
        self.patience_s = patience_s
        self.ignores_pace = ignores_pace


class Limiter(Protocol):
    """Grants permits, and learns limits from the answers of servers."""

    def is_limited(self, server: table.Server) -> bool:
        """Returns whether requests to a server need permits."""

    def is_bound(self, server: table.Server) -> bool:
        """Returns whether a server has a limit other than its slow start."""

    def is_starting(self, server: table.Server) -> bool:
        """Returns whether a server is in its slow start."""

    def wait_s(self, server: table.Server, now: float) -> float:
        """Returns the estimated time until a permit is free, 0 for none."""

    def preview_wait_s(self, server: table.Server, now: float) -> float:
        """Returns what ``wait_s`` returns; changes no state."""

    def interval_s(self, server: table.Server, now: float) -> float:
        """Returns the mean time between two permits, 0 without a limit."""

    def acquire(
        self, server: table.Server, req: PermitRequest, now: float
    ) -> Permit:
        """Returns a permit, after a wait if the request allows one.

        Raises:
            LimitReachedError: None is free in time.
        """

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

    def record_cold(
        self, server: table.Server, left_s: float, now: float
    ) -> None:
        """Records the rest of a cold phase that an answer tells, in seconds."""

    def record_result(
        self, server: table.Server, result: slow_start.Result
    ) -> None:
        """Records how a server in its slow start answered a request."""

    def record_recovery(self, server: table.Server, now: float) -> None:
        """Records that a server answers again, which was out of use."""


class Unlimited:
    """Limiter of a process whose servers name no limits."""

    __slots__ = ()

    def is_limited(self, server: table.Server) -> bool:
        """Returns False."""
        return False

    def is_bound(self, server: table.Server) -> bool:
        """Returns False."""
        return False

    def is_starting(self, server: table.Server) -> bool:
        """Returns False."""
        return False

    def wait_s(self, server: table.Server, now: float) -> float:
        """Returns 0."""
        return 0.0

    def preview_wait_s(self, server: table.Server, now: float) -> float:
        """Returns 0."""
        return 0.0

    def interval_s(self, server: table.Server, now: float) -> float:
        """Returns 0."""
        return 0.0

    def acquire(
        self, server: table.Server, req: PermitRequest, now: float
    ) -> Permit:
        """Returns a permit."""
        return Permit(now)

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

    def record_cold(
        self, server: table.Server, left_s: float, now: float
    ) -> None:
        """Does nothing."""

    def record_result(
        self, server: table.Server, result: slow_start.Result
    ) -> None:
        """Does nothing."""

    def record_recovery(self, server: table.Server, now: float) -> None:
        """Does nothing."""


def new_unlimited() -> Unlimited:
    """Returns a limiter that limits nothing."""
    return Unlimited()
