"""What is known of an order, as it is told to its caller."""

import enum
from typing import Any


class RunState(enum.Enum):
    """What is known to have run."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    COMPLETE = "complete"


class Answer:
    """The answer to one send of an order.

    Attributes:
        run_state: What is known to have run.
        output: Output of the last stage, or None.
        kind: Type of the problem, empty for an output.
        status: HTTP status.
        message, remedy: Texts of the problem.
        retry_after_s: When asking again makes sense, or None.
        is_final: Whether the run state cannot change any more.
        generation: Generation of the ticket, only if the message was stale.
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
        """Returns the answer as the body of a message between processes."""
        message = {name: getattr(self, name) for name in self.__slots__}
        return {**message, "run_state": self.run_state.value}


def from_message(message: dict[str, Any]) -> Answer:
    """Returns the answer of a message; raises ``KeyError``, ``ValueError``."""
    fields = {name: message[name] for name in Answer.__slots__}
    return Answer(**{**fields, "run_state": RunState(fields["run_state"])})


def unknown(message: str, ticket: str) -> Answer:
    """Returns the answer when nobody can tell whether the order ran."""
    return Answer(
        RunState.UNKNOWN,
        kind="order_unknown",
        status=503,
        message=message,
        remedy=f"do not send it with a new ticket; ask GET /v1/orders/{ticket}",
        retry_after_s=1.0,
    )


def not_run(
    kind: str,
    status: int,
    message: str,
    remedy: str,
    retry_after_s: float | None = None,
) -> Answer:
    """Returns the answer to a send that did not and will not run."""
    return Answer(
        RunState.NOT_RUN,
        kind=kind,
        status=status,
        message=message,
        remedy=remedy,
        retry_after_s=retry_after_s,
    )
