"""Calls to route, the chosen servers and the outcomes of the calls."""

from collections.abc import Sequence
import enum
from typing import Any

from savoryspar import backends
from savoryspar.routing import prefill_rates


class Call:
    """A call of a stage that needs a backend server.

    Attributes:
        request_id: ID of the request that the call belongs to.
        workspace, rank, stage: Fields of the decision log line.
        pool: Pool that runs the stage.
        model: Model for an engine pool, else empty.
        prompt: Prompt text for prefix affinity, else empty.
        blocks: Precomputed hashes of the prompt's blocks, or empty.
        prompt_tokens: Length of the prompt in tokens, 0 if unknown.
        zone: Availability zone that the server must be in; empty for any.
        server: Name of the only server that may run the call, which has a
            permit for it; empty for any.
        ignores_pace: Whether a server in its slow start may run the call
            beyond its rate if no other server accepts it.
        excluded: Names of servers that already failed this stage.
        size_bytes: Expected size of the call and its response.
        is_idempotent: Whether the stage may be retried.
        is_exclusive: Whether the call needs a server that runs no other call.
        home_regions: Regions in which it may run, None for all; see
            ``fleet.eligibility``.
        report_delay_s: Delay of the messages about the choice and the start of
            the answer, if the prefill rate may be measured with the call. That
            needs a router that chooses the servers of all calls of the zone,
            as it knows all pending prompts. None for other calls.
    """

    __slots__ = (
        "blocks",
        "excluded",
        "home_regions",
        "ignores_pace",
        "is_exclusive",
        "is_idempotent",
        "model",
        "pool",
        "prompt",
        "prompt_tokens",
        "rank",
        "report_delay_s",
        "request_id",
        "server",
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
        is_exclusive: bool = False,
        blocks: Sequence[int] = (),
        prompt_tokens: int = 0,
        zone: str = "",
        server: str = "",
        home_regions: frozenset[str] | None = None,
        ignores_pace: bool = False,
    ):
        self.server = server
        self.home_regions = home_regions
        self.ignores_pace = ignores_pace
        self.report_delay_s: float | None = None
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
        self.is_exclusive = is_exclusive


class Choice:
    """The server chosen for a call.

    Attributes:
        server: The backend server.
        call: The call.
        chosen_at: Monotonic time in seconds.
        answer_started_at: Time of the first output; None if unknown.
        prefill_s: Expected time to prefill the prompt, 0 if unknown.
        expected_s: Expected time to the first output, 0 if unknown.
        sample: What is needed to measure the prefill rate, None if the call
            does not allow it.
        reason: Reason for the choice, for the decision log.
        is_judged: Whether its answer was compared with the pool's.
        is_probe: Whether the call probes an ejected or unreachable server.
        is_settled: Whether the server had no recent crash when it was chosen.
        state: The router's state of the server; for the router only.
    """

    __slots__ = (
        "answer_started_at",
        "call",
        "chosen_at",
        "expected_s",
        "is_judged",
        "is_probe",
        "is_settled",
        "prefill_s",
        "reason",
        "sample",
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
        self.is_judged = False
        self.is_settled = state is None or state.is_settled(chosen_at)
        self.answer_started_at: float | None = None
        self.prefill_s = 0.0
        self.reason = ""
        self.expected_s = 0.0
        self.sample: prefill_rates.Sample | None = None

    @property
    def was_exclusive(self) -> bool:
        """Whether the server ran no other call of this process during this one.

        When every server is ejected or unreachable, a call that must run
        alone may get a shared server, or one that has just crashed under
        another call.
        """
        return (
            self.call.is_exclusive
            and self.state.last_shared_at < self.chosen_at
            and self.is_settled
        )


class Outcome(enum.Enum):
    """How a call ended.

    Members:
        OK: The server returned a valid answer.
        REFUSED: The server rejected the call without running it.
        UNREACHABLE: No connection could be opened.
        FAILED: The server returned an error, or its answer was lost.
        CRASHED: The connection broke, possibly because the server crashed.
        CANCELLED: The call ended without a result, such as by a disconnect
            of the caller.
    """

    OK = "ok"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    FAILED = "failed"
    CRASHED = "crashed"
    CANCELLED = "cancelled"
