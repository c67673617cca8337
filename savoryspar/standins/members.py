"""Members that serve no callers, many in one process, for tests and bench."""

from collections.abc import Mapping
import time
from typing import Any

import eventlet

from savoryspar import conf, membership
from savoryspar.standins import wsgi


class Members:
    """Memberships of one process, driven over HTTP by a test or scenario."""

    __slots__ = ("_members", "_received")

    def __init__(self, members: list[membership.Membership]):
        self._members = members
        self._received: list[list[Any]] = [[] for _ in members]
        for member, received in zip(members, self._received, strict=True):
            member.handle("note", _recorder(received))
            member.handle("echo", lambda sender, body: {"echo": body})
            member.handle("sleep", lambda sender, body: eventlet.sleep(body))
            member.start()

    def handle(self, exchange: wsgi.Exchange) -> Any:
        """Answers one request."""
        body = exchange.read_json()
        now = time.monotonic()
        if exchange.path == "/stats":
            return exchange.answer(self._stats(now))
        if exchange.path == "/listed":
            for member in self._members:
                member.set_listed(body["addresses"])
        member = self._members[body.get("member", 0)]
        if exchange.path == "/request":
            return exchange.answer(_request(member, body))
        if exchange.path == "/broadcast":
            member.broadcast("note", body["body"])
        if exchange.path == "/fact":
            member.publish_fact(body["name"], body["body"])
        if exchange.path == "/stop":
            member.stop(now)
        return exchange.answer({})

    def _stats(self, now: float) -> dict[str, Any]:
        return {
            "cpu_s": time.process_time(),
            "members": [
                {**_member_stats(member, now), "received": received}
                for member, received in zip(
                    self._members, self._received, strict=True
                )
            ],
        }


def _recorder(received: list[Any]) -> Any:
    return lambda sender, body: received.append([sender, body])


def _request(
    member: membership.Membership, body: Mapping[str, Any]
) -> dict[str, Any]:
    try:
        return {
            "reply": member.request(
                body["to"], body["kind"], body["body"], body["timeout_s"]
            )
        }
    except membership.PeerUnreachableError as exc:
        return {"error": str(exc), "has_sent": exc.has_sent}


def _member_stats(member: membership.Membership, now: float) -> dict[str, Any]:
    view = member.view(now, time.time())
    return {
        "address": member.connector.address,
        "incarnation": view.own.incarnation,
        "zone": view.own.zone,
        "is_confirmed": view.is_confirmed,
        "pauses": member.watcher.pauses,
        "members": [
            {
                "incarnation": peer.incarnation,
                "zone": peer.zone,
                "address": peer.address,
                "is_leaving": peer.is_leaving,
                "age_s": now - peer.heard_at,
                "revision": peer.revision,
            }
            for peer in view.members
        ],
        "links": [*member.connector.links],
        "facts": member.peer_facts("load", now),
        "refusals": dict(member.connector.refusals),
        "traffic": member.connector.traffic(),
    }


def new_members(
    cfg: conf.Settings, zones: int, first: int, count: int
) -> Members:
    """Returns members of the zones ``z0``, ``z1``, ... in turn.

    Args:
        cfg: Settings; the peer port must be 0 for more than one member.
        zones: Number of zones.
        first: Number of the first member in the whole fleet.
        count: Number of members in this process.
    """
    return Members(
        [
            membership.new_membership(
                cfg,
                time.monotonic(),
                time.time(),
                name=f"m{number}",
                zone=f"z{number % zones}",
            )
            for number in range(first, first + count)
        ]
    )
