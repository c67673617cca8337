"""The newest rate limit that each server stated, in answers or through peers.

Statements of one server are ordered by time. A limit counts from the time its
answer was received, and the absence of a limit from the time the request was
sent. An answer that the server wrote before it named a limit can therefore not
end the limit, whatever the order in which answers and messages of peers arrive.
"""

from collections.abc import Mapping, Set

Server = tuple[str, str]
"""ID and address (``IP:port``) of a server."""

MAX_LIMIT_PER_S = 1e6
"""Largest rate limit that is taken as meant, in requests per second."""
RETENTION_S = 120.0
"""Time for which the statements of servers that are no longer listed are kept.
An entry may expire and return during an outage of the store, without a restart
of the server."""
MAX_LISTING_DELAY_S = 1.0
"""Age up to which a statement is kept when a restart of its server is listed:
the new instance may have made it."""
REFRESH_S = 1.0
"""Least time by which a peer's report of the same limit must be newer to count.
The age in a report leaves out its time between VMs. A statement that is passed
around would otherwise seem to be made again and again, and never end."""
MAX_UNLISTED = 256
"""Servers that are not listed for which statements are kept."""


class Statement:
    """What a server last said of its rate limit.

    Attributes:
        limit_per_s: Requests per second from all VMs together, None if the
            server stopped naming a limit.
        said_at: Time of the statement; monotonic seconds.
        since: Time from which the server has named a limit without a break;
            monotonic seconds.
        source: Incarnation of the peer that reported it, empty for an answer.
        sends: Requests that this process sent to the server since ``since``.
    """

    __slots__ = ("limit_per_s", "said_at", "sends", "since", "source")

    def __init__(
        self,
        limit_per_s: float | None,
        said_at: float,
        since: float,
        source: str,
        sends: int = 0,
    ):
        self.limit_per_s = limit_per_s
        self.said_at = said_at
        self.since = since
        self.source = source
        self.sends = sends


class LimitTable:
    """Statements by server; construct with ``new_limit_table``."""

    __slots__ = ("_starts", "_statements")

    def __init__(self) -> None:
        self._statements: dict[Server, Statement] = {}
        # Start time of each listed server, from its entry.
        self._starts: dict[Server, int] = {}

    def limit(self, server: Server) -> float | None:
        """Returns the limit in requests per second, None without one."""
        statement = self._statements.get(server)
        return statement.limit_per_s if statement else None

    def statement(self, server: Server) -> Statement | None:
        """Returns the newest statement of a server."""
        return self._statements.get(server)

    def started_ms(self, server: Server) -> int:
        """Returns the listed start of a server, 0 if it is not listed."""
        return self._starts.get(server, 0)

    def servers(self) -> Set[Server]:
        """Returns the servers with a statement."""
        return self._statements.keys()

    def limited(self) -> dict[Server, Statement]:
        """Returns the statements of the servers that name a limit."""
        return {
            server: statement
            for server, statement in self._statements.items()
            if statement.limit_per_s is not None
        }

    def record_answer(
        self,
        server: Server,
        limit_per_s: float | None,
        sent_at: float,
        now: float,
    ) -> Statement | None:
        """Records the limit in an answer.

        Args:
            server: The server that answered.
            limit_per_s: The limit it named, None without one.
            sent_at: When the request was sent; monotonic seconds.
            now: Monotonic time in seconds.

        Returns:
            The previous statement if the limit changed, else None.
        """
        if limit_per_s is None and server not in self._statements:
            return None
        said_at = sent_at if limit_per_s is None else now
        return self._record(server, limit_per_s, said_at, "")

    def record_report(
        self,
        server: Server,
        started_ms: int,
        limit_per_s: float | None,
        said_at: float,
        source: str,
    ) -> Statement | None:
        """Records the statement of a server that a peer reported.

        Args:
            server: The server that made the statement.
            started_ms: Start of the instance that made it, in Unix
                milliseconds; 0 if the peer does not know it.
            limit_per_s: The limit, None if the server stopped naming one.
            said_at: Time of the statement; monotonic seconds.
            source: Incarnation of the peer.

        Returns:
            The previous statement if the limit changed, else None.
        """
        known_ms = self._starts.get(server)
        if known_ms and started_ms and known_ms != started_ms:
            return None
        if known_ms is None and self._unlisted() >= MAX_UNLISTED:
            return None
        known = self._statements.get(server)
        is_same = known is not None and known.limit_per_s == limit_per_s
        if is_same and said_at < known.said_at + REFRESH_S:
            return None
        return self._record(server, limit_per_s, said_at, source)

    def _record(
        self,
        server: Server,
        limit_per_s: float | None,
        said_at: float,
        source: str,
    ) -> Statement | None:
        known = self._statements.get(server)
        if known is None:
            known = Statement(None, said_at, said_at, "")
        elif said_at <= known.said_at:
            return None
        is_continued = known.limit_per_s is not None and limit_per_s is not None
        self._statements[server] = Statement(
            limit_per_s,
            said_at,
            known.since if is_continued else said_at,
            source,
            known.sends if is_continued else 0,
        )
        return None if known.limit_per_s == limit_per_s else known

    def _unlisted(self) -> int:
        return len(self._statements.keys() - self._starts.keys())

    def record_send(self, server: Server) -> None:
        """Counts a request to a server that names a limit."""
        statement = self._statements.get(server)
        if statement is not None:
            statement.sends += 1

    def update(self, starts: Mapping[Server, int], now: float) -> None:
        """Updates the listed servers, and drops outdated statements.

        Args:
            starts: Start time of each listed server, in Unix milliseconds.
            now: Monotonic time in seconds.
        """
        for server, statement in [*self._statements.items()]:
            known_ms = self._starts.get(server, starts.get(server))
            if server not in starts:
                is_outdated = now - statement.said_at > RETENTION_S
            else:
                is_outdated = (
                    known_ms != starts[server]
                    and now - statement.said_at > MAX_LISTING_DELAY_S
                )
            if is_outdated:
                del self._statements[server]
        kept = self._statements.keys() - starts.keys()
        self._starts = {
            **{s: ms for s, ms in self._starts.items() if s in kept},
            **starts,
        }


def new_limit_table() -> LimitTable:
    """Returns a table without statements."""
    return LimitTable()
