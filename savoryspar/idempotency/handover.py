"""Hands the ledgers of a process that shuts down to exactly one peer.

The owner closes its ledgers permanently before it sends anything. It tries a
second peer only if no byte was sent to the first one or the first one rejected
the ledgers permanently, so a lost confirmation never results in two
successors. The successor becomes active when it has received every part, and
announces itself to all members.
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
"""Estimated size of an encoded entry without its result."""
REQUEST_TIMEOUT_S = 1.0
RETRY_S = 0.1
LOOK_UP_PEERS = 2
LOOK_UP_TIMEOUT_S = 0.2
MAX_INHERITED_ENTRIES = 40_000
MAX_SUCCESSORS = 10_000
"""Incarnations whose successors are kept; the oldest is evicted first."""


class Successors:
    """Ledgers and successors of incarnations, as known to this process."""

    __slots__ = (
        "_incarnation",
        "_inherited",
        "_links",
        "_logger",
        "_own_ledger",
        "_read_clocks",
        "_received_parts",
        "_rejected_senders",
        "_successor_of",
    )

    def __init__(
        self,
        incarnation: str,
        own_ledger: ledger_lib.Ledger,
        links: links_lib.Links,
        read_clocks: Callable[[], clocks.ClockReading],
    ):
        self._incarnation = incarnation
        self._own_ledger = own_ledger
        self._links = links
        self._read_clocks = read_clocks
        self._inherited: dict[str, ledger_lib.Ledger] = {}
        self._received_parts: dict[str, dict[int, list[dict[str, Any]]]] = {}
        self._rejected_senders: set[str] = set()
        self._successor_of: dict[str, str] = {}
        self._logger = log.new_logger("idempotency")
        links.handle(HANDOVER, self._serve_handover)
        links.handle(SUCCESSOR, self._serve_successor)
        links.handle(LOOK_UP, self._serve_look_up)

    def ledger_of(self, incarnation: str) -> ledger_lib.Ledger | None:
        """Returns the ledger of an incarnation if this process owns it.

        Returns None for every incarnation once this process has a successor.
        """
        if self._incarnation in self._successor_of:
            return None
        if incarnation == self._incarnation:
            return self._own_ledger
        return self._inherited.get(incarnation)

    def owner_of(self, incarnation: str) -> str:
        """Returns the last known successor, or the incarnation itself."""
        seen = {incarnation}
        while incarnation in self._successor_of:
            incarnation = self._successor_of[incarnation]
            if incarnation in seen:
                break
            seen.add(incarnation)
        return incarnation

    def look_up(self, incarnation: str) -> None:
        """Queries peers for the successor of an incarnation that is not live.

        A process that started after the broadcast has not received it.
        """
        if incarnation in self._successor_of:
            return
        peers = self._links.peers(self._read_clocks().monotonic_s)
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
        """Whether an order is running in this process."""
        return any(
            entry.state is entry_lib.State.RUNNING
            for ledger in self._ledgers()
            for entry in ledger.entries()
        )

    def close(self) -> None:
        """Permanently prevents this process from starting orders."""
        for ledger in self._ledgers():
            ledger.is_closed = True

    def _ledgers(self) -> tuple[ledger_lib.Ledger, ...]:
        return (self._own_ledger, *self._inherited.values())

    def hand_over(self, timeout_s: float) -> str:
        """Hands all ledgers to one peer, after ``close``.

        Returns:
            The successor's incarnation, or empty if no peer confirmed the
            handover; retries may then be answered ``unknown``.
        """
        deadline_at = self._read_clocks().monotonic_s + timeout_s
        for ledger in self._ledgers():
            ledger.is_frozen = True
        parts = [*self._new_parts()]
        for successor in self._links.peers(self._read_clocks().monotonic_s):
            is_confirmed, may_have_copy = self._transfer(
                successor, parts, deadline_at
            )
            if is_confirmed:
                self._set_successor(self._incarnation, successor)
                self._logger.notice(f"Ledgers handed over. peer={successor}")
                return successor
            if may_have_copy:
                self._set_successor(self._incarnation, successor)
                self._logger.warning(
                    f"Handover not confirmed. successor={successor}"
                )
                return ""
        for ledger in self._ledgers():
            ledger.is_frozen = False
        self._logger.warning("Handover failed. No peer accepted the ledgers.")
        return ""

    def _new_parts(self) -> Iterator[dict[str, Any]]:
        now = self._read_clocks()
        ledgers = {self._incarnation: self._own_ledger, **self._inherited}
        batches: list[tuple[str, list[dict[str, Any]]]] = []
        for incarnation, ledger in ledgers.items():
            batches += [(incarnation, batch) for batch in _batches(ledger, now)]
        for number, (incarnation, batch) in enumerate(batches):
            yield {
                "part": number,
                "parts": len(batches),
                "of": incarnation,
                "all_of": [*ledgers],
                "total": sum(len(ledger) for ledger in ledgers.values()),
                "entries": batch,
            }

    def _transfer(
        self, successor: str, parts: list[dict[str, Any]], deadline_at: float
    ) -> tuple[bool, bool]:
        """Sends the parts to a peer.

        Returns:
            Whether the peer confirmed all parts, and whether it may have a
            copy.
        """
        may_have_copy = False
        for part in parts:
            while True:
                try:
                    reply = self._links.request(
                        successor, HANDOVER, part, REQUEST_TIMEOUT_S
                    )
                except errors.SavorysparError as exc:
                    may_have_copy |= getattr(exc, "has_sent", True)
                    if self._read_clocks().monotonic_s >= deadline_at:
                        return False, may_have_copy
                    if not may_have_copy:
                        return False, False
                    eventlet.sleep(RETRY_S)
                    continue
                if not reply.get("is_accepted"):
                    return False, False
                may_have_copy = True
                break
        return True, True

    def _serve_handover(
        self, sender: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        if sender in self._inherited:
            return {"is_accepted": True}
        inherited_entries = sum(
            len(ledger) for ledger in self._inherited.values()
        )
        is_full = inherited_entries + body["total"] > MAX_INHERITED_ENTRIES
        if (
            self._own_ledger.is_closed
            or is_full
            or sender in self._rejected_senders
        ):
            # The rejection is permanent: the sender now tries another peer.
            self._rejected_senders.add(sender)
            self._received_parts.pop(sender, None)
            return {"is_accepted": False}
        received = self._received_parts.setdefault(sender, {})
        received[body["part"]] = body
        if len(received) == body["parts"]:
            self._inherit(sender, received, body["all_of"])
        return {"is_accepted": True}

    def _inherit(
        self, sender: str, received: dict[int, Any], incarnations: list[str]
    ) -> None:
        now = self._read_clocks()
        self._drop_expired_ledgers(now)
        del self._received_parts[sender]
        for incarnation in incarnations:
            self._inherited[incarnation] = self._own_ledger.new_inherited()
        for part in received.values():
            for message in part["entries"]:
                self._inherited[part["of"]].add(
                    entry_lib.from_message(message, now)
                )
        for incarnation in incarnations:
            self._links.broadcast(
                SUCCESSOR, {"of": incarnation, "successor": self._incarnation}
            )
        self._logger.notice(f"Ledgers inherited. of={','.join(incarnations)}")

    def _drop_expired_ledgers(self, now: clocks.ClockReading) -> None:
        self._inherited = {
            incarnation: ledger
            for incarnation, ledger in self._inherited.items()
            if not all(entry.is_expired(now) for entry in ledger.entries())
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
    ledger: ledger_lib.Ledger, now: clocks.ClockReading
) -> Iterator[list[dict[str, Any]]]:
    batch: list[dict[str, Any]] = []
    size = 0
    for entry in ledger.entries():
        batch.append(entry.to_message(now))
        size += ENTRY_BYTES + len(entry.output or b"")
        if size >= PART_BYTES:
            yield batch
            batch, size = [], 0
    yield batch
