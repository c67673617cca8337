"""Small facts that members of a zone publish to each other in heartbeats."""

from collections.abc import Callable, Mapping
from typing import Any

import cbor2

AGE_UNIT_S = 0.1
MAX_AGE_UNITS = 600
REDUNDANCY = 3
"""Average number of links over which a member receives the same fact."""


class MemberFacts:
    """The facts of one member, as of their last renewal."""

    __slots__ = ("body", "counter", "renewed_at", "revision")

    def __init__(
        self,
        counter: int,
        renewed_at: float,
        revision: int,
        body: Mapping[str, Any],
    ):
        self.counter = counter
        self.renewed_at = renewed_at
        self.revision = revision
        self.body = body


class FactStore:
    """The newest facts of each member of the zone.

    The interval at which a member renews its own facts grows with their size
    and the size of the zone, which keeps its traffic within a budget.
    """

    __slots__ = ("_budget", "_facts", "_own", "_published", "_size")

    def __init__(self, own: str, budget_bytes_per_s: float):
        self._own = own
        self._budget = budget_bytes_per_s
        self._published: dict[str, Any] = {}
        self._facts: dict[str, MemberFacts] = {}
        self._size = 24

    def publish(self, name: str, body: Any) -> None:
        """Sets a fact of this process; it is sent with the next renewal."""
        self._published[name] = body

    def interval_s(self, members: int, heartbeat_s: float) -> float:
        """Returns the time between two renewals of this process's facts."""
        budgeted = self._size * members * REDUNDANCY / self._budget
        return max(heartbeat_s, budgeted)

    def renew(
        self, members: int, heartbeat_s: float, revision: int, now: float
    ) -> None:
        """Renews the facts of this process, once their interval has passed."""
        last = self._facts.get(self._own)
        interval_s = self.interval_s(members, heartbeat_s)
        if last and now - last.renewed_at < interval_s * 0.95:
            return
        counter = last.counter + 1 if last else 1
        body = dict(self._published)
        self._facts[self._own] = MemberFacts(counter, now, revision, body)
        self._size = 24 + len(cbor2.dumps(body))

    def collect_unsent(
        self, sent: dict[str, int], own_only: bool, now: float
    ) -> list[list]:
        """Returns the facts not yet sent on a link and marks them as sent.

        Args:
            sent: Newest counter sent on the link by member; updated in place.
            own_only: Whether to omit the facts of other members.
            now: Monotonic time in seconds.
        """
        items = []
        for incarnation, fact in self._facts.items():
            if own_only and incarnation != self._own:
                continue
            if fact.counter > sent.get(incarnation, 0):
                sent[incarnation] = fact.counter
                age = int(
                    min(MAX_AGE_UNITS, (now - fact.renewed_at) / AGE_UNIT_S)
                )
                items.append(
                    [
                        incarnation,
                        fact.counter,
                        age,
                        fact.revision,
                        fact.body,
                    ]
                )
        return items

    def apply(
        self,
        items: list[list],
        sent: dict[str, int],
        is_member: Callable[[str], bool],
        now: float,
    ) -> None:
        """Stores the received facts that are newer than the known ones."""
        for incarnation, counter, age, revision, body in items:
            sent[incarnation] = max(counter, sent.get(incarnation, 0))
            known = self._facts.get(incarnation)
            if incarnation == self._own or not is_member(incarnation):
                continue
            if known is None or counter > known.counter:
                self._facts[incarnation] = MemberFacts(
                    counter, now - age * AGE_UNIT_S, revision, body
                )

    def remove(self, incarnation: str) -> None:
        """Removes the facts of a dead member."""
        self._facts.pop(incarnation, None)

    def revision(self, incarnation: str) -> int:
        """Returns the sheet revision that a member last reported, 0 if none."""
        fact = self._facts.get(incarnation)
        return fact.revision if fact else 0

    def fresh(self, name: str, now: float, max_age_s: float) -> dict[str, Any]:
        """Returns the peers' values of a fact up to the maximum age."""
        return {
            incarnation: fact.body[name]
            for incarnation, fact in self._facts.items()
            if incarnation != self._own
            and name in fact.body
            and now - fact.renewed_at <= max_age_s
        }
