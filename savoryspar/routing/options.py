"""Router options: location of the process and routing settings."""

from savoryspar import conf


class Options:
    """Options of a router.

    Weights and costs are in units of server utilization: 1.0 is a full server.

    Attributes:
        name: Name of this entry VM.
        region, zone: Its location.
        policy: ``scored``, ``timed``, ``least_in_flight`` or ``round_robin``.
        prefix_entries: Maximum number of blocks in the prefix index.
        affinity: Benefit of a fully cached prompt.
        home: Benefit of the home server, which all processes prefer for a
            prefix that no server has cached.
        zone_cost, region_cost: Cost of a server in another zone or region.
        region_bytes_per_s: Rate limit of traffic to other regions.
        region_spill: Capacity used in other regions, as a share of the local
            region's capacity.
        subset_size: Number of servers of a pool used in the local zone.
        limit: ``gradient`` or ``fixed``.
        initial_limit, hard_limit: Initial and largest number of concurrent
            calls to one server.
        max_ejected: Largest share of a pool that may be ejected.
        retry_ratio: Retries earned per first attempt.
        retry_reserve: Retries available at startup.
        retry_max_tokens: Maximum number of accumulated retries.
        track_suspects: Whether crash suspects are tracked.
    """

    __slots__ = (
        "affinity",
        "hard_limit",
        "home",
        "initial_limit",
        "limit",
        "max_ejected",
        "name",
        "policy",
        "prefix_entries",
        "region",
        "region_bytes_per_s",
        "region_cost",
        "region_spill",
        "retry_max_tokens",
        "retry_ratio",
        "retry_reserve",
        "subset_size",
        "track_suspects",
        "zone",
        "zone_cost",
    )

    def __init__(
        self,
        name: str = "",
        region: str = "",
        zone: str = "",
        policy: str = "scored",
        prefix_entries: int = 32768,
        affinity: float = 0.8,
        home: float = 0.15,
        zone_cost: float = 0.2,
        region_cost: float = 1.5,
        region_bytes_per_s: float = 2e6,
        region_spill: float = 0.1,
        subset_size: int = 24,
        limit: str = "gradient",
        initial_limit: int = 8,
        hard_limit: int = 64,
        max_ejected: float = 0.34,
        retry_ratio: float = 0.08,
        retry_reserve: int = 3,
        track_suspects: bool = True,
        retry_max_tokens: float = 20.0,
    ):
        self.name = name
        self.region = region
        self.zone = zone
        self.policy = policy
        self.prefix_entries = prefix_entries
        self.affinity = affinity
        self.home = home
        self.zone_cost = zone_cost
        self.region_cost = region_cost
        self.region_bytes_per_s = region_bytes_per_s
        self.region_spill = region_spill
        self.subset_size = subset_size
        self.limit = limit
        self.initial_limit = initial_limit
        self.hard_limit = hard_limit
        self.max_ejected = max_ejected
        self.retry_ratio = retry_ratio
        self.retry_reserve = retry_reserve
        self.retry_max_tokens = retry_max_tokens
        self.track_suspects = track_suspects


def new_options(cfg: conf.Settings) -> Options:
    """Creates router options from the settings."""
    section = cfg.routing
    return Options(
        name=cfg.entry.name,
        region=cfg.entry.region,
        zone=cfg.entry.zone,
        policy=section.policy,
        prefix_entries=section.prefix_entries,
        affinity=section.affinity_percent / 100.0,
        home=section.home_percent / 100.0,
        zone_cost=section.zone_cost_percent / 100.0,
        region_cost=section.region_cost_percent / 100.0,
        region_bytes_per_s=float(section.region_bytes_per_s),
        region_spill=section.region_spill_percent / 100.0,
        subset_size=section.subset_size,
        limit=section.limit,
        initial_limit=section.initial_limit,
        hard_limit=section.hard_limit,
        max_ejected=section.max_ejected_percent / 100.0,
        retry_ratio=section.retry_percent / 100.0,
        retry_reserve=section.retry_reserve,
        track_suspects=section.crash_suspects,
    )
