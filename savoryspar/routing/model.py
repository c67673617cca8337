"""What the router is asked, what it chose and how the call ended."""

from collections.abc import Sequence
import enum
from typing import Any

from savoryspar import backends


class Call:
    """A stage that needs a backend server.

    Attributes:
        request_id: Request that it belongs to.
        workspace, rank, stage: For the decision line.
        pool: Pool that runs it.
        model: Model for an engine pool, else empty.
        prompt: Prompt text for prefix affinity, else empty.
        blocks: Hashes of the prompt's blocks, where they are known already.
        prompt_tokens: Length of the prompt, 0 when it is not known.
        zone: Availability zone whose servers alone may take it, or empty.
        excluded: Names of servers that already failed this stage.
        size_bytes: Bytes that the call and its answer are expected to take.
        is_idempotent: Whether the stage may be repeated.
        is_alone: Whether no other call may be at its server.
    """

    __slots__ = (
        "blocks",
        "excluded",
        "is_alone",
        "is_idempotent",
        "model",
        "pool",
        "prompt",
        "prompt_tokens",
        "rank",
        "request_id",
        "size_bytes",
        "stage",
        "workspace",
        "zone",
    )

    def __init__(
        self,
        request_id: str,
        workspace: str,
        rank: str,
        stage: str,
        pool: str,
        model: str,
        prompt: str,
        excluded: frozenset[str],
        size_bytes: int = 0,
        is_idempotent: bool = False,
        is_alone: bool = False,
        blocks: Sequence[int] = (),
        prompt_tokens: int = 0,
        zone: str = "",
    ):
        self.blocks = blocks
        self.prompt_tokens = prompt_tokens
        self.zone = zone
        self.request_id = request_id
        self.workspace = workspace
        self.rank = rank
        self.stage = stage
        self.pool = pool
        self.model = model
        self.prompt = prompt
        self.excluded = excluded
        self.size_bytes = size_bytes
        self.is_idempotent = is_idempotent
        self.is_alone = is_alone


class Choice:
    """A server chosen for a call.

    Attributes:
        server: The backend server.
        call: The call it was chosen for.
        chosen_at: Monotonic time in seconds.
        answer_started_at: When the answer began, None while or when that is not known.
        prefill_s: Expected time to read the prompt, 0 when it is not known.
        expected_s: Expected time until the answer begins, 0 when not known.
        reason: Why it was chosen.
        is_probe: Whether the call probes a server that was taken out.
        is_settled: Whether the server had not crashed just before.
        state: What the router knows of the server; only for the router.
    """

    __slots__ = (
        "answer_started_at",
        "call",
        "chosen_at",
        "expected_s",
        "is_probe",
        "is_settled",
        "prefill_s",
        "reason",
        "server",
        "state",
    )

    def __init__(
        self,
        server: backends.Server,
        call: Call,
        chosen_at: float,
        is_probe: bool = False,
        state: Any = None,
    ):
        self.server = server
        self.state = state
        self.call = call
        self.chosen_at = chosen_at
        self.is_probe = is_probe
        self.is_settled = state is None or state.is_settled(chosen_at)
        self.answer_started_at: float | None = None
        self.prefill_s = 0.0
        self.reason = ""
        self.expected_s = 0.0

    @property
    def was_alone(self) -> bool:
        """Whether no other own call has been at the server meanwhile.

        A call that must run alone gets a shared server, or one that has just
        crashed under another call, when all are taken out.
        """
        return (
            self.call.is_alone
            and self.state.shared_at < self.chosen_at
            and self.is_settled
        )


class Outcome(enum.Enum):
    """How a call ended."""

    OK = "ok"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    FAILED = "failed"
    CRASHED = "crashed"
    CANCELLED = "cancelled"
