"""Requests to many peers at once."""

from collections.abc import Iterator
from typing import Any

import eventlet

from savoryspar.membership import exceptions, service

Reply = Any | exceptions.PeerUnreachableError
"""Reply of a peer, or why there is none."""


def ask_peers(
    members: service.Membership,
    kind: str,
    body: Any,
    timeout_s: float,
    limit: int,
    now: float,
) -> Iterator[tuple[str, Reply]]:
    """Sends a request to live peers, those of the own zone first.

    Args:
        members: The members.
        kind: Name of the message kind.
        body: Body of the request.
        timeout_s: Timeout for each reply.
        limit: Most peers to ask.
        now: Monotonic time in seconds.

    Returns:
        The incarnation and the reply of each peer, once all have replied or
        timed out.
    """
    own, *others = members.all_members(now)
    peers = sorted(others, key=lambda member: member.zone != own.zone)[:limit]
    pile = eventlet.GreenPile(limit)
    for peer in peers:
        pile.spawn(_ask, members, peer.incarnation, kind, body, timeout_s)
    return iter([*pile])


def _ask(
    members: service.Membership,
    incarnation: str,
    kind: str,
    body: Any,
    timeout_s: float,
) -> tuple[str, Reply]:
    try:
        reply = members.request(incarnation, kind, body, timeout_s)
    except exceptions.PeerUnreachableError as exc:
        return incarnation, exc
    return incarnation, reply
