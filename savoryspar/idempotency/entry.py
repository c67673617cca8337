"""The record of one ticket in a ledger."""

import enum
import json
from typing import Any

from eventlet import event

from savoryspar.idempotency import answer, clocks

MAX_HANDOVER_RESULT_BYTES = 200_000
"""Larger results are not handed over; their entries remain ``complete``."""


class State(enum.Enum):
    """State of an order in its ledger."""

    ISSUED = "issued"
    RUNNING = "running"
    COMPLETE = "complete"
    UNKNOWN = "unknown"


class Entry:
    """Ledger entry of one ticket.

    Attributes:
        nonce, workspace, pipeline: Fields of the ticket.
        expires_wall_s, expires_monotonic_s: Expiry by either clock.
        state: State of the order.
        is_void: Whether the order must never run (again), even if a clock is
            set back to before the expiry.
        digest: Digest of the first order sent with the ticket, or empty.
        output: Encoded output of a complete order, None when evicted.
        generation: Number of answers that reported the order as not run. A
            message sent for an earlier generation is stale and never starts a
            run.
        done: Event that delivers the ``Answer`` when the run in progress ends.
    """

    __slots__ = (
        "digest",
        "done",
        "expires_monotonic_s",
        "expires_wall_s",
        "generation",
        "is_void",
        "nonce",
        "output",
        "pipeline",
        "state",
        "workspace",
    )

    def __init__(
        self,
        nonce: str,
        workspace: str,
        pipeline: str,
        expires_wall_s: float,
        expires_monotonic_s: float,
    ):
        self.nonce = nonce
        self.workspace = workspace
        self.pipeline = pipeline
        self.expires_wall_s = expires_wall_s
        self.expires_monotonic_s = expires_monotonic_s
        self.state = State.ISSUED
        self.is_void = False
        self.digest = ""
        self.output: bytes | None = None
        self.generation = 0
        self.done: event.Event | None = None

    def is_expired(self, now: clocks.ClockReading) -> bool:
        """Returns whether either clock has reached the expiry."""
        return (
            now.wall_s >= self.expires_wall_s
            or now.monotonic_s >= self.expires_monotonic_s
        )

    def current_answer(self, ticket: str) -> answer.Answer:
        """Returns the answer for the current state of the order."""
        return _ANSWERS[self.state](self, ticket)

    def to_message(self, now: clocks.ClockReading) -> dict[str, Any]:
        """Returns the entry as part of a handover message.

        A run in progress is handed over as ``unknown``.
        """
        is_running = self.state is State.RUNNING
        is_small = len(self.output or b"") <= MAX_HANDOVER_RESULT_BYTES
        return {
            "nonce": self.nonce,
            "workspace": self.workspace,
            "pipeline": self.pipeline,
            "expires_wall_s": self.expires_wall_s,
            "remaining_s": self.expires_monotonic_s - now.monotonic_s,
            "state": (State.UNKNOWN if is_running else self.state).value,
            "is_void": self.is_void or self.is_expired(now),
            "digest": self.digest,
            "output": self.output if is_small else None,
            "generation": self.generation,
        }


def from_message(message: dict[str, Any], now: clocks.ClockReading) -> Entry:
    """Decodes a handed-over entry; raises ``KeyError`` or ``ValueError``."""
    entry = Entry(
        message["nonce"],
        message["workspace"],
        message["pipeline"],
        message["expires_wall_s"],
        now.monotonic_s + message["remaining_s"],
    )
    entry.state = State(message["state"])
    entry.is_void = message["is_void"]
    entry.digest = message["digest"]
    entry.output = message["output"]
    entry.generation = message["generation"]
    return entry


def _issued_answer(entry: Entry, ticket: str) -> answer.Answer:
    if not entry.is_void:
        return answer.not_run(
            "ticket_unused",
            503,
            "the order has not run yet",
            "send it with its ticket",
        )
    result = answer.not_run(
        "ticket_expired",
        410,
        "the ticket has expired and the order never ran",
        "get a new ticket from POST /v1/tickets",
    )
    result.is_final = True
    return result


def _running_answer(entry: Entry, ticket: str) -> answer.Answer:
    return answer.unknown("the order is still running", ticket)


def _unknown_answer(entry: Entry, ticket: str) -> answer.Answer:
    result = answer.unknown(
        "the order was sent to a backend server, which did not respond", ticket
    )
    result.remedy = "ask the service that runs the order; it is not run again"
    result.retry_after_s = None
    result.is_final = True
    return result


def _complete_answer(entry: Entry, ticket: str) -> answer.Answer:
    if entry.output is not None:
        return answer.Answer(
            answer.RunState.COMPLETE,
            output=json.loads(entry.output),
            is_final=True,
        )
    return answer.Answer(
        answer.RunState.COMPLETE,
        kind="result_evicted",
        status=410,
        message="the order ran once, but its result is no longer kept",
        remedy="read the result from the service that ran the order",
        is_final=True,
    )


_ANSWERS = {
    State.ISSUED: _issued_answer,
    State.RUNNING: _running_answer,
    State.UNKNOWN: _unknown_answer,
    State.COMPLETE: _complete_answer,
}
