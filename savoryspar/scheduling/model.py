"""Jobs submitted to the scheduler."""


class RemainingStage:
    """A stage that a request runs after the current one.

    Attributes:
        pool: Pool that runs the stage.
        model: Model for an engine pool, else empty.
        cost: Estimated work units.
    """

    __slots__ = ("cost", "model", "pool")

    def __init__(self, pool: str, model: str, cost: float):
        self.pool = pool
        self.model = model
        self.cost = cost


class Job:
    """One stage of one request, to be run in a slot of a pool.

    Attributes:
        request_id: ID of the request.
        workspace: Workspace that is charged.
        share: Weight of the workspace.
        rank: Rank of the work.
        pool: Pool that runs the stage.
        cost: Estimated work units.
        deadline_at: Monotonic time of the end-to-end deadline in seconds.
        model: Model for an engine pool, else empty.
        remaining_stages: Stages of the request after this one.
        is_started: Whether an earlier stage of the request has run.
    """

    __slots__ = (
        "cost",
        "deadline_at",
        "is_started",
        "model",
        "pool",
        "rank",
        "remaining_stages",
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
        remaining_stages: tuple[RemainingStage, ...] = (),
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
        self.remaining_stages = remaining_stages
        self.is_started = is_started
