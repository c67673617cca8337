"""Watches the configuration service, by two members of a zone only."""

from collections.abc import Callable

import eventlet

from savoryspar import discovery, log, sheet
from savoryspar.membership import exceptions, service, spread, topology

WATCHERS_PER_ZONE = 2
FACT = "config_service"
START_WAIT_S = 10.0
"""Time in which a new process takes the service's word only when its peers
have no sheet, or the VM list names none: the service may be stale."""


ASK_TIMEOUT_S = 1.0
MIN_POLL_S = 1.0
IDLE_S = 0.25
RETRY_S = 1.0
FIRST_REREAD_S = 0.5
MAX_REREAD_S = 30.0
BLIND_S = 30.0
"""Time for which a member that cannot reach the service lets others watch."""


class SheetWatch:
    """Decides whether this process watches, and does so."""

    __slots__ = (
        "_blind_until",
        "_client",
        "_clock",
        "_logger",
        "_members",
        "_refusals",
        "_sheets",
        "_started_at",
        "_timeout_s",
        "_was_watcher",
    )

    def __init__(
        self,
        members: service.Membership,
        sheets: sheet.SheetHolder,
        client: discovery.ConfigClient,
        timeout_s: float,
        clock: Callable[[], float],
    ):
        self._members = members
        self._sheets = sheets
        self._client = client
        self._timeout_s = timeout_s
        self._clock = clock
        self._started_at = clock()
        self._blind_until = float("-inf")
        self._refusals = 0
        self._was_watcher = False
        self._logger = log.new_logger("sheet")

    def is_watcher(self, now: float) -> bool:
        """Tells whether this process is one of the zone's two watchers."""
        view = self._members.view(now)
        zone = [
            member.incarnation
            for member in view.members
            if member.zone == view.own.zone and not member.is_leaving
        ]
        own = view.own.incarnation
        sees = self._members.peer_facts(FACT, now)
        sees[own] = now >= self._blind_until
        seeing = [item for item in [*zone, own] if sees.get(item, True)]
        order = topology.rendezvous(
            seeing or [*zone, own], f"watch/{view.own.zone}"
        )
        return own in order[:WATCHERS_PER_ZONE]

    def may_read(self, now: float) -> bool:
        """Tells whether this process may call the service now."""
        if self._sheets.current is None:
            is_late = now - self._started_at > START_WAIT_S
            return is_late or (self.is_watcher(now) and self._is_first(now))
        return self.is_watcher(now)

    def _is_first(self, now: float) -> bool:
        """Tells whether no peer has a sheet yet."""
        if self._members.is_alone():
            return True
        peers = self._members.view(now).members
        return any(self._has_none(peer.incarnation) for peer in peers)

    def _has_none(self, incarnation: str) -> bool:
        try:
            reply = self._members.request(
                incarnation, spread.REQUEST, [0, None, 0], ASK_TIMEOUT_S
            )
        except exceptions.PeerUnreachableError:
            return False
        return reply["kind"] == "none"

    def run(self) -> None:
        """Follows the service for as long as the process lives."""
        while True:
            if not self.may_read(self._clock()):
                self._note_duty(False)
                eventlet.sleep(IDLE_S)
                continue
            self._note_duty(True)
            try:
                self.read_once()
            except discovery.PlatformError as exc:
                self._note_failure(exc, self._clock())
                eventlet.sleep(RETRY_S)

    def read_once(self) -> None:
        """Waits for a revision and offers it to the holder.

        Raises:
            PlatformError: The service is down or over its rate.
        """
        after = self._sheets.revision
        # The first polls are short, because a process that knows no peers yet
        # takes itself for a watcher.
        age_s = self._clock() - self._started_at
        timeout_s = min(self._timeout_s, max(MIN_POLL_S, age_s))
        if self._refusals:
            # A refused revision is read again at growing intervals, because
            # it may have been read while it changed.
            after = max(after, self._sheets.refused_revision)
            reread_s = FIRST_REREAD_S * 2 ** min(10, self._refusals)
            timeout_s = min(timeout_s, reread_s, MAX_REREAD_S)
        revision = self._client.watch(after, timeout_s)
        if self._blind_until > float("-inf"):
            self._blind_until = float("-inf")
            self._members.publish_fact(FACT, True)
            self._logger.notice("Configuration service reached again.")
        if revision > self._sheets.revision:
            sheet.refresh(self._client, self._sheets, revision, self._clock())
        is_refused = self._sheets.revision < revision
        self._refusals = self._refusals + 1 if is_refused else 0

    def _note_failure(self, exc: discovery.PlatformError, now: float) -> None:
        if self._blind_until == float("-inf"):
            self._logger.warning(f"Configuration not read. {exc}")
        self._blind_until = now + BLIND_S
        self._members.publish_fact(FACT, False)

    def _note_duty(self, is_watcher: bool) -> None:
        if is_watcher != self._was_watcher:
            self._was_watcher = is_watcher
            word = "Watching" if is_watcher else "Not watching"
            self._logger.info(f"{word} the configuration service.")


def new_sheet_watch(
    members: service.Membership,
    sheets: sheet.SheetHolder,
    client: discovery.ConfigClient,
    timeout_s: float,
    clock: Callable[[], float],
) -> SheetWatch:
    """Returns a watch that starts with ``run`` in a green thread."""
    return SheetWatch(members, sheets, client, timeout_s, clock)
