"""What backend servers say of themselves in their answers.

A server that is leaving says so, and one that is busy may ask to be left alone
for a time. Both bind this process until the server starts anew, respectively
until the time is over, whatever the list of servers says meanwhile.
"""

from collections.abc import Iterable, Mapping

from savoryspar import log
from savoryspar.backends import requests

TRIAL_GAP_S = 0.25
"""Time between the first calls to a server whose pause is over, until it has
answered one without asking for another pause. Callers that waited for the end
of the pause would otherwise all come at once."""
REMEMBER_S = 120.0
"""Time for which the notices of servers off the list are kept. An entry may
lapse and come back while the store is away, and the server is the same."""
NEW_START_S = 1.0
"""Age up to which a notice may be that of a start that is listed only now. A
start is listed within about a heartbeat of 1.2 s, and a server that left takes
longer than that to be back."""

Server = tuple[str, str]
"""ID and address (``IP:port``) of a server."""


class _Pause:
    """A time for which a server wants no work.

    Attributes:
        until: End of the time; monotonic seconds.
        tried_at: When a call was sent after its end.
    """

    __slots__ = ("tried_at", "until")

    def __init__(self, until: float):
        self.until = until
        self.tried_at = until - TRIAL_GAP_S


class ServerAvailability:
    """Decides whether a server may get work from this process now."""

    __slots__ = ("_leaving", "_logger", "_pauses", "_starts")

    def __init__(self) -> None:
        self._logger = log.new_logger("backends")
        # When each leaving server said so last.
        self._leaving: dict[Server, float] = {}
        self._pauses: dict[Server, _Pause] = {}
        # Start of each listed server, as its entry tells it.
        self._starts: dict[Server, int] = {}

    def take(
        self, server: Server, facts: requests.AnswerFacts, now: float
    ) -> None:
        """Takes the notices of an answer.

        Args:
            server: The server that sent it.
            facts: What its head says.
            now: Monotonic time in seconds.
        """
        self.note(server, facts.is_leaving, facts.pause_s, now)

    def note(
        self, server: Server, is_leaving: bool, pause_s: float, now: float
    ) -> None:
        """Takes the notices of an answer that this process or a peer got.

        Args:
            server: The server that sent it.
            is_leaving: Whether it says that it is leaving.
            pause_s: Time for which it wants no work, 0 when not told.
            now: Monotonic time in seconds.
        """
        if is_leaving:
            if server not in self._leaving:
                self._logger.notice(
                    f"Server says that it is leaving. server={server[0]}"
                )
            self._leaving[server] = now
        pause = self._pauses.get(server)
        if pause_s > 0.0:
            until = now + pause_s
            if pause is None or pause.until < until:
                self._pauses[server] = _Pause(until)
                self._logger.notice(
                    f"Server asks for a pause. server={server[0]}"
                    f" pause_s={pause_s:.2f}"
                )
        elif pause is not None and now >= pause.until:
            del self._pauses[server]

    def record_send(self, server: Server, now: float) -> None:
        """Notes that a call is on its way to a server."""
        pause = self._pauses.get(server)
        if pause is not None:
            pause.tried_at = now

    def is_leaving(self, server: Server) -> bool:
        """Tells whether a server said that it is leaving."""
        return server in self._leaving

    def pause_s(self, server: Server, now: float) -> float:
        """Returns how long a server is to be left alone, 0 if it is not."""
        pause = self._pauses.get(server)
        if pause is None:
            return 0.0
        return max(0.0, pause.until - now, pause.tried_at + TRIAL_GAP_S - now)

    def shortest_pause_s(self, servers: Iterable[Server], now: float) -> float:
        """Returns when the first paused server wants work, 0 without one.

        Those that leave want none again, whatever they said of a pause.
        """
        pauses = [
            self.pause_s(server, now)
            for server in servers
            if server not in self._leaving
        ]
        return min((pause for pause in pauses if pause > 0.0), default=0.0)

    def may_send(self, server: Server, now: float) -> bool:
        """Tells whether a server may get work."""
        if server in self._leaving:
            return False
        return not self._pauses or self.pause_s(server, now) <= 0.0

    def update(self, starts: Mapping[Server, int], now: float) -> None:
        """Takes the listed servers; notices of an earlier start are dropped.

        Args:
            starts: Start of each listed server, in Unix milliseconds.
            now: Monotonic time in seconds.
        """
        for server, started_ms in starts.items():
            known_ms = self._starts.get(server, started_ms)
            if known_ms != started_ms:
                self._forget(server, now - NEW_START_S)
        self._starts.update(starts)
        for server in [*self._starts.keys() - starts.keys()]:
            if not self._is_binding(server, now):
                self._forget(server, now)
                del self._starts[server]

    def _is_binding(self, server: Server, now: float) -> bool:
        """Tells whether the notices of a server off the list still bind."""
        pause = self._pauses.get(server)
        if pause is not None and pause.until > now:
            return True
        said_at = self._leaving.get(server)
        return said_at is not None and now - said_at < REMEMBER_S

    def _forget(self, server: Server, said_before: float) -> None:
        """Drops the notices of a server up to a time."""
        if self._leaving.get(server, 0.0) <= said_before:
            self._leaving.pop(server, None)
        self._pauses.pop(server, None)


def new_server_availability() -> ServerAvailability:
    """Returns an empty set of notices."""
    return ServerAvailability()
