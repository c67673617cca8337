"""Exchanges with peers which rate limits backend servers name.

The newest statement of a server travels with each claim for a permit and each
reply, and is broadcast when the limit changes. A process that starts asks its
peers for the limits that they know.
"""

from collections.abc import Callable, Iterable, Mapping
import math
from typing import Any

import eventlet

from savoryspar import decoding, log, membership, ratelimits
from savoryspar.gateway import model

REPORT_KIND = "limit_report"
LIST_KIND = "limit_list"
BROADCAST_INTERVAL_S = 1.0
"""Shortest time between two broadcasts about one server, which may name another
limit in each answer."""
LOG_INTERVAL_S = 1.0
"""Shortest time between two log lines about the limit of one server."""
INVALID_LOG_INTERVAL_S = 10.0
"""Shortest time between two log lines about malformed limits of one server."""
LIST_TIMEOUT_S = 0.25
"""Timeout for the limits that a peer knows; a round trip between regions takes
40 ms."""
LEARN_TIMEOUT_S = 10.0
LEARN_INTERVAL_S = 0.2
LEARN_PEERS = 3
"""A process that starts asks this many peers for the limits that they know; it
looks for peers at this interval until the timeout."""
MAX_AGE_S = 3600.0

Describe = Callable[[ratelimits.Server, float], dict[str, Any]]
"""Returns what the log tells of a server's limit, at a monotonic time."""


class _Times:
    """When a server was last logged and broadcast.

    Attributes:
        logged_at, invalid_logged_at: Times of the last log lines.
        broadcast_at: Time of the last broadcast.
        is_broadcast_due: Whether a broadcast is scheduled.
    """

    __slots__ = (
        "broadcast_at",
        "invalid_logged_at",
        "is_broadcast_due",
        "logged_at",
    )

    def __init__(self) -> None:
        self.logged_at = -math.inf
        self.invalid_logged_at = -math.inf
        self.broadcast_at = -math.inf
        self.is_broadcast_due = False


class LimitReports:
    """Statements of servers, from answers and from peers.

    Attributes:
        table: Newest statement of each server.
        describe: Adds details of this VM to log lines.
        encode_more: Returns further fields of the list of limits for peers.
        apply_more: Applies these fields of a peer's list.
    """

    __slots__ = (
        "_clock",
        "_events",
        "_members",
        "_times",
        "apply_more",
        "describe",
        "encode_more",
        "table",
    )

    def __init__(
        self,
        members: membership.Membership,
        events: log.EventLog,
        clock: model.Clock,
    ):
        self.table = ratelimits.new_limit_table()
        self.describe: Describe = lambda server, now: {}
        self.encode_more: Callable[[], dict[str, list]] = dict
        self.apply_more: Callable[[Mapping[str, Any]], None] = lambda reply: (
            None
        )
        self._members = members
        self._events = events
        self._clock = clock
        self._times: dict[ratelimits.Server, _Times] = {}
        members.handle(REPORT_KIND, self._serve_report)
        members.handle(LIST_KIND, self._serve_list)

    def keep_only(self, servers: Iterable[ratelimits.Server]) -> None:
        """Forgets when other servers were logged and broadcast."""
        for server in self._times.keys() - set(servers):
            del self._times[server]

    def record_answer(
        self,
        server: ratelimits.Server,
        limit_per_s: float | None,
        invalid_limit: str,
        sent_at: float,
        now: float,
    ) -> None:
        """Records the rate limit in the head of an answer."""
        if invalid_limit:
            self._log_invalid(server, invalid_limit, now)
            return
        previous = self.table.record_answer(server, limit_per_s, sent_at, now)
        if previous is not None:
            self._log_change(server, previous, now)
            self._schedule_broadcast(server, now)

    def encode(
        self, server: ratelimits.Server, now: float
    ) -> list[str | int | float | None]:
        """Returns the newest statement of a server, for peers."""
        statement = self.table.statement(server)
        return [
            *server,
            self.table.started_ms(server),
            statement.limit_per_s if statement else None,
            now - statement.said_at if statement else MAX_AGE_S,
        ]

    def apply(self, report: Any, source: str, now: float) -> ratelimits.Server:
        """Records the statement that a peer reported.

        Args:
            report: The statement as returned by ``encode``.
            source: Incarnation of the peer.
            now: Monotonic time in seconds.

        Returns:
            The server that made the statement.

        Raises:
            ValueError: The report is malformed.
        """
        with decoding.reading("a rate limit"):
            name, address, started_ms, limit_per_s, age_s = report
            server = (str(name), str(address))
            decoding.integer(started_ms, 0)
            if limit_per_s is not None:
                decoding.number(limit_per_s, 0, ratelimits.MAX_LIMIT_PER_S)
            if not 0.0 <= float(age_s) < MAX_AGE_S:
                # The peer has no statement, or one too old to matter.
                return server
        previous = self.table.record_report(
            server, started_ms, limit_per_s, now - float(age_s), source
        )
        if previous is not None:
            self._log_change(server, previous, now)
        return server

    def learn(self) -> None:
        """Asks peers for the limits that they know, once there are peers."""
        ends_at = self._clock() + LEARN_TIMEOUT_S
        asked: set[str] = set()
        while self._clock() < ends_at and len(asked) < LEARN_PEERS:
            eventlet.sleep(LEARN_INTERVAL_S)
            members = self._members.all_members(self._clock())
            peers = {m.incarnation for m in members} - asked
            for peer in sorted(peers - {self._members.incarnation})[:1]:
                asked.add(peer)
                self._learn_from(peer)

    def _learn_from(self, peer: str) -> None:
        try:
            reply = self._members.request(peer, LIST_KIND, None, LIST_TIMEOUT_S)
            with decoding.reading("the reply"):
                listed = [*reply["limits"]]
                self.apply_more(reply)
        except (membership.PeerUnreachableError, ValueError) as exc:
            self._log_no_limits(peer, exc)
            return
        for report in listed:
            try:
                self.apply(report, peer, self._clock())
            except decoding.DecodingError as exc:
                self._log_no_limits(peer, exc)

    def _log_no_limits(self, peer: str, exc: Exception) -> None:
        # Servers name their limits in the next answer again.
        self._events.state_change(
            "peer gave no limits",
            self._clock(),
            peer=peer,
            cause=decoding.describe(exc),
        )

    def _serve_report(self, sender: str, body: Any) -> None:
        self.apply(body, sender, self._clock())

    def _serve_list(self, sender: str, body: Any) -> dict[str, Any]:
        del sender, body
        now = self._clock()
        limits = [self.encode(s, now) for s in self.table.limited()]
        return {"limits": limits, **self.encode_more()}

    def _schedule_broadcast(
        self, server: ratelimits.Server, now: float
    ) -> None:
        times = self._times_of(server)
        if times.is_broadcast_due:
            return
        times.is_broadcast_due = True
        delay_s = max(0.0, times.broadcast_at + BROADCAST_INTERVAL_S - now)
        eventlet.spawn_after(delay_s, self._broadcast, server)

    def _broadcast(self, server: ratelimits.Server) -> None:
        now = self._clock()
        times = self._times_of(server)
        times.is_broadcast_due = False
        times.broadcast_at = now
        self._members.broadcast(REPORT_KIND, self.encode(server, now))

    def _log_change(
        self,
        server: ratelimits.Server,
        previous: ratelimits.Statement,
        now: float,
    ) -> None:
        times = self._times_of(server)
        if now - times.logged_at < LOG_INTERVAL_S:
            return
        times.logged_at = now
        statement = self.table.statement(server)
        self._events.state_change(
            "server limit",
            now,
            server=server[0],
            previous_per_s=previous.limit_per_s,
            previous_age_s=round(now - previous.said_at, 2),
            source=statement.source or "answer",
            sends=previous.sends,
            **self.describe(server, now),
        )

    def _log_invalid(
        self, server: ratelimits.Server, text: str, now: float
    ) -> None:
        times = self._times_of(server)
        if now - times.invalid_logged_at < INVALID_LOG_INTERVAL_S:
            return
        times.invalid_logged_at = now
        self._events.state_change(
            "server limit ignored", now, server=server[0], text=text
        )

    def _times_of(self, server: ratelimits.Server) -> _Times:
        return self._times.setdefault(server, _Times())


def new_limit_reports(
    members: membership.Membership,
    events: log.EventLog,
    clock: model.Clock,
) -> LimitReports:
    """Returns reports without statements, with their peer handlers.

    Args:
        members: The other entry VMs.
        events: Log of the limits.
        clock: Monotonic time in seconds.
    """
    return LimitReports(members, events, clock)
