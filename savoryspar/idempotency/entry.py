"""The record of one ticket in a ledger."""

import enum
import json
from typing import Any

from eventlet import event

from savoryspar.idempotency import answer, clocks

MAX_HANDOVER_RESULT_BYTES = 200_000
"""A larger result is not handed over; its entry still says ``complete``."""


class State(enum.Enum):
    """What has happened to an order."""

    ISSUED = "issued"
    RUNNING = "running"
    COMPLETE = "complete"
    UNKNOWN = "unknown"


class Entry:
    """One ticket.

    Attributes:
        nonce, workspace, pipeline: Of the ticket.
        expires_wall_s, expires_monotonic_s: Expiry by either clock.
        state: What has happened.
        is_void: Whether it must never run (again), whatever a clock says.
        digest: Digest of the body that it was first sent with, or empty.
        output: Encoded output of a complete order, None when evicted.
        generation: How often a caller was told that the order did not run. A
            message from before is stale and never starts a run.
        done: Sent with the ``Answer`` when the run in progress ends.
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

    def is_expired(self, moment: clocks.ClockReading) -> bool:
        """Tells whether either clock has reached the expiry."""
        return (
            moment.wall_s >= self.expires_wall_s
            or moment.monotonic_s >= self.expires_monotonic_s
        )

    def known_answer(self, ticket: str) -> answer.Answer:
        """Returns what is known of the order now."""
        return _KNOWN[self.state](self, ticket)

    def to_message(self, moment: clocks.ClockReading) -> dict[str, Any]:
        """Returns the entry for a hand-over.

        A run in progress is handed over as unknown.
        """
        is_running = self.state is State.RUNNING
        is_small = len(self.output or b"") <= MAX_HANDOVER_RESULT_BYTES
        return {
            "nonce": self.nonce,
            "workspace": self.workspace,
            "pipeline": self.pipeline,
            "expires_wall_s": self.expires_wall_s,
            "remaining_s": self.expires_monotonic_s - moment.monotonic_s,
            "state": (State.UNKNOWN if is_running else self.state).value,
            "is_void": self.is_void or self.is_expired(moment),
            "digest": self.digest,
            "output": self.output if is_small else None,
            "generation": self.generation,
        }


def from_message(message: dict[str, Any], moment: clocks.ClockReading) -> Entry:
    """Returns the entry of a hand-over; raises ``KeyError``, ``ValueError``."""
    entry = Entry(
        message["nonce"],
        message["workspace"],
        message["pipeline"],
        message["expires_wall_s"],
        moment.monotonic_s + message["remaining_s"],
    )
    entry.state = State(message["state"])
    entry.is_void = message["is_void"]
    entry.digest = message["digest"]
    entry.output = message["output"]
    entry.generation = message["generation"]
    return entry


def _issued(entry: Entry, ticket: str) -> answer.Answer:
    if not entry.is_void:
        return answer.not_run(
            "ticket_unused",
            503,
            "the order has not run so far",
            "send it with its ticket",
        )
    found = answer.not_run(
        "ticket_expired",
        410,
        "the ticket has expired and the order never ran",
        "get a new ticket from POST /v1/tickets",
    )
    found.is_final = True
    return found


def _running(entry: Entry, ticket: str) -> answer.Answer:
    return answer.unknown("the order is still running", ticket)


def _unknown(entry: Entry, ticket: str) -> answer.Answer:
    found = answer.unknown(
        "the order was sent to a backend server, which gave no answer", ticket
    )
    found.remedy = "ask the service that runs the order; it is not run again"
    found.retry_after_s = None
    found.is_final = True
    return found


def _complete(entry: Entry, ticket: str) -> answer.Answer:
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


_KNOWN = {
    State.ISSUED: _issued,
    State.RUNNING: _running,
    State.UNKNOWN: _unknown,
    State.COMPLETE: _complete,
}
