"""Members that serve no callers, many in one process, for tests and bench."""

from collections.abc import Mapping
import time
from typing import Any

import eventlet

from savoryspar import conf, membership, sheet
from savoryspar.standins import wsgi


class Members:
    """Memberships of one process, driven over HTTP by a test or scenario."""

    __slots__ = ("_members", "_received", "_sheets")

    def __init__(self, members: list[membership.Membership]):
        self._members = members
        self._sheets = [sheet.new_sheet_holder() for _ in members]
        for member, sheets in zip(members, self._sheets, strict=True):
            membership.new_sheet_spreader(member, sheets, time.monotonic)
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
            is_brief = "brief" in exchange.query
            return exchange.answer(self._stats(now, is_brief))
        if exchange.path == "/listed":
            for member in self._members:
                member.set_listed(body["addresses"])
        number = body.get("member", 0)
        member = self._members[number]
        if exchange.path == "/sheet":
            offered = sheet.parse_csv(body["text"], body["revision"])
            self._sheets[number].offer(offered, "test", now)
        if exchange.path == "/request":
            return exchange.answer(_request(member, body))
        if exchange.path == "/broadcast":
            member.broadcast("note", body["body"])
        if exchange.path == "/fact":
            for each in self._members:
                each.publish_fact(body["name"], body["body"])
        if exchange.path == "/stop":
            member.stop(now)
        return exchange.answer({})

    def _stats(self, now: float, is_brief: bool) -> dict[str, Any]:
        if is_brief:
            return {
                "cpu_s": time.process_time(),
                "members": [
                    {
                        "count": len(member.view(now).members),
                        "revision": sheets.revision,
                        "traffic": member.connector.traffic(),
                    }
                    for member, sheets in zip(
                        self._members, self._sheets, strict=True
                    )
                ],
            }
        return {
            "cpu_s": time.process_time(),
            "members": [
                {
                    **_member_stats(member, now),
                    "received": received,
                    "revision": sheets.revision,
                    "digest": sheets.current and sheets.current.digest,
                    "conflict": str(sheets.conflict or ""),
                }
                for member, received, sheets in zip(
                    self._members, self._received, self._sheets, strict=True
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
