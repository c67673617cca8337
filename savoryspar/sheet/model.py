"""Data model of a sheet: ranks, workspaces, pools, models, pipelines."""

from collections.abc import Mapping

RANKS = ("urgent", "standard", "bulk")

Rows = Mapping[tuple[str, str], Mapping[str, str]]
"""Rows of a sheet: fields by row ID, which is (table, name)."""


class Rank:
    """A priority class.

    Attributes:
        name: One of ``RANKS``; the first is the most urgent.
        floor_percent: Minimum share of a pool's service under overload.
    """

    __slots__ = ("floor_percent", "name")

    def __init__(self, name: str, floor_percent: float):
        self.name = name
        self.floor_percent = floor_percent


class Workspace:
    """A customer, the unit of fair queueing.

    Attributes:
        name: Unique name.
        share: Weight in fair queueing, above 0.
        key_digests: SHA-256 digests of its API keys, in hexadecimal.
    """

    __slots__ = ("key_digests", "name", "share")

    def __init__(self, name: str, share: float, key_digests: tuple[str, ...]):
        self.name = name
        self.share = share
        self.key_digests = key_digests


class Pool:
    """A group of backend servers that serve the same type of stage.

    Attributes:
        name: Unique name.
        kind: ``engine``, ``encoder``, ``retriever``, ``reranker``, ``service``.
        idempotent: Whether calls may be repeated safely.
        supports: Optional features, for example ``fencing`` or ``resume``.
        cost: Work units charged per call; not used for engine pools.
    """

    __slots__ = ("cost", "idempotent", "kind", "name", "supports")

    def __init__(
        self,
        name: str,
        kind: str,
        idempotent: bool,
        supports: frozenset[str],
        cost: float,
    ):
        self.name = name
        self.kind = kind
        self.idempotent = idempotent
        self.supports = supports
        self.cost = cost


class Model:
    """A model to be loaded on engines of a pool.

    Attributes:
        name: Unique name.
        pool: Name of the engine pool.
        active: Whether the model is to be served.
        min_copies: Minimum number of ready copies in each zone with engines.
    """

    __slots__ = ("active", "min_copies", "name", "pool")

    def __init__(self, name: str, pool: str, active: bool, min_copies: int):
        self.name = name
        self.pool = pool
        self.active = active
        self.min_copies = min_copies


class WorkType:
    """A type of work, which sets the rank and deadline of requests.

    Attributes:
        name: Unique name.
        rank: One of ``RANKS``.
        deadline_ms: End-to-end deadline in milliseconds.
    """

    __slots__ = ("deadline_ms", "name", "rank")

    def __init__(self, name: str, rank: str, deadline_ms: int):
        self.name = name
        self.rank = rank
        self.deadline_ms = deadline_ms


class Stage:
    """One stage of a pipeline.

    Attributes:
        name: Name of the stage within the pipeline.
        pool: Name of the pool that runs it.
        model: Name of the model for an engine pool, else empty.
    """

    __slots__ = ("model", "name", "pool")

    def __init__(self, name: str, pool: str, model: str):
        self.name = name
        self.pool = pool
        self.model = model


class Pipeline:
    """A pipeline that callers request by name.

    Attributes:
        name: Unique name.
        work: Name of the type of work.
        stages: Stages in the order of execution.
    """

    __slots__ = ("name", "stages", "work")

    def __init__(self, name: str, work: str, stages: tuple[Stage, ...]):
        self.name = name
        self.work = work
        self.stages = stages


class Sheet:
    """A validated sheet.

    Attributes:
        revision: Revision number; the highest accepted one is in force.
        digest: Content digest, in hexadecimal.
        rows: The rows it was built from.
        ranks, workspaces, pools, models, works, pipelines: By name.
        workspace_by_key: Workspace name by key digest.
    """

    __slots__ = (
        "digest",
        "models",
        "pipelines",
        "pools",
        "ranks",
        "revision",
        "rows",
        "works",
        "workspace_by_key",
        "workspaces",
    )

    def __init__(
        self,
        revision: int,
        digest: str,
        rows: Rows,
        ranks: Mapping[str, Rank],
        workspaces: Mapping[str, Workspace],
        pools: Mapping[str, Pool],
        models: Mapping[str, Model],
        works: Mapping[str, WorkType],
        pipelines: Mapping[str, Pipeline],
        workspace_by_key: Mapping[str, str] | None = None,
    ):
        self.revision = revision
        self.digest = digest
        self.rows = rows
        self.ranks = ranks
        self.workspaces = workspaces
        self.pools = pools
        self.models = models
        self.works = works
        self.pipelines = pipelines
        if workspace_by_key is None:
            workspace_by_key = {
                digest: workspace.name
                for workspace in workspaces.values()
                for digest in workspace.key_digests
            }
        self.workspace_by_key = workspace_by_key

    def is_idempotent(self, pipeline: Pipeline) -> bool:
        """Returns whether every stage of the pipeline may be repeated."""
        return all(self.pools[s.pool].idempotent for s in pipeline.stages)
