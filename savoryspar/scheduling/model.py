"""What the scheduler is asked to run."""


class Job:
    """One stage of one request, waiting for a slot.

    Attributes:
        request_id: Request that it belongs to.
        workspace: Workspace that is charged.
        share: Weight of the workspace.
        rank: Rank of the work.
        pool: Pool that runs the stage.
        cost: Estimated work units.
        deadline_at: Monotonic time in seconds by which it must be granted.
    """

    __slots__ = (
        "cost",
        "deadline_at",
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
    ):
        self.request_id = request_id
        self.workspace = workspace
        self.share = share
        self.rank = rank
        self.pool = pool
        self.cost = cost
        self.deadline_at = deadline_at
