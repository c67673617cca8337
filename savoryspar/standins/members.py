"""Fleet members without callers, many in one process, for tests and bench."""

from collections.abc import Mapping
import time
from typing import Any

import eventlet

from savoryspar import conf, membership, sheet
from savoryspar.membership import sheet_replicator
from savoryspar.standins import wsgi


class FilteringReader(membership.Reader):
    """Reader that can drop frames of some peers, to simulate one-way faults.

    Attributes:
        blocked_peers: Incarnations whose frames are dropped.
    """

    __slots__ = ("blocked_peers",)

    def __init__(self, *arguments: Any):
        super().__init__(*arguments)
        self.blocked_peers: frozenset[str] = frozenset()

    def handle_frame(self, link: Any, frame: Any) -> None:
        """Drops a frame of a blocked peer, or handles it."""
        if link.peer.incarnation not in self.blocked_peers:
            super().handle_frame(link, frame)

    def run_link(self, link: Any) -> None:
        """Ignores a new link of a blocked peer, or reads it."""
        if link.peer.incarnation not in self.blocked_peers:
            super().run_link(link)


class Members:
    """Memberships of one process, which tests and scenarios control by HTTP."""

    __slots__ = ("_members", "_received", "_sheets")

    def __init__(self, members: list[membership.Membership]):
        self._members = members
        self._sheets = [sheet.new_sheet_holder() for _ in members]
        for member, sheets in zip(members, self._sheets, strict=True):
            sheet_replicator.new_sheet_replicator(
                member, sheets, time.monotonic
            )
        self._received: list[list[Any]] = [[] for _ in members]
        for member, received in zip(members, self._received, strict=True):
            member.handle("note", _new_recorder(received))
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

    def set_peer_addresses(self, body: Mapping[str, Any]) -> None:
        """Sets the peer addresses of the VM list."""
        for member in self._members:
            member.set_peer_addresses(body["addresses"])

    def offer_sheet(self, body: Mapping[str, Any]) -> None:
        """Offers a sheet to one member, as its configuration watch does."""
        candidate = sheet.parse_csv(body["text"], body["revision"])
        holder = self._sheets[body.get("member", 0)]
        holder.offer(candidate, "test", time.monotonic())

    def request(self, body: Mapping[str, Any]) -> dict[str, Any]:
        """Sends a request from the first member to a peer."""
        return _request(self._members[0], body)

    def broadcast(self, body: Mapping[str, Any]) -> None:
        """Broadcasts a message of kind ``note`` from the first member."""
        self._members[0].broadcast("note", body["body"])

    def publish_fact(self, body: Mapping[str, Any]) -> None:
        """Publishes the same fact from every member."""
        for member in self._members:
            member.publish_fact(body["name"], body["body"])

    def block_peers(self, body: Mapping[str, Any]) -> None:
        """Makes all members drop frames of the given peers."""
        for member in self._members:
            member.reader.blocked_peers = frozenset(body["incarnations"])

    def stop(self, body: Mapping[str, Any]) -> None:
        """Makes the first member leave the fleet."""
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
    "/listed": Members.set_peer_addresses,
    "/sheet": Members.offer_sheet,
    "/request": Members.request,
    "/broadcast": Members.broadcast,
    "/fact": Members.publish_fact,
    "/deaf": Members.block_peers,
    "/stop": Members.stop,
}


def _new_recorder(received: list[Any]) -> Any:
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
    """Returns members spread round-robin over zones ``z0``, ``z1``, ...

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
                new_reader=FilteringReader,
            )
            for number in range(first, first + count)
        ]
    )
