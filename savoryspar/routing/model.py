"""What the router is asked, what it chose and how the call ended."""

import enum

from savoryspar import backends


class Call:
    """A stage that needs a backend server.

    Attributes:
        request_id: Request that it belongs to.
        workspace, rank, stage: For the decision line.
        pool: Pool that runs it.
        model: Model for an engine pool, else empty.
        prompt: Prompt text for prefix affinity, else empty.
        excluded: Names of servers that already failed this stage.
    """

    __slots__ = (
        "excluded",
        "model",
        "pool",
        "prompt",
        "rank",
        "request_id",
        "stage",
        "workspace",
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
    ):
        self.request_id = request_id
        self.workspace = workspace
        self.rank = rank
        self.stage = stage
        self.pool = pool
        self.model = model
        self.prompt = prompt
        self.excluded = excluded


class Choice:
    """A server chosen for a call.

    Attributes:
        server: The backend server.
        call: The call it was chosen for.
        chosen_at: Monotonic time in seconds.
    """

    __slots__ = ("call", "chosen_at", "server")

    def __init__(self, server: backends.Server, call: Call, chosen_at: float):
        self.server = server
        self.call = call
        self.chosen_at = chosen_at


class Outcome(enum.Enum):
    """How a call ended."""

    OK = "ok"
    REFUSED = "refused"
    FAILED = "failed"
    CRASHED = "crashed"
    CANCELLED = "cancelled"
