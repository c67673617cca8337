"""Reads the store's contents from peers, for VMs that the store ignores."""

from collections.abc import Callable, Iterable
import functools
import random
from typing import Any
import zlib

import eventlet

from savoryspar import log, membership
from savoryspar.gateway import model, prefix_state

PEER_KIND = "fleet"
PEER_TIMEOUT_S = 0.8
PEERS_ASKED = 3
"""Peers asked at the same time, so that one that does not reply delays nothing;
those that told a missing change go first, then those of the own zone."""
PEERS_ASKED_AT_START = 5
BEHIND_INTERVAL_S = 0.25
"""Shortest time between two rounds of requests while a change is missing."""
BEHIND_LIMIT_S = 5.0
"""Time after the newest such change was told from which peers are not expected
to have it; each reply has all servers."""
INTERVAL_S = 1.6
"""Shortest time between two other rounds of requests."""
MIN_START_REPLIES = 2
"""Replies that a VM needs to start without the store, if it has as many peers:
a single one may itself be behind."""

MAX_DOCUMENT_BYTES = 8 << 20
"""Size limit of a configuration, as for the store's answers."""

Reply = dict[str, Any]
Apply = Callable[[Reply, str], None]
"""Applies the reply of a peer, given the peer's name.

Raises ``KeyError``, ``TypeError`` or ``ValueError`` if it is malformed.
"""


@functools.lru_cache(maxsize=1)
def compress(document: bytes) -> bytes:
    """Compresses a configuration; a large one does not fit into a frame."""
    return zlib.compress(document, 1)


def decompress(data: bytes) -> bytes:
    """Returns the configuration that a peer compressed.

    Raises:
        TypeError, ValueError: The data is malformed or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(data, MAX_DOCUMENT_BYTES)
    except zlib.error as exc:
        raise ValueError(f"the configuration is malformed: {exc}") from exc
    if not decompressor.eof:
        raise ValueError(
            "the configuration is incomplete or has more than"
            f" {MAX_DOCUMENT_BYTES} bytes"
        )
    return document


class PeerReads:
    """Requests for the store's contents to peers.

    Attributes:
        rounds: Number of rounds of requests since the start.
        has_started: Whether enough peers have replied to start without the
            store.
    """

    __slots__ = (
        "_apply",
        "_asked_at",
        "_clock",
        "_events",
        "_is_asking",
        "_members",
        "_rng",
        "_states",
        "_version",
        "has_started",
        "rounds",
    )

    def __init__(
        self,
        states: Iterable[prefix_state.PrefixState],
        members: membership.Membership,
        version: Callable[[], int],
        apply_reply: Apply,
        events: log.EventLog,
        clock: model.Clock,
    ):
        self._states = tuple(states)
        self._members = members
        self._version = version
        self._apply = apply_reply
        self._events = events
        self._clock = clock
        self._rng = random.Random(members.incarnation)
        self._asked_at = float("-inf")
        self._is_asking = False
        self.has_started = False
        self.rounds = 0

    def begin_if_due(self, now: float) -> None:
        """Begins a round of requests if the store does not answer this VM."""
        needs_peers = any(state.needs_peers(now) for state in self._states)
        if not needs_peers or self._is_asking:
            return
        is_urgent = self._is_starting() or any(
            state.is_behind and state.told_s(now) < BEHIND_LIMIT_S
            for state in self._states
        )
        interval_s = BEHIND_INTERVAL_S if is_urgent else INTERVAL_S
        peers = self._choose_peers(now)
        if peers and now - self._asked_at >= interval_s:
            self._asked_at = now
            self._is_asking = True
            self.rounds += 1
            eventlet.spawn(self._ask, peers, self._is_starting())

    def _is_starting(self) -> bool:
        """Returns whether this VM has not had the store's contents yet."""
        return not (
            self.has_started or all(state.has_read for state in self._states)
        )

    def _choose_peers(self, now: float) -> list[membership.Member]:
        view = self._members.view(now)
        told_by = {s.told_by for s in self._states if s.is_behind}
        ranked = sorted(
            view.members,
            key=lambda member: (
                member.incarnation not in told_by,
                member.zone != view.own.zone,
                self._rng.random(),
            ),
        )
        is_starting = self._is_starting()
        return ranked[: PEERS_ASKED_AT_START if is_starting else PEERS_ASKED]

    def _ask(self, peers: list[membership.Member], is_starting: bool) -> None:
        """Asks peers at the same time and applies their replies.

        A VM that starts waits for all of them, so that it does not serve by
        the reply of a peer that is behind the others.
        """
        pile = eventlet.GreenPile(len(peers))
        for peer in peers:
            pile.spawn(self._request, peer, not is_starting)
        try:
            replies = [*zip(pile, peers, strict=True)]
            received = [(reply, peer) for reply, peer in replies if reply]
            enough = min(MIN_START_REPLIES, len(peers))
            if is_starting and len(received) >= enough:
                for reply, peer in received:
                    self._apply_reply(reply, peer)
                # Peers that start at the same time have nothing yet.
                self.has_started = self._version() > 0
        finally:
            self._is_asking = False

    def _request(
        self, peer: membership.Member, is_applied: bool
    ) -> Reply | None:
        body = {
            "version": self._version(),
            "accepts_compressed": True,
            "is_store_lost": any(
                state.is_refused or state.unanswered_s(self._clock())
                for state in self._states
            ),
        }
        try:
            reply = self._members.request(
                peer.incarnation, PEER_KIND, body, PEER_TIMEOUT_S
            )
        except membership.PeerUnreachableError as exc:
            self._record_failure(peer, exc)
            return None
        if is_applied:
            self._apply_reply(reply, peer)
        return reply

    def _apply_reply(self, reply: Reply, peer: membership.Member) -> None:
        try:
            self._apply(reply, peer.name)
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            self._record_failure(peer, exc)

    def _record_failure(self, peer: membership.Member, exc: Exception) -> None:
        self._events.state_change(
            "peer gave no fleet",
            self._clock(),
            peer=peer.name,
            cause=repr(exc),
        )
