"""Exchange of crash suspects with peers.

A crash suspect is a request that was in flight when the connection to its
backend server died.
"""

import time
from typing import Any

import eventlet

from savoryspar import log, membership, routing

BROADCAST_KIND = "suspect"
LIST_REQUEST_KIND = "suspect_list"
LIST_TIMEOUT_S = 2.0
FETCH_TIMEOUT_S = 3.0
"""Time after which a process becomes ready although no peer has answered."""
POLL_INTERVAL_S = 0.05


def share_suspects(
    suspects: routing.CrashSuspects, members: membership.Membership
) -> None:
    """Broadcasts each crash to peers from now on, and imports theirs."""

    def import_record(sender: str, record: dict[str, Any]) -> None:
        del sender
        suspects.import_record(record, time.monotonic())

    def list_records(sender: str, body: Any) -> dict[str, Any]:
        del sender, body
        return {"records": suspects.records(time.monotonic())}

    suspects.publish = lambda record: members.broadcast(BROADCAST_KIND, record)
    members.handle(BROADCAST_KIND, import_record)
    members.handle(LIST_REQUEST_KIND, list_records)


class SuspectFetch:
    """Fetches the crashes recorded before this process started from a peer.

    Without it, a process that replaces another would run a blocked request
    again.

    Attributes:
        is_done: Whether a peer has answered, or waiting for one has ended.
    """

    __slots__ = ("_logger", "_members", "_suspects", "is_done")

    def __init__(
        self, suspects: routing.CrashSuspects, members: membership.Membership
    ):
        self._suspects = suspects
        self._members = members
        self._logger = log.new_logger("routing")
        self.is_done = False

    def run(self, now: float) -> None:
        """Queries peers until one answers, none exists, or the time is up."""
        deadline_at = now + FETCH_TIMEOUT_S
        while now < deadline_at and not self._fetch(now):
            if self._members.is_alone():
                break
            eventlet.sleep(POLL_INTERVAL_S)
            now = time.monotonic()
        self.is_done = True

    def _fetch(self, now: float) -> bool:
        """Queries one peer; returns whether it answered."""
        peers = self._members.view(now).members
        if not peers:
            return False
        try:
            reply = self._members.request(
                peers[0].incarnation, LIST_REQUEST_KIND, {}, LIST_TIMEOUT_S
            )
        except membership.PeerUnreachableError as exc:
            self._logger.warning(f"Cannot fetch crash suspects. {exc}")
            return False
        for record in reply["records"]:
            self._suspects.import_record(record, now)
        return True
