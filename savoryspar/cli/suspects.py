"""Shares crash suspects with peers."""

import time
from typing import Any

import eventlet

from savoryspar import log, membership, routing

FACT = "suspect"
LIST_REQUEST = "suspect_list"
LIST_TIMEOUT_S = 2.0
FIRST_PEER_WAIT_S = 3.0
"""Time after which a process is ready without an answer."""
POLL_S = 0.05


def share_suspects(
    suspects: routing.CrashSuspects, members: membership.Membership
) -> None:
    """Tells peers of each crash from now on, and takes theirs."""

    def take(sender: str, record: dict[str, Any]) -> None:
        del sender
        suspects.import_record(record, time.monotonic())

    def serve(sender: str, body: Any) -> dict[str, Any]:
        del sender, body
        return {"records": suspects.records(time.monotonic())}

    suspects.publish = lambda record: members.broadcast(FACT, record)
    members.handle(FACT, take)
    members.handle(LIST_REQUEST, serve)


class SuspectFetch:
    """Asks one peer for the crashes that were met before this start.

    Without it, a process that replaces another would run a blocked request
    again.

    Attributes:
        is_done: Whether a peer answered, or none is to be expected.
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
        """Asks until a peer answers or the time to wait has passed."""
        deadline_at = now + FIRST_PEER_WAIT_S
        while now < deadline_at and not self._is_answered(now):
            if self._members.is_alone():
                break
            eventlet.sleep(POLL_S)
            now = time.monotonic()
        self.is_done = True

    def _is_answered(self, now: float) -> bool:
        peers = self._members.view(now).members
        if not peers:
            return False
        try:
            reply = self._members.request(
                peers[0].incarnation, LIST_REQUEST, {}, LIST_TIMEOUT_S
            )
        except membership.PeerUnreachableError as exc:
            self._logger.warning(f"Crash suspects not fetched. {exc}")
            return False
        for record in reply["records"]:
            self._suspects.import_record(record, now)
        return True
