"""What the scheduler is asked to run."""


class RemainingStage:
    """A stage that a request still has to run after the current one.

    Attributes:
        pool: Pool that will run it.
        model: Model for an engine pool, else empty.
        cost: Estimated work units.
    """

    __slots__ = ("cost", "model", "pool")

    def __init__(self, pool: str, model: str, cost: float):
        self.pool = pool
        self.model = model
        self.cost = cost


class Job:
    """One stage of one request, waiting for a slot.

    Attributes:
        request_id: Request that it belongs to.
        workspace: Workspace that is charged.
        share: Weight of the workspace.
        rank: Rank of the work.
        pool: Pool that runs the stage.
        cost: Estimated work units.
        deadline_at: Monotonic time in seconds of the end-to-end deadline.
        model: Model for an engine pool, else empty.
        later: Stages that the request still needs after this one.
        is_started: Whether an earlier stage of the request has run.
    """

    __slots__ = (
        "cost",
        "deadline_at",
        "is_started",
        "later",
        "model",
        "pool",
        "rank",
        "request_id",
        "share",
        "workspace",
    )

    def __init__(
        self,
        request_id: str,
        workspace: str,
        share: float,
        rank: str,
        pool: str,
        cost: float,
        deadline_at: float,
        model: str = "",
        later: tuple[RemainingStage, ...] = (),
        is_started: bool = False,
    ):
        self.request_id = request_id
        self.workspace = workspace
        self.share = share
        self.rank = rank
        self.pool = pool
        self.cost = cost
        self.deadline_at = deadline_at
        self.model = model
        self.later = later
        self.is_started = is_started
