"""Exchange of crash suspects with peers.

A crash suspect is a request that was in flight when the connection to its
backend server died.
"""

import time
from typing import Any

import eventlet

from savoryspar import decoding, log, membership, routing

BROADCAST_KIND = "suspect"
LIST_REQUEST_KIND = "suspect_list"
RECORD_REQUEST_KIND = "suspect_record"
RECORD_TIMEOUT_S = 0.5
"""Time for which the caller of a request that crashed a second server waits
until the peers have confirmed the record."""
MAX_CONFIRMING_PEERS = 32
"""Peers that confirm a record; those of the own zone first."""
LIST_TIMEOUT_S = 2.0
FETCH_TIMEOUT_S = 3.0
"""Time after which a process becomes ready although no peer has answered."""
POLL_INTERVAL_S = 0.05

logger = log.new_logger("routing")


def share_suspects(
    suspects: routing.CrashSuspects, members: membership.Membership
) -> None:
    """Sends each crash to peers from now on, and imports theirs.

    A record that blocks a request is confirmed by the peers before the caller
    is answered, who may resend the request to another entry VM at once.
    """

    def publish(record: dict[str, Any]) -> None:
        members.broadcast(BROADCAST_KIND, record)
        if record["is_blocked"]:
            _await_confirmations(members, record)

    def import_record(sender: str, record: dict[str, Any]) -> dict[str, Any]:
        del sender
        suspects.import_record(record, time.monotonic())
        return {}

    def list_records(sender: str, body: Any) -> dict[str, Any]:
        del sender, body
        return {"records": suspects.records(time.monotonic())}

    suspects.publish = publish
    members.handle(BROADCAST_KIND, import_record)
    members.handle(RECORD_REQUEST_KIND, import_record)
    members.handle(LIST_REQUEST_KIND, list_records)


def _await_confirmations(
    members: membership.Membership, record: dict[str, Any]
) -> None:
    """Sends a record to the peers one by one and waits for their replies."""
    replies = membership.ask_peers(
        members,
        RECORD_REQUEST_KIND,
        record,
        RECORD_TIMEOUT_S,
        MAX_CONFIRMING_PEERS,
        time.monotonic(),
    )
    for _, reply in replies:
        if isinstance(reply, membership.PeerUnreachableError):
            logger.warning(f"Crash record not confirmed. {reply}")


class SuspectFetch:
    """Fetches the crashes recorded before this process started from a peer.

    Without it, a process that replaces another would run a blocked request
    again.

    Attributes:
        is_done: Whether a peer has answered, or waiting for one has ended.
    """

    __slots__ = ("_members", "_suspects", "is_done")

    def __init__(
        self, suspects: routing.CrashSuspects, members: membership.Membership
    ):
        self._suspects = suspects
        self._members = members
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
            with decoding.reading("the reply"):
                records = [*reply["records"]]
        except (decoding.DecodingError, membership.PeerUnreachableError) as exc:
            logger.warning(f"Cannot fetch crash suspects. {exc}")
            return False
        for record in records:
            try:
                self._suspects.import_record(record, now)
            except Exception as exc:
                # The other records apply all the same.
                logger.warning(
                    f"Crash suspect is malformed. {decoding.describe(exc)}"
                )
        return True
