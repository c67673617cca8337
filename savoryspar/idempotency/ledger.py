"""The ledger of one incarnation's tickets.

The entry of a ticket is added when the ticket is issued. A ticket without an
entry was issued by another incarnation or expired long ago, and is never run.
"""

import collections
from collections.abc import Iterator
import itertools
import json

from eventlet import event

from savoryspar.idempotency import (
    answer,
    clocks,
    exceptions,
)
from savoryspar.idempotency import (
    entry as entry_lib,
)
from savoryspar.idempotency import (
    order as order_lib,
)
from savoryspar.idempotency import (
    ticket as ticket_lib,
)

State = entry_lib.State
INHERITED_RESULT_DIVISOR = 4
"""Inherited results may take a quarter of the bytes of own results."""


class Ledger:
    """Entries by nonce, bounded in number and in bytes of results.

    Attributes:
        is_closed: Whether no further order may be started.
        is_frozen: Whether a successor may have a copy of the ledger, so that
            this ledger may only report states that are final.
    """

    __slots__ = (
        "_entries",
        "_entries_with_result",
        "_max_entries",
        "_max_per_workspace",
        "_max_result_bytes",
        "_result_bytes",
        "_tickets_by_key",
        "_workspace_counts",
        "is_closed",
        "is_frozen",
    )

    def __init__(
        self, max_entries: int, max_per_workspace: int, max_result_bytes: int
    ):
        self._max_entries = max_entries
        self._max_per_workspace = max_per_workspace
        self._max_result_bytes = max_result_bytes
        self._entries: dict[str, entry_lib.Entry] = {}
        self._workspace_counts: collections.Counter[str] = collections.Counter()
        self._tickets_by_key: dict[tuple[str, str, str], str] = {}
        self._entries_with_result: dict[str, entry_lib.Entry] = {}
        self._result_bytes = 0
        self.is_closed = False
        self.is_frozen = False

    def new_inherited(self) -> "Ledger":
        """Returns an empty ledger, of smaller capacity, for a handover."""
        return Ledger(
            self._max_entries,
            self._max_per_workspace,
            self._max_result_bytes // INHERITED_RESULT_DIVISOR,
        )

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def result_bytes(self) -> int:
        """Total size of the stored results."""
        return self._result_bytes

    def entries(self) -> Iterator[entry_lib.Entry]:
        """Returns the entries in the order of their issue."""
        return iter(tuple(self._entries.values()))

    def find(self, nonce: str) -> entry_lib.Entry | None:
        """Returns the entry of a ticket, or None."""
        return self._entries.get(nonce)

    def ticket_for_key(
        self,
        workspace: str,
        pipeline: str,
        key_digest: str,
        now: clocks.ClockReading,
    ) -> str:
        """Returns the text of the valid ticket bound to the key, or empty."""
        text, nonce = self._tickets_by_key.get(
            (workspace, pipeline, key_digest), ("", "")
        )
        entry = self._entries.get(nonce)
        if entry is None or entry.is_void or entry.is_expired(now):
            return ""
        return text

    def check_capacity(self, workspace: str, now: clocks.ClockReading) -> None:
        """Checks that a ticket can be added; drops expired entries if needed.

        Raises:
            LedgerFullError: The ledger or the workspace's share of it is full.
        """
        if len(self._entries) >= self._max_entries:
            self._drop_expired(now)
        oldest = next(iter(self._entries.values()), None)
        if len(self._entries) >= self._max_entries:
            reason = f"the ledger of {self._max_entries} tickets is full"
        elif self._workspace_counts[workspace] >= self._max_per_workspace:
            self._drop_expired(now)
            if self._workspace_counts[workspace] < self._max_per_workspace:
                return
            reason = (
                f"workspace {workspace!r} holds {self._max_per_workspace}"
                " tickets that have not expired"
            )
        else:
            return
        raise exceptions.LedgerFullError(
            reason,
            "retry later, or on another entry VM",
            max(1.0, oldest.expires_wall_s - now.wall_s),
        )

    def add_ticket(
        self, ticket: ticket_lib.Ticket, now: clocks.ClockReading
    ) -> None:
        """Adds the entry of a new ticket, after ``check_capacity``."""
        self.add(
            entry_lib.Entry(
                ticket.nonce,
                ticket.workspace,
                ticket.pipeline,
                ticket.expires_at,
                now.monotonic_s + ticket.expires_at - now.wall_s,
            )
        )
        if ticket.key_digest:
            key = (ticket.workspace, ticket.pipeline, ticket.key_digest)
            self._tickets_by_key[key] = (ticket.text, ticket.nonce)

    def add(self, entry: entry_lib.Entry) -> None:
        """Adds the entry of a new ticket or of a handover."""
        self._entries[entry.nonce] = entry
        self._workspace_counts[entry.workspace] += 1
        if entry.output is not None:
            self._store_result(entry)

    def begin(
        self,
        entry: entry_lib.Entry,
        order: order_lib.Order,
        now: clocks.ClockReading,
        generation: int | None,
    ) -> answer.Answer | None:
        """Marks the order as running, or joins the run in progress.

        The check and the state change run without a switch of green
        threads, so two attempts never start two runs.

        Args:
            entry: The entry of the ticket.
            order: The order as sent.
            now: The current time.
            generation: Generation for which a forwarded message was sent, or
                None for an attempt received directly from the caller. A
                delayed or duplicated message may arrive after this or another
                attempt was answered ``not_run``.

        Returns:
            The answer if the order must not be started or joined, else None;
            ``entry.done`` then delivers the answer.
        """
        digest = order.digest()
        if entry.digest not in ("", digest):
            return _mismatch_answer(
                "the body or pipeline differs from the first attempt"
            )
        if entry.state is State.RUNNING:
            return None
        if entry.state is not State.ISSUED or self.is_frozen:
            return self.current_answer(entry, order.ticket)
        # Stored, so that the ticket stays void if a clock is set back.
        entry.is_void |= entry.is_expired(now)
        if entry.is_void:
            return entry.current_answer(order.ticket)
        if generation not in (None, entry.generation):
            return _stale_answer(entry.generation)
        if self.is_closed:
            entry.generation += 1
            return _closed_answer()
        entry.digest = digest
        entry.state = State.RUNNING
        entry.done = event.Event()
        return None

    def current_answer(
        self, entry: entry_lib.Entry, ticket: str
    ) -> answer.Answer:
        """Returns the answer for the current state of the order."""
        if self.is_frozen and entry.state is State.ISSUED:
            return answer.unknown("the order is being handed over", ticket)
        return entry.current_answer(ticket)

    def finish(self, entry: entry_lib.Entry, result: answer.Answer) -> None:
        """Records the result of the run and answers all waiting attempts."""
        if result.run_state is answer.RunState.NOT_RUN:
            entry.state = State.ISSUED
            entry.generation += 1
        elif result.run_state is answer.RunState.COMPLETE:
            entry.state = State.COMPLETE
            entry.output = json.dumps(result.output).encode()
            self._store_result(entry)
        else:
            entry.state = State.UNKNOWN
        done, entry.done = entry.done, None
        done.send(result)

    def _store_result(self, entry: entry_lib.Entry) -> None:
        # Evicts the oldest results; their entries remain ``complete``.
        self._entries_with_result[entry.nonce] = entry
        self._result_bytes += len(entry.output)
        while self._result_bytes > self._max_result_bytes:
            self._evict_result(next(iter(self._entries_with_result.values())))

    def _evict_result(self, entry: entry_lib.Entry) -> None:
        if self._entries_with_result.pop(entry.nonce, None) is not None:
            self._result_bytes -= len(entry.output)
            entry.output = None

    def _drop_expired(self, now: clocks.ClockReading) -> None:
        # All tickets have the same lifetime, so they expire in order of issue.
        expired = [
            entry
            for entry in itertools.takewhile(
                lambda entry: entry.is_expired(now), self._entries.values()
            )
            if entry.state is not State.RUNNING
        ]
        for entry in expired:
            self._evict_result(entry)
            del self._entries[entry.nonce]
            self._workspace_counts[entry.workspace] -= 1
        if expired:
            self._workspace_counts = +self._workspace_counts
            self._tickets_by_key = {
                key: (text, nonce)
                for key, (text, nonce) in self._tickets_by_key.items()
                if nonce in self._entries
            }


def _mismatch_answer(message: str) -> answer.Answer:
    return answer.not_run(
        "ticket_mismatch",
        422,
        message,
        "retry with the same order, or get a new ticket for this one",
    )


def _closed_answer() -> answer.Answer:
    return answer.not_run(
        "draining",
        503,
        "the entry VM that may run the order is shutting down",
        "send it again with the same ticket",
        retry_after_s=1.0,
    )


def _stale_answer(generation: int) -> answer.Answer:
    result = answer.not_run(
        "ticket_unused",
        503,
        "another attempt to send the order was rejected in the meantime",
        "send it again with the same ticket",
        retry_after_s=1.0,
    )
    result.generation = generation
    return result


def check_binding(
    ticket: ticket_lib.Ticket, order: order_lib.Order
) -> answer.Answer | None:
    """Returns the error if the ticket is not valid for the order, or None."""
    if ticket.pipeline != order.pipeline:
        return _mismatch_answer(
            f"the ticket is for pipeline {ticket.pipeline!r}"
        )
    if ticket.key_digest and ticket.key_digest != order.key_digest:
        return _mismatch_answer(
            "the ticket is bound to another Idempotency-Key"
        )
    return None


def new_ledger(
    max_entries: int, workspace_percent: float, max_result_bytes: int
) -> Ledger:
    """Returns an empty ledger."""
    per_workspace = max(1, int(max_entries * workspace_percent / 100.0))
    return Ledger(max_entries, per_workspace, max_result_bytes)
