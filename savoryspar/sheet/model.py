"""The sheet in force: ranks, workspaces, pools, models and pipelines."""

from collections.abc import Mapping

RANKS = ("urgent", "standard", "bulk")

Rows = Mapping[tuple[str, str], Mapping[str, str]]
"""Rows of a sheet: (table, name) to its fields."""


class Rank:
    """A class of urgency.

    Attributes:
        name: One of ``RANKS``; the first is the most urgent.
        floor_percent: Share of a pool's service that it keeps in a flood.
    """

    __slots__ = ("floor_percent", "name")

    def __init__(self, name: str, floor_percent: float):
        self.name = name
        self.floor_percent = floor_percent


class Workspace:
    """A customer.

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
    """A group of backend servers that do the same work.

    Attributes:
        name: Unique name.
        kind: ``engine``, ``encoder``, ``retriever``, ``reranker``, ``service``.
        idempotent: Whether a call may be repeated.
        supports: Optional abilities, for example ``fencing`` or ``resume``.
        cost: Work units charged for one call of a pool that is not an engine.
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
    """A model that is to be ready on engines of a pool.

    Attributes:
        name: Unique name.
        pool: Name of the engine pool.
        active: Whether the model is in use.
        min_copies: Ready copies to keep in each zone that has engines.
    """

    __slots__ = ("active", "min_copies", "name", "pool")

    def __init__(self, name: str, pool: str, active: bool, min_copies: int):
        self.name = name
        self.pool = pool
        self.active = active
        self.min_copies = min_copies


class Work:
    """A kind of work.

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
    """A pipeline that callers name.

    Attributes:
        name: Unique name.
        work: Name of the kind of work.
        stages: Stages in order.
    """

    __slots__ = ("name", "stages", "work")

    def __init__(self, name: str, work: str, stages: tuple[Stage, ...]):
        self.name = name
        self.work = work
        self.stages = stages


class Sheet:
    """A validated sheet.

    Attributes:
        revision: Number of the revision; the highest accepted one is in force.
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
        works: Mapping[str, Work],
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
        """Tells whether every stage of the pipeline may be repeated."""
        return all(self.pools[s.pool].idempotent for s in pipeline.stages)
