"""Runs orders, forwards them to their owners and reports their state."""

from collections.abc import Callable
import hashlib
import json
from typing import Any

import eventlet

from savoryspar import errors, log
from savoryspar.idempotency import (
    answer as answer_lib,
)
from savoryspar.idempotency import (
    clocks,
    exceptions,
    handover,
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
from savoryspar.idempotency import (
    order as order_lib,
)
from savoryspar.idempotency import (
    ticket as ticket_lib,
)

Answer = answer_lib.Answer
Guard = Callable[[], None]
"""Raises ``TicketExpiredError`` if the order must no longer be started."""
Execute = Callable[[order_lib.Order, ticket_lib.Ticket, Guard], Answer]
"""Runs an order; calls the guard right before the first byte is sent."""

RUN = "order_run"
STATE = "order_state"
MAX_HOPS = 4
"""Times that one order may be forwarded along a chain of handovers."""
REPLY_MARGIN_S = 0.05
"""Part of the caller's timeout reserved for the transfer of the reply."""
SHUTDOWN_POLL_S = 0.02
MAX_REPLY_BYTES = 524_288
"""Half of the default [membership] max_frame_bytes."""


class TicketExpiredError(exceptions.OrderError):
    """The ticket expired before the first byte of the order was sent."""


class OrderService:
    """Order service of one process, created by ``new_order_service``.

    Attributes:
        ledger: Ledger of the tickets issued by this process.
        successors: Inherited ledgers and known successors.
    """

    __slots__ = (
        "_execute",
        "_incarnation",
        "_links",
        "_logger",
        "_read_clocks",
        "_signer",
        "ledger",
        "successors",
    )

    def __init__(
        self,
        incarnation: str,
        signer: ticket_lib.TicketSigner,
        ledger: ledger_lib.Ledger,
        links: links_lib.Links,
        execute: Execute,
        read_clocks: Callable[[], clocks.ClockReading],
    ):
        self._incarnation = incarnation
        self._signer = signer
        self.ledger = ledger
        self._links = links
        self._execute = execute
        self._read_clocks = read_clocks
        self.successors = handover.Successors(
            incarnation, ledger, links, read_clocks
        )
        self._logger = log.new_logger("idempotency")
        links.handle(RUN, self._serve_run)
        links.handle(STATE, self._serve_state)

    def issue(
        self, workspace: str, pipeline: str, idempotency_key: str = ""
    ) -> ticket_lib.Ticket:
        """Returns a ticket for an order that only this process may run.

        The same Idempotency-Key yields the same ticket until it expires.

        Raises:
            LedgerFullError: No ticket can be issued at present.
        """
        now = self._read_clocks()
        digest = key_digest(idempotency_key)
        if digest:
            text = self.ledger.ticket_for_key(workspace, pipeline, digest, now)
            if text:
                return self._signer.verify(text)
        if self.ledger.is_closed:
            raise exceptions.LedgerFullError(
                "this entry VM is shutting down", "use another entry VM", 1.0
            )
        self.ledger.check_capacity(workspace, now)
        ticket = self._signer.issue(
            self._incarnation, workspace, pipeline, digest, now
        )
        self.ledger.add_ticket(ticket, now)
        return ticket

    def run(self, order: order_lib.Order) -> Answer:
        """Runs the order at most once across all processes.

        Raises:
            TicketError: The ticket is forged or of another workspace.
        """
        ticket = self._verify(order.ticket, order.workspace)
        refusal = ledger_lib.check_binding(ticket, order)
        if refusal is not None:
            return refusal
        started_at = self._read_clocks().monotonic_s
        answer = self._dispatch(ticket, order, MAX_HOPS, None)
        if answer.generation is not None:
            # The owner rejected the message of generation 0 as stale. This
            # attempt is more recent, so it is sent again with the owner's
            # generation.
            order.timeout_s -= self._read_clocks().monotonic_s - started_at
            answer = self._dispatch(ticket, order, MAX_HOPS, answer.generation)
        return answer

    def state(self, text: str, workspace: str, timeout_s: float) -> Answer:
        """Returns the current state of an order.

        Raises:
            TicketError: The ticket is forged or of another workspace.
        """
        ticket = self._verify(text, workspace)
        return self._state(ticket, timeout_s, MAX_HOPS)

    def shut_down(self, timeout_s: float) -> str:
        """Closes the ledgers, awaits running orders and hands over to a peer.

        Returns:
            The successor's incarnation, or empty if no peer confirmed.
        """
        started_at = self._read_clocks().monotonic_s
        self.successors.close()
        while self.successors.is_running:
            if self._read_clocks().monotonic_s >= started_at + timeout_s:
                break
            eventlet.sleep(SHUTDOWN_POLL_S)
        return self.successors.hand_over(timeout_s)

    def _verify(self, text: str, workspace: str) -> ticket_lib.Ticket:
        ticket = self._signer.verify(text)
        if ticket.workspace != workspace:
            raise exceptions.TicketError
        return ticket

    def _dispatch(
        self,
        ticket: ticket_lib.Ticket,
        order: order_lib.Order,
        hops: int,
        generation: int | None,
    ) -> Answer:
        ledger = self.successors.ledger_of(ticket.incarnation)
        if ledger is not None:
            return self._run_here(ledger, ticket, order, generation)
        body = {
            "order": order.to_message(),
            "hops": hops - 1,
            "generation": generation or 0,
        }
        timeout_s = max(REPLY_MARGIN_S, order.timeout_s - REPLY_MARGIN_S)
        return self._request_owner(ticket, RUN, body, timeout_s, hops)

    def _state(
        self, ticket: ticket_lib.Ticket, timeout_s: float, hops: int
    ) -> Answer:
        ledger = self.successors.ledger_of(ticket.incarnation)
        if ledger is None:
            body = {
                "ticket": ticket.text,
                "timeout_s": timeout_s,
                "hops": hops - 1,
            }
            return self._request_owner(ticket, STATE, body, timeout_s, hops)
        entry = ledger.find(ticket.nonce)
        if entry is None:
            return _missing_entry_answer(ticket)
        if entry.state is entry_lib.State.ISSUED:
            entry.is_void |= entry.is_expired(self._read_clocks())
        answer = ledger.current_answer(entry, ticket.text)
        if answer.run_state is answer_lib.RunState.NOT_RUN:
            entry.generation += 1
        return answer

    def _request_owner(
        self,
        ticket: ticket_lib.Ticket,
        kind: str,
        body: dict[str, Any],
        timeout_s: float,
        hops: int,
    ) -> Answer:
        owner = self.successors.owner_of(ticket.incarnation)
        if not self._links.is_live(owner, self._read_clocks().monotonic_s):
            self.successors.look_up(owner)
            owner = self.successors.owner_of(owner)
        if hops <= 0 or owner == self._incarnation:
            return answer_lib.unknown(
                "no process was found that owns the ticket",
                ticket.text,
            )
        try:
            reply = self._links.request(owner, kind, body, timeout_s)
            return answer_lib.from_message(reply)
        except errors.SavorysparError as exc:
            # Even if no byte of this attempt was sent, an earlier one may have
            # run.
            self._logger.warning(
                f"Owner did not reply. order={ticket.nonce} owner={owner} {exc}"
            )
        except (KeyError, TypeError, ValueError) as exc:
            self._logger.error(
                f"Reply is malformed. order={ticket.nonce} owner={owner}"
                f" {exc!r}"
            )
        return answer_lib.unknown(
            f"the owner {owner} of the ticket did not reply", ticket.text
        )

    def _run_here(
        self,
        ledger: ledger_lib.Ledger,
        ticket: ticket_lib.Ticket,
        order: order_lib.Order,
        generation: int | None,
    ) -> Answer:
        entry = ledger.find(ticket.nonce)
        if entry is None:
            return _missing_entry_answer(ticket)
        is_first = entry.state is entry_lib.State.ISSUED
        answer = ledger.begin(entry, order, self._read_clocks(), generation)
        if answer is not None:
            return answer
        done = entry.done
        if is_first:
            # In a separate green thread: a started order continues if its
            # caller disconnects, and a retry gets the result.
            eventlet.spawn(self._run, ledger, entry, ticket, order)
        with eventlet.Timeout(max(0.0, order.timeout_s), False):
            return done.wait()
        return ledger.current_answer(entry, ticket.text)

    def _run(
        self,
        ledger: ledger_lib.Ledger,
        entry: entry_lib.Entry,
        ticket: ticket_lib.Ticket,
        order: order_lib.Order,
    ) -> None:
        result = answer_lib.unknown("the run was interrupted", ticket.text)
        try:
            result = self._execute(order, ticket, self._new_guard(entry))
        except TicketExpiredError as exc:
            entry.is_void = True
            result = answer_lib.not_run(
                "ticket_expired", 410, exc.message, exc.remedy
            )
        except Exception as exc:
            self._logger.error(f"Run failed. order={ticket.nonce} {exc!r}")
        finally:
            ledger.finish(entry, result)
        self._logger.info(
            f"Run ended. order={ticket.nonce} state={result.run_state.value}"
        )

    def _new_guard(self, entry: entry_lib.Entry) -> Guard:
        def guard() -> None:
            if entry.is_expired(self._read_clocks()):
                raise TicketExpiredError(
                    "the ticket expired before the order was sent",
                    "get a new ticket from POST /v1/tickets",
                )

        return guard

    def _serve_run(self, sender: str, body: dict[str, Any]) -> dict[str, Any]:
        del sender
        order = order_lib.from_message(body["order"])
        try:
            ticket = self._verify(order.ticket, order.workspace)
        except exceptions.TicketError as exc:
            # The keys of the two processes may differ during a key rotation.
            return answer_lib.unknown(exc.message, order.ticket).to_message()
        answer = self._dispatch(ticket, order, body["hops"], body["generation"])
        return _fit_frame(answer).to_message()

    def _serve_state(self, sender: str, body: dict[str, Any]) -> dict[str, Any]:
        del sender
        try:
            ticket = self._signer.verify(body["ticket"])
        except exceptions.TicketError as exc:
            return answer_lib.unknown(exc.message, body["ticket"]).to_message()
        answer = self._state(ticket, body["timeout_s"], body["hops"])
        return _fit_frame(answer).to_message()


def _fit_frame(answer: Answer) -> Answer:
    """Returns the answer, without its output if too large for a frame."""
    if answer.output is None:
        return answer
    size = len(json.dumps(answer.output))
    if size <= MAX_REPLY_BYTES:
        return answer
    return Answer(
        answer.run_state,
        kind="result_evicted",
        status=410,
        message=f"the order ran once; its result of {size} bytes exceeds"
        f" the limit of messages between entry VMs, {MAX_REPLY_BYTES}",
        remedy="read the result from the service that ran the order",
        is_final=True,
    )


def _missing_entry_answer(ticket: ticket_lib.Ticket) -> Answer:
    return answer_lib.unknown(
        "the ticket expired long ago and its entry was dropped", ticket.text
    )


def key_digest(idempotency_key: str) -> str:
    """Returns the SHA-256 of an Idempotency-Key, empty for no key."""
    if not idempotency_key:
        return ""
    return hashlib.sha256(idempotency_key.encode()).hexdigest()


def new_order_service(
    incarnation: str,
    signer: ticket_lib.TicketSigner,
    ledger: ledger_lib.Ledger,
    links: links_lib.Links,
    execute: Execute,
    read_clocks: Callable[[], clocks.ClockReading] = clocks.read_clocks,
) -> OrderService:
    """Returns the order service of a process, registered with its links."""
    return OrderService(
        incarnation, signer, ledger, links, execute, read_clocks
    )
