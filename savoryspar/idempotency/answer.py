"""Result of an order, as it is returned to its caller."""

import enum
from typing import Any


class RunState(enum.Enum):
    """Whether an order is known to have run."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    COMPLETE = "complete"


class Answer:
    """The response to one attempt to send an order.

    Attributes:
        run_state: Whether the order is known to have run.
        output: Output of the last stage, or None.
        kind: Type of the problem, empty if there is none.
        status: HTTP status.
        message, remedy: Description of the problem and how to resolve it.
        retry_after_s: Seconds after which the caller may retry, or None.
        is_final: Whether the run state can no longer change.
        generation: Current generation of the ticket if the message was stale,
            else None.
    """

    __slots__ = (
        "generation",
        "is_final",
        "kind",
        "message",
        "output",
        "remedy",
        "retry_after_s",
        "run_state",
        "status",
    )

    def __init__(
        self,
        run_state: RunState,
        output: dict[str, Any] | None = None,
        kind: str = "",
        status: int = 200,
        message: str = "",
        remedy: str = "",
        retry_after_s: float | None = None,
        is_final: bool = False,
        generation: int | None = None,
    ):
        self.run_state = run_state
        self.output = output
        self.kind = kind
        self.status = status
        self.message = message
        self.remedy = remedy
        self.retry_after_s = retry_after_s
        self.is_final = is_final
        self.generation = generation

    def to_message(self) -> dict[str, Any]:
        """Returns the answer as a message to another process."""
        message = {name: getattr(self, name) for name in self.__slots__}
        return {**message, "run_state": self.run_state.value}


def from_message(message: dict[str, Any]) -> Answer:
    """Decodes a message; raises ``KeyError`` or ``ValueError``."""
    fields = {name: message[name] for name in Answer.__slots__}
    return Answer(**{**fields, "run_state": RunState(fields["run_state"])})


def unknown(message: str, ticket: str) -> Answer:
    """Returns the answer for an order that may or may not have run."""
    return Answer(
        RunState.UNKNOWN,
        kind="order_unknown",
        status=503,
        message=message,
        remedy=f"do not send it with a new ticket; use GET /v1/orders/{ticket}",
        retry_after_s=1.0,
    )


def not_run(
    kind: str,
    status: int,
    message: str,
    remedy: str,
    retry_after_s: float | None = None,
) -> Answer:
    """Returns the answer to an attempt that did not and will not run."""
    return Answer(
        RunState.NOT_RUN,
        kind=kind,
        status=status,
        message=message,
        remedy=remedy,
        retry_after_s=retry_after_s,
    )
