"""The ledger of one incarnation's tickets.

A ticket has an entry from its issue on, so a ticket without an entry was
issued by somebody else or is long expired; it is never run.
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
SIBLING_RESULT_DIVISOR = 4
"""Inherited results get a quarter of the room that own results have."""


class Ledger:
    """Entries by nonce, bounded in number and in bytes of results.

    Attributes:
        is_closed: Whether no order may begin any more.
        is_frozen: Whether a successor may hold a copy, so that nothing that
            can still change may be told from here.
    """

    __slots__ = (
        "_by_key",
        "_entries",
        "_held",
        "_max_entries",
        "_max_per_workspace",
        "_max_result_bytes",
        "_result_bytes",
        "_with_result",
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
        self._held: collections.Counter[str] = collections.Counter()
        self._by_key: dict[tuple[str, str, str], str] = {}
        self._with_result: dict[str, entry_lib.Entry] = {}
        self._result_bytes = 0
        self.is_closed = False
        self.is_frozen = False

    def new_sibling(self) -> "Ledger":
        """Returns an empty ledger for a hand-over, with less room."""
        return Ledger(
            self._max_entries,
            self._max_per_workspace,
            self._max_result_bytes // SIBLING_RESULT_DIVISOR,
        )

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def result_bytes(self) -> int:
        """Bytes of the results that are kept."""
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
        moment: clocks.ClockReading,
    ) -> str:
        """Returns the text of the live ticket bound to the key, or empty."""
        text, nonce = self._by_key.get(
            (workspace, pipeline, key_digest), ("", "")
        )
        found = self._entries.get(nonce)
        if found is None or found.is_void or found.is_expired(moment):
            return ""
        return text

    def check_room(self, workspace: str, moment: clocks.ClockReading) -> None:
        """Drops entries that are not needed.

        Raises:
            LedgerFullError: There is no room for another ticket.
        """
        if len(self._entries) >= self._max_entries:
            self._drop_expired(moment)
        oldest = next(iter(self._entries.values()), None)
        if len(self._entries) >= self._max_entries:
            reason = f"the ledger of {self._max_entries} tickets is full"
        elif self._held[workspace] >= self._max_per_workspace:
            self._drop_expired(moment)
            if self._held[workspace] < self._max_per_workspace:
                return
            reason = (
                f"workspace {workspace!r} holds {self._max_per_workspace}"
                " tickets that have not expired"
            )
        else:
            return
        raise exceptions.LedgerFullError(
            reason,
            "ask again later, or on another entry VM",
            max(1.0, oldest.expires_wall_s - moment.wall_s),
        )

    def reserve(
        self, ticket: ticket_lib.Ticket, moment: clocks.ClockReading
    ) -> None:
        """Adds the entry of a new ticket, after ``check_room``."""
        self.install(
            entry_lib.Entry(
                ticket.nonce,
                ticket.workspace,
                ticket.pipeline,
                ticket.expires_at,
                moment.monotonic_s + ticket.expires_at - moment.wall_s,
            )
        )
        if ticket.key_digest:
            key = (ticket.workspace, ticket.pipeline, ticket.key_digest)
            self._by_key[key] = (ticket.text, ticket.nonce)

    def install(self, added: entry_lib.Entry) -> None:
        """Adds an entry of a new ticket or of a hand-over."""
        self._entries[added.nonce] = added
        self._held[added.workspace] += 1
        if added.output is not None:
            self._keep_result(added)

    def begin(
        self,
        found: entry_lib.Entry,
        order: order_lib.Order,
        moment: clocks.ClockReading,
        generation: int | None,
    ) -> answer.Answer | None:
        """Marks the order as running, or joins the run in progress.

        Nothing else runs between the check and the mark, so that two sends
        never start two runs.

        Args:
            found: The entry of the ticket.
            order: The send.
            moment: The current time.
            generation: Generation that a forwarded message was sent for, None
                for a send that comes from its caller now. A message that was
                delayed or doubled may arrive after its caller, or another
                send, was told that the order did not run.

        Returns:
            The answer if the order is not to be started or joined, else None;
            ``found.done`` is then sent with the answer.
        """
        digest = order.digest()
        if found.digest not in ("", digest):
            return _mismatch("the body or pipeline differs from the first send")
        if found.state is State.RUNNING:
            return None
        if found.state is not State.ISSUED or self.is_frozen:
            return self.known_answer(found, order.ticket)
        # Latched: the ticket stays void if a clock is set back.
        found.is_void |= found.is_expired(moment)
        if found.is_void:
            return found.known_answer(order.ticket)
        if generation not in (None, found.generation):
            return _stale(found.generation)
        if self.is_closed:
            found.generation += 1
            return _closed()
        found.digest = digest
        found.state = State.RUNNING
        found.done = event.Event()
        return None

    def known_answer(
        self, found: entry_lib.Entry, ticket: str
    ) -> answer.Answer:
        """Returns what is known of the order now."""
        if self.is_frozen and found.state is State.ISSUED:
            return answer.unknown("the order is being handed over", ticket)
        return found.known_answer(ticket)

    def finish(self, found: entry_lib.Entry, result: answer.Answer) -> None:
        """Records how the run ended and answers every send that waits."""
        if result.run_state is answer.RunState.NOT_RUN:
            found.state = State.ISSUED
            found.generation += 1
        elif result.run_state is answer.RunState.COMPLETE:
            found.state = State.COMPLETE
            found.output = json.dumps(result.output).encode()
            self._keep_result(found)
        else:
            found.state = State.UNKNOWN
        done, found.done = found.done, None
        done.send(result)

    def _keep_result(self, found: entry_lib.Entry) -> None:
        # The oldest result goes first; its entry still says that the order
        # ran.
        self._with_result[found.nonce] = found
        self._result_bytes += len(found.output)
        while self._result_bytes > self._max_result_bytes:
            self._drop_result(next(iter(self._with_result.values())))

    def _drop_result(self, found: entry_lib.Entry) -> None:
        if self._with_result.pop(found.nonce, None) is not None:
            self._result_bytes -= len(found.output)
            found.output = None

    def _drop_expired(self, moment: clocks.ClockReading) -> None:
        # All tickets live equally long, so they expire in order of issue.
        expired = [
            found
            for found in itertools.takewhile(
                lambda found: found.is_expired(moment), self._entries.values()
            )
            if found.state is not State.RUNNING
        ]
        for found in expired:
            self._drop_result(found)
            del self._entries[found.nonce]
            self._held[found.workspace] -= 1
        if expired:
            self._held = +self._held
            self._by_key = {
                key: (text, nonce)
                for key, (text, nonce) in self._by_key.items()
                if nonce in self._entries
            }


def _mismatch(message: str) -> answer.Answer:
    return answer.not_run(
        "ticket_mismatch",
        422,
        message,
        "resend the order unchanged, or get a ticket of its own for it",
    )


def _closed() -> answer.Answer:
    return answer.not_run(
        "draining",
        503,
        "the entry VM that may run the order is leaving",
        "send it again with the same ticket",
        retry_after_s=1.0,
    )


def _stale(generation: int) -> answer.Answer:
    found = answer.not_run(
        "ticket_unused",
        503,
        "another send of the order was refused in the meantime",
        "send it again with the same ticket",
        retry_after_s=1.0,
    )
    found.generation = generation
    return found


def check_binding(
    ticket: ticket_lib.Ticket, order: order_lib.Order
) -> answer.Answer | None:
    """Returns the refusal of an order that its ticket is not for, or None."""
    if ticket.pipeline != order.pipeline:
        return _mismatch(f"the ticket is for pipeline {ticket.pipeline!r}")
    if ticket.key_digest and ticket.key_digest != order.key_digest:
        return _mismatch("the ticket is bound to another Idempotency-Key")
    return None


def new_ledger(
    max_entries: int, workspace_percent: float, max_result_bytes: int
) -> Ledger:
    """Returns an empty ledger."""
    per_workspace = max(1, int(max_entries * workspace_percent / 100.0))
    return Ledger(max_entries, per_workspace, max_result_bytes)
