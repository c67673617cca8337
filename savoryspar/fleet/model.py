"""Typed records of the published configuration and of backend servers."""

from collections.abc import Mapping, Sequence
import enum


class RouteKind(enum.Enum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Stage:
    """Work on pieces that must be done before a request can run.

    Attributes:
        service: Pool that does it.
        after: Numbers of the stages whose results it takes.
        result_bytes: Expected size of the result of one piece.
    """

    __slots__ = ("after", "result_bytes", "service")

    def __init__(self, service: str, after: Sequence[int], result_bytes: int):
        self.service = service
        self.after = tuple(after)
        self.result_bytes = result_bytes


class Route:
    """Where requests of a host and path prefix go.

    Attributes:
        name: Unique name.
        host: Host name in lower case.
        prefix: Path prefix, with a slash at both ends.
        kind: What may be repeated.
        services: Pools with the weight of each; usually one.
        timeout_s: Longest time that a caller is kept waiting.
        objective_s: Time for an answer, or for a stream's first event.
        gap_objective_s: Longest pause between a stream's events, 0 if none.
        rank: 0 is the most urgent.
        attempts: Most backend servers that may run one request.
        is_public: Whether callers need no key.
        is_resumable: Whether a broken stream may go on at another server.
        stages: Stages before the request itself, by number.
    """

    __slots__ = (
        "attempts",
        "gap_objective_s",
        "host",
        "is_public",
        "is_resumable",
        "kind",
        "name",
        "objective_s",
        "prefix",
        "rank",
        "services",
        "stages",
        "timeout_s",
    )

    def __init__(
        self,
        name: str,
        host: str,
        prefix: str,
        kind: RouteKind,
        services: Sequence[tuple[str, float]],
        timeout_s: float,
        objective_s: float,
        gap_objective_s: float,
        rank: int,
        attempts: int,
        is_public: bool,
        is_resumable: bool,
        stages: Sequence[Stage],
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.kind = kind
        self.services = tuple(services)
        self.timeout_s = timeout_s
        self.objective_s = objective_s
        self.gap_objective_s = gap_objective_s
        self.rank = rank
        self.attempts = attempts
        self.is_public = is_public
        self.is_resumable = is_resumable
        self.stages = tuple(stages)

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run on more than one server."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


class StagePool:
    """How one server of a stage pool works.

    Attributes:
        slots: Calls that run at a time.
        queue: Calls that may wait.
        batch: Most pieces of a call.
        call_s: Fixed time of a call.
        piece_s: Expected time of a piece.
        room_bytes: Memory for results.
        result_ttl_s: How long a result that nobody frees is kept.
    """

    __slots__ = (
        "batch",
        "call_s",
        "piece_s",
        "queue",
        "result_ttl_s",
        "room_bytes",
        "slots",
    )

    def __init__(
        self,
        slots: int,
        queue: int,
        batch: int,
        call_s: float,
        piece_s: float,
        room_bytes: float,
        result_ttl_s: float,
    ):
        self.slots = slots
        self.queue = queue
        self.batch = batch
        self.call_s = call_s
        self.piece_s = piece_s
        self.room_bytes = room_bytes
        self.result_ttl_s = result_ttl_s


class EnginePool:
    """How one model engine of a pool works.

    Attributes:
        slots: Requests that run at a time.
        memory_tokens: Tokens that running requests and cached parts share.
    """

    __slots__ = ("memory_tokens", "slots")

    def __init__(self, slots: int, memory_tokens: int):
        self.slots = slots
        self.memory_tokens = memory_tokens


class Service:
    """A pool of backend servers.

    Attributes:
        name: Unique name.
        health_path: Path of the health check.
        max_connections: Connections that one server accepts from all callers.
        stage_pool: Set for pools that run stages.
        engine_pool: Set for model engines.
    """

    __slots__ = (
        "engine_pool",
        "health_path",
        "max_connections",
        "name",
        "stage_pool",
    )

    def __init__(
        self,
        name: str,
        health_path: str,
        max_connections: int,
        stage_pool: StagePool | None,
        engine_pool: EnginePool | None,
    ):
        self.name = name
        self.health_path = health_path
        self.max_connections = max_connections
        self.stage_pool = stage_pool
        self.engine_pool = engine_pool


class Workspace:
    """A customer.

    Attributes:
        name: Unique name.
        rank: Rank that goes before the route's, or None.
    """

    __slots__ = ("name", "rank")

    def __init__(self, name: str, rank: int | None):
        self.name = name
        self.rank = rank


class CallerLimits:
    """What a caller may send and how long it may take or stay idle."""

    __slots__ = (
        "header_timeout_s",
        "idle_timeout_s",
        "max_body_bytes",
        "max_header_bytes",
    )

    def __init__(
        self,
        max_header_bytes: int,
        max_body_bytes: int,
        header_timeout_s: float,
        idle_timeout_s: float,
    ):
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s


class Configuration:
    """One version of the operator's configuration.

    Attributes:
        version: Rises with each change.
        services: By name.
        limits: What callers may send.
    """

    __slots__ = (
        "_by_host",
        "_by_key",
        "_first_rank",
        "_ranks",
        "has_workspaces",
        "limits",
        "services",
        "version",
    )

    def __init__(
        self,
        version: int,
        routes: Sequence[Route],
        services: Mapping[str, Service],
        workspaces: Mapping[str, Workspace],
        has_workspaces: bool,
        limits: CallerLimits,
    ):
        self.version = version
        self.services = services
        self.limits = limits
        self.has_workspaces = has_workspaces
        self._by_key = workspaces
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda r: -len(r.prefix)):
            self._by_host.setdefault(route.host, []).append(route)
        self._ranks = 1 + max((route.rank for route in routes), default=0)
        self._first_rank = min(
            (w.rank for w in workspaces.values() if w.rank is not None),
            default=0,
        )

    def rank(self, workspace: Workspace | None, route: Route) -> int:
        """Returns the rank of a request, 0 for the most urgent one.

        The workspace's rank goes first; the route's decides between requests
        of workspaces with the same rank.
        """
        if workspace is None or workspace.rank is None:
            return route.rank
        return (workspace.rank - self._first_rank) * self._ranks + route.rank

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins the path."""
        return next(
            (
                route
                for route in self._by_host.get(host, ())
                if path.startswith(route.prefix)
            ),
            None,
        )

    def find_workspace(self, key: str) -> Workspace | None:
        """Returns the workspace that holds the key.

        The lookup hashes the key, so its time tells nothing of other keys.
        """
        return self._by_key.get(key)

    def routes(self) -> list[Route]:
        """Returns all routes."""
        return [route for routes in self._by_host.values() for route in routes]


class BackendEntry:
    """What a backend server says of itself in the platform's store.

    Attributes:
        name: ID of this start of the server.
        service: Pool that it belongs to.
        address: ``IP:port``.
        zone: Availability zone.
        slots: Requests that it runs at a time.
        is_draining: Whether it takes no new work.
        started_ms: Unix time of its start, in milliseconds, 0 if unknown.
        revision: Revision of the store at which the entry changed last.
    """

    __slots__ = (
        "address",
        "is_draining",
        "name",
        "revision",
        "service",
        "slots",
        "started_ms",
        "zone",
    )

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        zone: str,
        slots: int,
        is_draining: bool,
        started_ms: int,
        revision: int,
    ):
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.is_draining = is_draining
        self.started_ms = started_ms
        self.revision = revision
