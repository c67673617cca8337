"""Availability that backend servers report in their answers.

A server can report that it is leaving, or request a pause while it is busy. A
leaving server gets no work until it restarts, and a paused one until the pause
has ended, even if it is still listed as ready.
"""

from collections.abc import Iterable, Mapping

from savoryspar import log
from savoryspar.backends import requests

PROBE_INTERVAL_S = 0.25
"""Minimum interval between calls to a server whose pause has ended, until it
answers one without requesting another pause. Requests that waited for the end
of the pause would otherwise all be sent simultaneously."""
RETENTION_S = 120.0
"""Time for which the reports of servers that are no longer listed are kept. An
entry may expire and return during an outage of the store, without a restart of
the server."""
MAX_LISTING_DELAY_S = 1.0
"""Age up to which a leave report is kept when a restart of its server is
listed: the new instance may have sent it. A start is listed within about one
heartbeat of 1.2 s, and a server that left takes longer than that to restart."""

Server = tuple[str, str]
"""ID and address (``IP:port``) of a server."""


class _Pause:
    """A pause that a server requested.

    Attributes:
        until: End of the pause; monotonic seconds.
        probed_at: When the last call after the pause was sent; monotonic
            seconds.
    """

    __slots__ = ("probed_at", "until")

    def __init__(self, until: float):
        self.until = until
        self.probed_at = until - PROBE_INTERVAL_S


class ServerAvailability:
    """Tracks which servers accept work from this process."""

    __slots__ = ("_leaving", "_logger", "_pauses", "_starts")

    def __init__(self) -> None:
        self._logger = log.new_logger("backends")
        # Time of the last report of each leaving server.
        self._leaving: dict[Server, float] = {}
        self._pauses: dict[Server, _Pause] = {}
        # Start time of each listed server, from its entry.
        self._starts: dict[Server, int] = {}

    def record_answer(
        self,
        server: Server,
        facts: requests.AnswerFacts,
        sent_at: float,
        now: float,
    ) -> None:
        """Records the availability that an answer reports.

        Args:
            server: The server that sent the answer.
            facts: Decoded head of the answer.
            sent_at: When the request was sent; monotonic seconds. The answer
                may have been received long before it is read.
            now: Monotonic time in seconds.
        """
        self.record(server, facts.is_leaving, facts.pause_s, now, sent_at)

    def record(
        self,
        server: Server,
        is_leaving: bool,
        pause_s: float,
        now: float,
        said_at: float | None = None,
    ) -> None:
        """Records the availability that this process or a peer received.

        Args:
            server: The server that sent the answer.
            is_leaving: Whether the server reported that it is leaving.
            pause_s: Pause that the server requested, 0 without one.
            now: Monotonic time in seconds.
            said_at: Earliest time at which the server can have reported it, in
                monotonic seconds; None for now.
        """
        said_at = now if said_at is None else said_at
        if is_leaving:
            if server not in self._leaving:
                self._logger.notice(
                    f"Server reports that it is leaving. server={server[0]}"
                )
            self._leaving[server] = max(
                said_at, self._leaving.get(server, said_at)
            )
        pause = self._pauses.get(server)
        if pause_s > 0.0:
            until = now + pause_s
            if pause is None or pause.until < until:
                self._pauses[server] = _Pause(until)
                self._logger.notice(
                    f"Server requests a pause. server={server[0]}"
                    f" pause_s={pause_s:.2f}"
                )
        elif pause is not None and now >= pause.until:
            del self._pauses[server]

    def record_send(self, server: Server, now: float) -> None:
        """Records that a call is being sent to a server."""
        pause = self._pauses.get(server)
        if pause is not None:
            pause.probed_at = now

    def started_ms(self, server: Server) -> int:
        """Returns the listed start of a server, 0 if it is not listed."""
        return self._starts.get(server, 0)

    def has_restarted(self, server: Server, started_ms: int) -> bool:
        """Returns whether another start of a server is listed.

        Args:
            server: The server.
            started_ms: Its start as listed earlier, 0 if it was not listed.
        """
        listed_ms = self._starts.get(server, 0)
        return listed_ms != started_ms and 0 not in (listed_ms, started_ms)

    def is_leaving(self, server: Server) -> bool:
        """Returns whether a server reported that it is leaving."""
        return server in self._leaving

    def pause_s(self, server: Server, now: float) -> float:
        """Returns for how long a server must not get work; 0 if it may now."""
        pause = self._pauses.get(server)
        if pause is None:
            return 0.0
        return max(
            0.0, pause.until - now, pause.probed_at + PROBE_INTERVAL_S - now
        )

    def shortest_pause_s(self, servers: Iterable[Server], now: float) -> float:
        """Returns the time until the first pause ends, 0 without a pause.

        Leaving servers are left out, since they accept no more work.
        """
        pauses = [
            self.pause_s(server, now)
            for server in servers
            if server not in self._leaving
        ]
        return min((pause for pause in pauses if pause > 0.0), default=0.0)

    def may_send(self, server: Server, now: float) -> bool:
        """Returns whether work may be sent to a server now."""
        if server in self._leaving:
            return False
        return not self._pauses or self.pause_s(server, now) <= 0.0

    def update(self, starts: Mapping[Server, int], now: float) -> None:
        """Updates the listed servers and drops reports of earlier instances.

        Args:
            starts: Start time of each listed server, in Unix milliseconds.
            now: Monotonic time in seconds.
        """
        for server, started_ms in starts.items():
            known_ms = self._starts.get(server, started_ms)
            if known_ms != started_ms:
                self._discard(server, now - MAX_LISTING_DELAY_S)
        self._starts.update(starts)
        for server in [*self._starts.keys() - starts.keys()]:
            if not self._is_in_force(server, now):
                self._discard(server, now)
                del self._starts[server]

    def _is_in_force(self, server: Server, now: float) -> bool:
        """Returns whether the reports of an unlisted server still apply."""
        pause = self._pauses.get(server)
        if pause is not None and pause.until > now:
            return True
        reported_at = self._leaving.get(server)
        return reported_at is not None and now - reported_at < RETENTION_S

    def _discard(self, server: Server, reported_before: float) -> None:
        """Drops the pause of a server, and its leave report up to a time."""
        if self._leaving.get(server, 0.0) <= reported_before:
            self._leaving.pop(server, None)
        self._pauses.pop(server, None)


def new_server_availability() -> ServerAvailability:
    """Returns a tracker without any reports."""
    return ServerAvailability()
