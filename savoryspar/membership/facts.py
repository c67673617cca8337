"""Small facts of the zone's members, sent with heartbeats."""

from collections.abc import Callable, Mapping
from typing import Any

import cbor2

UNIT_S = 0.1
MAX_AGE = 600
REDUNDANCY = 3
"""How often a fact reaches a member on average, over several links."""


class Fact:
    """The facts of one member at one time."""

    __slots__ = ("at", "body", "counter", "revision")

    def __init__(
        self, counter: int, at: float, revision: int, body: Mapping[str, Any]
    ):
        self.counter = counter
        self.at = at
        self.revision = revision
        self.body = body


class FactStore:
    """The newest facts of each member of the zone.

    The own facts are renewed less often the larger they and the zone are,
    so that the traffic of a member stays within a budget.
    """

    __slots__ = ("_budget", "_facts", "_own", "_published", "_size")

    def __init__(self, own: str, budget_bytes_per_s: float):
        self._own = own
        self._budget = budget_bytes_per_s
        self._published: dict[str, Any] = {}
        self._facts: dict[str, Fact] = {}
        self._size = 24

    def publish(self, name: str, body: Any) -> None:
        """Sets an own fact; it is sent with the next renewal."""
        self._published[name] = body

    def interval_s(self, members: int, heartbeat_s: float) -> float:
        """Returns the time between two renewals of the own facts."""
        budgeted = self._size * members * REDUNDANCY / self._budget
        return max(heartbeat_s, budgeted)

    def renew(
        self, members: int, heartbeat_s: float, revision: int, now: float
    ) -> None:
        """Gives the own facts a new counter when their interval passed."""
        last = self._facts.get(self._own)
        interval_s = self.interval_s(members, heartbeat_s)
        if last and now - last.at < interval_s * 0.95:
            return
        counter = last.counter + 1 if last else 1
        body = dict(self._published)
        self._facts[self._own] = Fact(counter, now, revision, body)
        self._size = 24 + len(cbor2.dumps(body))

    def newer_than(self, sent: dict[str, int], now: float) -> list[list]:
        """Returns what a link has not carried yet and marks it as sent."""
        items = []
        for incarnation, fact in self._facts.items():
            if fact.counter > sent.get(incarnation, 0):
                sent[incarnation] = fact.counter
                age = int(min(MAX_AGE, (now - fact.at) / UNIT_S))
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

    def take(
        self,
        items: list[list],
        sent: dict[str, int],
        is_member: Callable[[str], bool],
        now: float,
    ) -> None:
        """Keeps the newer ones of the facts that a peer sent."""
        for incarnation, counter, age, revision, body in items:
            sent[incarnation] = max(counter, sent.get(incarnation, 0))
            known = self._facts.get(incarnation)
            if incarnation == self._own or not is_member(incarnation):
                continue
            if known is None or counter > known.counter:
                self._facts[incarnation] = Fact(
                    counter, now - age * UNIT_S, revision, body
                )

    def drop(self, incarnation: str) -> None:
        """Forgets the facts of a member that is gone."""
        self._facts.pop(incarnation, None)

    def revision(self, incarnation: str) -> int:
        """Returns the revision that the member last reported, 0 if none."""
        fact = self._facts.get(incarnation)
        return fact.revision if fact else 0

    def fresh(self, name: str, now: float, max_age_s: float) -> dict[str, Any]:
        """Returns the peers' facts of a name that are not older."""
        return {
            incarnation: fact.body[name]
            for incarnation, fact in self._facts.items()
            if incarnation != self._own
            and name in fact.body
            and now - fact.at <= max_age_s
        }
