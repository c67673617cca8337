"""Watch of the configuration service, run by two members per zone."""

from collections.abc import Callable

import eventlet

from savoryspar import discovery, log, sheet
from savoryspar.membership import (
    exceptions,
    polls,
    service,
    sheet_replicator,
    topology,
)

WATCHERS_PER_ZONE = 2
REACHABILITY_FACT = "config_service"
START_WAIT_S = 10.0
"""Time for which a new process prefers the sheet of its peers.

During this time, it reads the service, whose data may be stale, only if a peer
has no sheet or the VM list contains no other peer.
"""

REQUEST_TIMEOUT_S = 1.0
PEERS_ASKED = 32
"""Peers asked at the same time whether they have a sheet."""
MIN_POLL_S = 1.0
STANDBY_POLL_S = 0.25
RETRY_S = 1.0
FIRST_REREAD_S = 0.5
MAX_REREAD_S = 30.0
UNREACHABLE_S = 30.0
"""Time for which a member that failed to reach the service does not watch."""


class SheetWatch:
    """Watches the service while this process is one of the zone's watchers."""

    __slots__ = (
        "_client",
        "_clock",
        "_logger",
        "_members",
        "_refusals",
        "_sheets",
        "_started_at",
        "_timeout_s",
        "_unreachable_until",
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
        self._unreachable_until = float("-inf")
        self._refusals = 0
        self._was_watcher = False
        self._logger = log.new_logger("sheet")

    def is_watcher(self, now: float) -> bool:
        """Returns whether this process is one of the zone's two watchers."""
        view = self._members.view(now)
        zone = [
            member.incarnation
            for member in view.members
            if member.zone == view.own.zone and not member.is_leaving
        ]
        own = view.own.incarnation
        reachability = self._members.peer_facts(REACHABILITY_FACT, now)
        reachability[own] = now >= self._unreachable_until
        reachable = [
            item for item in [*zone, own] if reachability.get(item, True)
        ]
        order = topology.rendezvous(
            reachable or [*zone, own], f"watch/{view.own.zone}"
        )
        return own in order[:WATCHERS_PER_ZONE]

    def may_read(self, now: float) -> bool:
        """Returns whether this process may call the service now."""
        if self._sheets.current is None:
            is_late = now - self._started_at > START_WAIT_S
            return is_late or (
                self.is_watcher(now) and self._is_first_start(now)
            )
        return self.is_watcher(now)

    def _is_first_start(self, now: float) -> bool:
        """Returns whether no peer is listed or some peer has no sheet yet."""
        if self._members.is_alone():
            return True
        replies = polls.ask_peers(
            self._members,
            sheet_replicator.REQUEST,
            [0, None, 0],
            REQUEST_TIMEOUT_S,
            PEERS_ASKED,
            now,
        )
        return any(
            not isinstance(reply, exceptions.PeerUnreachableError)
            and reply["kind"] == "none"
            for _, reply in replies
        )

    def run(self) -> None:
        """Watches the service until the process exits."""
        while True:
            if not self.may_read(self._clock()):
                self._update_role(False)
                eventlet.sleep(STANDBY_POLL_S)
                continue
            self._update_role(True)
            try:
                self.read_once()
            except discovery.PlatformError as exc:
                self._handle_failure(exc, self._clock())
                eventlet.sleep(RETRY_S)

    def read_once(self) -> None:
        """Waits for a new revision and submits it to the holder.

        Raises:
            PlatformError: The service is unavailable or limits the rate.
        """
        after = self._sheets.revision
        # The first polls are short, because a process without known peers
        # acts as a watcher.
        age_s = self._clock() - self._started_at
        timeout_s = min(self._timeout_s, max(MIN_POLL_S, age_s))
        if self._refusals:
            # A rejected revision is read again at growing intervals, because
            # it may have changed while it was read.
            after = max(after, self._sheets.refused_revision)
            reread_s = FIRST_REREAD_S * 2 ** min(10, self._refusals)
            timeout_s = min(timeout_s, reread_s, MAX_REREAD_S)
        revision = self._client.watch(after, timeout_s)
        if self._unreachable_until > float("-inf"):
            self._unreachable_until = float("-inf")
            self._members.publish_fact(REACHABILITY_FACT, True)
            self._logger.notice("Configuration service reachable again.")
        if revision > self._sheets.revision:
            sheet.refresh(self._client, self._sheets, revision, self._clock())
        is_refused = self._sheets.revision < revision
        self._refusals = self._refusals + 1 if is_refused else 0

    def _handle_failure(self, exc: discovery.PlatformError, now: float) -> None:
        if self._unreachable_until == float("-inf"):
            self._logger.warning(f"Configuration service not read. {exc}")
        self._unreachable_until = now + UNREACHABLE_S
        self._members.publish_fact(REACHABILITY_FACT, False)

    def _update_role(self, is_watcher: bool) -> None:
        if is_watcher != self._was_watcher:
            self._was_watcher = is_watcher
            activity = "Watching" if is_watcher else "Not watching"
            self._logger.info(f"{activity} the configuration service.")


def new_sheet_watch(
    members: service.Membership,
    sheets: sheet.SheetHolder,
    client: discovery.ConfigClient,
    timeout_s: float,
    clock: Callable[[], float],
) -> SheetWatch:
    """Returns a watch; its ``run`` is to be started in a green thread."""
    return SheetWatch(members, sheets, client, timeout_s, clock)
