"""Gives the order service and placement their peers through the membership."""

from collections.abc import Callable, Iterable, Sequence
import time
from typing import Any

from savoryspar import membership


class MemberLinks:
    """The messages of the order service, carried by the membership."""

    __slots__ = ("_members",)

    def __init__(self, members: membership.Membership):
        self._members = members

    def request(
        self, incarnation: str, kind: str, body: Any, timeout_s: float
    ) -> dict[str, Any]:
        """Sends a request to one peer and returns its reply.

        Raises:
            PeerUnreachableError: No reply came in time.
        """
        return self._members.request(incarnation, kind, body, timeout_s)

    def handle(self, kind: str, handler: Callable) -> None:
        """Serves requests and broadcasts of a kind."""
        self._members.handle(kind, handler)

    def broadcast(self, kind: str, body: Any) -> None:
        """Tells a fact to all members."""
        self._members.broadcast(kind, body)

    def is_live(self, incarnation: str, now: float) -> bool:
        """Tells whether the peer is in the live view."""
        view = self._members.view(now)
        return any(m.incarnation == incarnation for m in view.members)

    def peers(self, now: float) -> Sequence[str]:
        """Returns live peers that are not leaving, the own zone's first."""
        view = self._members.view(now, time.time())
        staying = [m for m in view.members if not m.is_leaving]
        staying.sort(
            key=lambda m: (
                m.zone != view.own.zone,
                m.region != view.own.region,
                m.incarnation,
            )
        )
        return [member.incarnation for member in staying]


FENCING_FACT = "fencing"


class PlacementPeers:
    """The view and the fencing numbers of the zone's peers."""

    __slots__ = ("_members",)

    def __init__(self, members: membership.Membership):
        self._members = members

    def view(self, now: float, wall_now: float) -> membership.View:
        """Returns the view; a pause is noticed with both clocks."""
        return self._members.view(now, wall_now)

    def publish_number(self, number: int) -> None:
        """Tells the zone's peers the highest fencing number seen."""
        self._members.publish_fact(FENCING_FACT, number)

    def peer_numbers(self, now: float) -> Iterable[int]:
        """Returns the numbers that the zone's peers told."""
        facts = self._members.peer_facts(FENCING_FACT, now)
        return [fact for fact in facts.values() if isinstance(fact, int)]
