"""Adapters that connect the order service and placement to the membership."""

from collections.abc import Callable, Iterable, Sequence
import time
from typing import Any

from savoryspar import membership


class MemberLinks:
    """Carries the messages of the order service over the membership."""

    __slots__ = ("_members",)

    def __init__(self, members: membership.Membership):
        self._members = members

    def request(
        self, incarnation: str, kind: str, body: Any, timeout_s: float
    ) -> dict[str, Any]:
        """Sends a request to one peer and returns its reply.

        Raises:
            PeerUnreachableError: No reply arrived in time.
        """
        return self._members.request(incarnation, kind, body, timeout_s)

    def handle(self, kind: str, handler: Callable) -> None:
        """Registers the handler of requests and broadcasts of a kind."""
        self._members.handle(kind, handler)

    def broadcast(self, kind: str, body: Any) -> None:
        """Sends a message to all members."""
        self._members.broadcast(kind, body)

    def is_live(self, incarnation: str, now: float) -> bool:
        """Returns whether the view contains the peer as live."""
        view = self._members.view(now)
        return any(m.incarnation == incarnation for m in view.members)

    def peers(self, now: float) -> Sequence[str]:
        """Returns live peers that are not leaving, those of the zone first."""
        view = self._members.view(now, time.time())
        not_leaving = [m for m in view.members if not m.is_leaving]
        not_leaving.sort(
            key=lambda m: (
                m.zone != view.own.zone,
                m.region != view.own.region,
                m.incarnation,
            )
        )
        return [member.incarnation for member in not_leaving]


FENCING_FACT = "fencing"


class PlacementPeers:
    """Gives placement the view and the fencing numbers of the zone's peers."""

    __slots__ = ("_members",)

    def __init__(self, members: membership.Membership):
        self._members = members

    def view(self, now: float, wall_now: float) -> membership.View:
        """Returns the view; both clocks are needed to detect a pause."""
        return self._members.view(now, wall_now)

    def publish_fencing_number(self, number: int) -> None:
        """Publishes the highest fencing number seen to the zone's peers."""
        self._members.publish_fact(FENCING_FACT, number)

    def peer_fencing_numbers(self, now: float) -> Iterable[int]:
        """Returns the fencing numbers that the zone's peers published."""
        facts = self._members.peer_facts(FENCING_FACT, now)
        return [fact for fact in facts.values() if isinstance(fact, int)]
