"""Hands the ledger of a leaving process to exactly one peer.

The owner closes its ledger for good before it sends anything. It sends to a
second peer only when no byte to the first one can have left or the first one
refused for good, so a lost confirmation never makes two successors. The
successor takes effect when it holds every part, and tells all members itself.
"""

from collections.abc import Callable, Iterator
from typing import Any

import eventlet

from savoryspar import errors, log
from savoryspar.idempotency import (
    clocks,
)
from savoryspar.idempotency import (
    entry as entry_lib,
)
from savoryspar.idempotency import (
    ledger as ledger_lib,
)
from savoryspar.idempotency import (
    links as links_lib,
)

HANDOVER = "handover"
SUCCESSOR = "order_successor"
LOOK_UP = "order_successor_of"
PART_BYTES = 200_000
ENTRY_BYTES = 400
"""Estimate of an entry without its result in a message."""
REQUEST_TIMEOUT_S = 1.0
RETRY_S = 0.1
LOOK_UP_PEERS = 2
LOOK_UP_TIMEOUT_S = 0.2
MAX_INHERITED_ENTRIES = 40_000
MAX_SUCCESSORS = 10_000
"""Incarnations whose successors are kept; the oldest goes first."""


class Successors:
    """Who answers for which incarnation, as far as this process knows."""

    __slots__ = (
        "_clocks",
        "_incarnation",
        "_inherited",
        "_links",
        "_logger",
        "_own",
        "_parts",
        "_refused",
        "_successor_of",
    )

    def __init__(
        self,
        incarnation: str,
        own: ledger_lib.Ledger,
        links: links_lib.Links,
        read_clocks: Callable[[], clocks.ClockReading],
    ):
        self._incarnation = incarnation
        self._own = own
        self._links = links
        self._clocks = read_clocks
        self._inherited: dict[str, ledger_lib.Ledger] = {}
        self._parts: dict[str, dict[int, list[dict[str, Any]]]] = {}
        self._refused: set[str] = set()
        self._successor_of: dict[str, str] = {}
        self._logger = log.new_logger("idempotency")
        links.handle(HANDOVER, self._serve_handover)
        links.handle(SUCCESSOR, self._serve_successor)
        links.handle(LOOK_UP, self._serve_look_up)

    def ledger_of(self, incarnation: str) -> ledger_lib.Ledger | None:
        """Returns the ledger with which this process answers, or None.

        It is None once the successor of this process is known.
        """
        if self._incarnation in self._successor_of:
            return None
        if incarnation == self._incarnation:
            return self._own
        return self._inherited.get(incarnation)

    def owner_of(self, incarnation: str) -> str:
        """Returns who answers for an incarnation, along all hand-overs."""
        seen = {incarnation}
        while incarnation in self._successor_of:
            incarnation = self._successor_of[incarnation]
            if incarnation in seen:
                break
            seen.add(incarnation)
        return incarnation

    def look_up(self, incarnation: str) -> None:
        """Asks peers for the successor of an incarnation that is gone.

        A process that started after the broadcast has not heard of it.
        """
        if incarnation in self._successor_of:
            return
        peers = self._links.peers(self._clocks().monotonic_s)
        for peer in peers[:LOOK_UP_PEERS]:
            try:
                reply = self._links.request(
                    peer, LOOK_UP, {"of": incarnation}, LOOK_UP_TIMEOUT_S
                )
            except errors.SavorysparError:
                continue
            if reply.get("successor"):
                self._set_successor(incarnation, reply["successor"])
                return

    @property
    def is_running(self) -> bool:
        """Whether this process runs an order."""
        return any(
            found.state is entry_lib.State.RUNNING
            for ledger in self._ledgers()
            for found in ledger.entries()
        )

    def close(self) -> None:
        """Stops every run of orders by this process, for good."""
        for ledger in self._ledgers():
            ledger.is_closed = True

    def _ledgers(self) -> tuple[ledger_lib.Ledger, ...]:
        return (self._own, *self._inherited.values())

    def hand_over(self, timeout_s: float) -> str:
        """Hands all ledgers to one peer, after ``close``.

        Returns:
            The successor's incarnation, or empty when nobody is known to have
            taken them; resends are then answered ``unknown``.
        """
        deadline_at = self._clocks().monotonic_s + timeout_s
        for ledger in self._ledgers():
            ledger.is_frozen = True
        parts = [*self._new_parts()]
        for successor in self._links.peers(self._clocks().monotonic_s):
            is_confirmed, may_have_it = self._offer(
                successor, parts, deadline_at
            )
            if is_confirmed:
                self._set_successor(self._incarnation, successor)
                self._logger.notice(f"Ledgers handed over. peer={successor}")
                return successor
            if may_have_it:
                self._set_successor(self._incarnation, successor)
                self._logger.warning(
                    f"Hand-over not confirmed. successor={successor}"
                )
                return ""
        for ledger in self._ledgers():
            ledger.is_frozen = False
        self._logger.warning("Hand-over failed. No peer took the ledgers.")
        return ""

    def _new_parts(self) -> Iterator[dict[str, Any]]:
        moment = self._clocks()
        ledgers = {self._incarnation: self._own, **self._inherited}
        batches: list[tuple[str, list[dict[str, Any]]]] = []
        for incarnation, ledger in ledgers.items():
            batches += [
                (incarnation, batch) for batch in _batches(ledger, moment)
            ]
        for number, (incarnation, batch) in enumerate(batches):
            yield {
                "part": number,
                "parts": len(batches),
                "of": incarnation,
                "all_of": [*ledgers],
                "total": sum(len(ledger) for ledger in ledgers.values()),
                "entries": batch,
            }

    def _offer(
        self, successor: str, parts: list[dict[str, Any]], deadline_at: float
    ) -> tuple[bool, bool]:
        """Returns whether it confirmed, and whether it may have the copy."""
        may_have_it = False
        for part in parts:
            while True:
                try:
                    reply = self._links.request(
                        successor, HANDOVER, part, REQUEST_TIMEOUT_S
                    )
                except errors.SavorysparError as exc:
                    may_have_it |= getattr(exc, "has_sent", True)
                    if self._clocks().monotonic_s >= deadline_at:
                        return False, may_have_it
                    if not may_have_it:
                        return False, False
                    eventlet.sleep(RETRY_S)
                    continue
                if not reply.get("is_accepted"):
                    return False, False
                may_have_it = True
                break
        return True, True

    def _serve_handover(
        self, sender: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        if sender in self._inherited:
            return {"is_accepted": True}
        held = sum(len(ledger) for ledger in self._inherited.values())
        is_full = held + body["total"] > MAX_INHERITED_ENTRIES
        if self._own.is_closed or is_full or sender in self._refused:
            # Refused for good: the sender now offers to another peer.
            self._refused.add(sender)
            self._parts.pop(sender, None)
            return {"is_accepted": False}
        received = self._parts.setdefault(sender, {})
        received[body["part"]] = body
        if len(received) == body["parts"]:
            self._inherit(sender, received, body["all_of"])
        return {"is_accepted": True}

    def _inherit(
        self, sender: str, received: dict[int, Any], all_of: list[str]
    ) -> None:
        moment = self._clocks()
        self._drop_expired(moment)
        del self._parts[sender]
        for incarnation in all_of:
            self._inherited[incarnation] = self._own.new_sibling()
        for part in received.values():
            for message in part["entries"]:
                self._inherited[part["of"]].install(
                    entry_lib.from_message(message, moment)
                )
        for incarnation in all_of:
            self._links.broadcast(
                SUCCESSOR, {"of": incarnation, "successor": self._incarnation}
            )
        self._logger.notice(f"Ledgers inherited. of={','.join(all_of)}")

    def _drop_expired(self, moment: clocks.ClockReading) -> None:
        self._inherited = {
            incarnation: ledger
            for incarnation, ledger in self._inherited.items()
            if not all(found.is_expired(moment) for found in ledger.entries())
        }

    def _serve_successor(self, sender: str, body: dict[str, Any]) -> None:
        del sender
        self._set_successor(body["of"], body["successor"])

    def _serve_look_up(
        self, sender: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        del sender
        if body["of"] in self._inherited:
            return {"successor": self._incarnation}
        successor = self.owner_of(body["of"])
        return {"successor": "" if successor == body["of"] else successor}

    def _set_successor(self, incarnation: str, successor: str) -> None:
        if successor == self._incarnation:
            return
        while len(self._successor_of) >= MAX_SUCCESSORS:
            del self._successor_of[next(iter(self._successor_of))]
        self._successor_of[incarnation] = successor


def _batches(
    ledger: ledger_lib.Ledger, moment: clocks.ClockReading
) -> Iterator[list[dict[str, Any]]]:
    batch: list[dict[str, Any]] = []
    size = 0
    for found in ledger.entries():
        batch.append(found.to_message(moment))
        size += ENTRY_BYTES + len(found.output or b"")
        if size >= PART_BYTES:
            yield batch
            batch, size = [], 0
    yield batch
