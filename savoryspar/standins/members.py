"""Members that serve no callers, many in one process, for tests and bench."""

from collections.abc import Mapping
import time
from typing import Any

import eventlet

from savoryspar import conf, membership, sheet
from savoryspar.membership import spread
from savoryspar.standins import wsgi


class DeafReader(membership.Reader):
    """A reader that can lose what some peers send, for one-way cuts.

    Attributes:
        deaf_to: Incarnations whose frames are lost.
    """

    __slots__ = ("deaf_to",)

    def __init__(self, *arguments: Any):
        super().__init__(*arguments)
        self.deaf_to: frozenset[str] = frozenset()

    def handle_frame(self, link: Any, frame: Any) -> None:
        """Loses the frame or takes it."""
        if link.peer.incarnation not in self.deaf_to:
            super().handle_frame(link, frame)

    def run_link(self, link: Any) -> None:
        """Loses a new link or reads it."""
        if link.peer.incarnation not in self.deaf_to:
            super().run_link(link)


class Members:
    """Memberships of one process, driven over HTTP by a test or scenario."""

    __slots__ = ("_members", "_received", "_sheets")

    def __init__(self, members: list[membership.Membership]):
        self._members = members
        self._sheets = [sheet.new_sheet_holder() for _ in members]
        for member, sheets in zip(members, self._sheets, strict=True):
            spread.new_sheet_spreader(member, sheets, time.monotonic)
        self._received: list[list[Any]] = [[] for _ in members]
        for member, received in zip(members, self._received, strict=True):
            member.handle("note", _recorder(received))
            member.handle("echo", lambda sender, body: {"echo": body})
            member.handle("sleep", lambda sender, body: eventlet.sleep(body))
            member.start()

    def handle(self, exchange: wsgi.Exchange) -> Any:
        """Answers one request."""
        if exchange.path == "/stats":
            is_brief = "brief" in exchange.query
            stats = self._stats(time.monotonic(), is_brief)
            return exchange.answer(stats)
        answer = _COMMANDS[exchange.path](self, exchange.read_json())
        return exchange.answer(answer or {})

    def list_addresses(self, body: Mapping[str, Any]) -> None:
        """Sets the peer addresses of the VM list."""
        for member in self._members:
            member.set_peer_addresses(body["addresses"])

    def offer_sheet(self, body: Mapping[str, Any]) -> None:
        """Offers a sheet to one member, as its watch would."""
        offered = sheet.parse_csv(body["text"], body["revision"])
        holder = self._sheets[body.get("member", 0)]
        holder.offer(offered, "test", time.monotonic())

    def request(self, body: Mapping[str, Any]) -> dict[str, Any]:
        """Sends a request from the first member to a peer."""
        return _request(self._members[0], body)

    def broadcast(self, body: Mapping[str, Any]) -> None:
        """Broadcasts a note from the first member."""
        self._members[0].broadcast("note", body["body"])

    def publish_fact(self, body: Mapping[str, Any]) -> None:
        """Publishes a fact of every member."""
        for member in self._members:
            member.publish_fact(body["name"], body["body"])

    def deafen(self, body: Mapping[str, Any]) -> None:
        """Loses what the named peers send to any member."""
        for member in self._members:
            member.reader.deaf_to = frozenset(body["incarnations"])

    def stop(self, body: Mapping[str, Any]) -> None:
        """Lets the first member leave."""
        del body
        self._members[0].stop(time.monotonic())

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


_COMMANDS = {
    "/listed": Members.list_addresses,
    "/sheet": Members.offer_sheet,
    "/request": Members.request,
    "/broadcast": Members.broadcast,
    "/fact": Members.publish_fact,
    "/deaf": Members.deafen,
    "/stop": Members.stop,
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
                "age_s": now - peer.last_heard_at,
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
                read=DeafReader,
            )
            for number in range(first, first + count)
        ]
    )
