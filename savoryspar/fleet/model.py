"""Records of the published configuration and of backend servers."""

from collections.abc import Mapping, Sequence
import enum


class RouteKind(enum.Enum):
    """How requests of a route are answered and whether they may be repeated.

    Members:
        IDEMPOTENT: A single response; a request may run more than once.
        ONCE: A single response; a request runs at most once.
        STREAM: An event stream; repeated only if the route is resumable.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Stage:
    """Processing of pieces that must finish before a request can run.

    Attributes:
        service: Name of the pool that runs it.
        after: Numbers of the stages whose results are its input.
        result_bytes: Expected size of the result of one piece.
    """

    __slots__ = ("after", "result_bytes", "service")

    def __init__(self, service: str, after: Sequence[int], result_bytes: int):
        self.service = service
        self.after = tuple(after)
        self.result_bytes = result_bytes


class Route:
    """How requests for a host and path prefix are served.

    Attributes:
        name: Unique name.
        host: Host name in lower case.
        prefix: Path prefix, with a slash at both ends.
        kind: Form of the response, and whether requests may be repeated.
        services: Names and weights of the pools; usually one.
        timeout_s: Longest time until the response is complete.
        objective_s: Target time to the response, or to a stream's first event.
        gap_objective_s: Target for the longest gap between a stream's events,
            0 if none.
        rank: 0 is the most urgent.
        attempts: Maximum number of backend servers that may run one request.
        is_public: Whether callers need no key.
        is_resumable: Whether another server may resume a broken stream.
        stages: Stages to run before the request itself, by number.
        home_regions: Regions in which requests may be served; empty for any.
    """

    __slots__ = (
        "attempts",
        "gap_objective_s",
        "home_regions",
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
        home_regions: frozenset[str] = frozenset(),
    ):
        self.name = name
        self.home_regions = home_regions
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
    """Capacity and timing of each server of a stage pool.

    Attributes:
        slots: Calls that run concurrently.
        queue: Calls that may be queued.
        batch: Maximum number of pieces in a call.
        call_s: Fixed time of a call.
        piece_s: Expected additional time for each piece.
        room_bytes: Memory for results.
        result_ttl_s: Time after which a result that was not freed expires.
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
    """Capacity of each model engine of a pool.

    Attributes:
        slots: Requests that run concurrently.
        memory_tokens: Tokens that fit in memory, for running requests and
            cached prefixes together.
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
        max_connections: Connections that one server accepts in total.
        stage_pool: Set if the pool runs stages, else None.
        engine_pool: Set if the pool runs model engines, else None.
        cold_start_s: Time for which a server is cold after it starts during
            traffic, 0 if it has no cold phase.
        cold_per_s: Requests per second that a cold server stands from all VMs
            together, 0 if it has no cold phase.
    """

    __slots__ = (
        "cold_per_s",
        "cold_start_s",
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
        cold_start_s: float = 0.0,
        cold_per_s: float = 0.0,
    ):
        self.name = name
        self.health_path = health_path
        self.max_connections = max_connections
        self.stage_pool = stage_pool
        self.engine_pool = engine_pool
        self.cold_start_s = cold_start_s
        self.cold_per_s = cold_per_s


class Workspace:
    """A customer.

    Attributes:
        name: Unique name.
        rank: Takes precedence over the rank of a route; None if not set.
        home_regions: Regions in which its requests may be served; empty for
            any.
    """

    __slots__ = ("home_regions", "name", "rank")

    def __init__(
        self,
        name: str,
        rank: int | None,
        home_regions: frozenset[str] = frozenset(),
    ):
        self.name = name
        self.rank = rank
        self.home_regions = home_regions


class CallerLimits:
    """Limits on the requests and connections of callers."""

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
        version: Increases with each change.
        services: Services by name.
        limits: Limits on requests and connections of callers.
        has_workspaces: Whether callers are authenticated by workspace keys.
    """

    __slots__ = (
        "_by_host",
        "_by_key",
        "_min_workspace_rank",
        "_rank_count",
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
        self._rank_count = 1 + max((route.rank for route in routes), default=0)
        self._min_workspace_rank = min(
            (w.rank for w in workspaces.values() if w.rank is not None),
            default=0,
        )

    def rank(self, workspace: Workspace | None, route: Route) -> int:
        """Returns the rank of a request, 0 for the most urgent one.

        Requests are ranked by the workspace's rank, then by the route's.
        """
        if workspace is None or workspace.rank is None:
            return route.rank
        return (
            workspace.rank - self._min_workspace_rank
        ) * self._rank_count + route.rank

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None."""
        return next(
            (
                route
                for route in self._by_host.get(host, ())
                if path.startswith(route.prefix)
            ),
            None,
        )

    def find_workspace(self, key: str) -> Workspace | None:
        """Returns the workspace that the key belongs to, or None.

        The lookup hashes the key, so its timing reveals nothing of other keys.
        """
        return self._by_key.get(key)

    def routes(self) -> list[Route]:
        """Returns all routes."""
        return [route for routes in self._by_host.values() for route in routes]


class BackendEntry:
    """The registration of a backend server in the platform's store.

    Attributes:
        name: ID of this server process.
        service: Name of the pool that it belongs to.
        address: ``IP:port``.
        zone: Availability zone.
        slots: Requests that it runs concurrently.
        is_draining: Whether it accepts no new requests.
        started_ms: Unix time of its start, in milliseconds, 0 if unknown.
        revision: Revision of the store at which the entry last changed.
        version: Versions of its software and models, empty if unknown.
        cold_left_s: Remaining time of its cold phase that the entry tells, None
            if it does not tell whether the server is cold.
    """

    __slots__ = (
        "address",
        "cold_left_s",
        "is_draining",
        "name",
        "revision",
        "service",
        "slots",
        "started_ms",
        "version",
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
        version: str = "",
        cold_left_s: float | None = None,
    ):
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.is_draining = is_draining
        self.started_ms = started_ms
        self.revision = revision
        self.version = version
        self.cold_left_s = cold_left_s
