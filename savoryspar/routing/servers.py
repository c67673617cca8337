"""State that an entry process keeps for each server that it uses."""

from collections.abc import Iterable, Sequence
import enum
import math

from savoryspar import backends
from savoryspar.routing import limits, options, outliers, subsets

REPORT_HALF_LIFE_S = 2.0
"""Half-life of a load report. Needed because this process does not observe when
the calls of other processes end."""
PREVIOUS_REPORTS_WEIGHT = 0.8
"""Weight of earlier load reports when a new one arrives."""
CRASH_SETTLE_S = 1.0
"""Time after a crash in which a server may still accept connections and reset
them, because its process ends some time after its first connection broke."""
OTHER_ZONES_SIZE = 8
"""Servers of a pool that are used in other zones of the local region."""
OTHER_REGIONS_SIZE = 8
"""Servers of a pool that are used in other regions. With the default subset
size, a process uses at most 40 servers of a pool in total."""


class Tier(enum.IntEnum):
    """Network distance of a server."""

    ZONE = 0
    REGION = 1
    ELSEWHERE = 2


class ServerState:
    """State of one server: calls in flight, reported load, limit and health.

    Attributes:
        server: The backend server.
        tier: Network distance.
        in_flight: Number of calls from this process.
        limit: Concurrency limit.
        health: Health, from the outcomes of the calls.
        salt: Hash of the server's name, for the choice of home servers; the
            same in every process.
        pending_s: Time to prefill the prompts of calls without an answer yet.
        pending: Number of these calls.
        starts: Number of calls of this process since the server is known.
        is_exclusive: Whether it runs a call that must run alone.
        drained_until: Monotonic time until which it is drained for such a call.
        last_shared_at: Monotonic time when it last ran two calls of this
            process together.
        last_crash_at: Monotonic time when it last crashed during a call of
            this process.
    """

    __slots__ = (
        "_other_calls",
        "_reported_at",
        "drained_until",
        "health",
        "in_flight",
        "is_exclusive",
        "last_crash_at",
        "last_shared_at",
        "limit",
        "pending",
        "pending_s",
        "salt",
        "server",
        "starts",
        "tier",
    )

    def __init__(
        self, server: backends.Server, tier: Tier, limit: limits.Limit
    ):
        self.server = server
        self.tier = tier
        self.limit = limit
        self.health = outliers.Health()
        self.in_flight = 0
        self.pending_s = 0.0
        self.pending = 0
        self.starts = 0
        self.is_exclusive = False
        self.drained_until = 0.0
        self.last_shared_at = -math.inf
        self.last_crash_at = -math.inf
        self.salt = subsets.weight("", server.name)
        self._other_calls = 0.0
        self._reported_at = 0.0

    def is_settled(self, now: float) -> bool:
        """Returns whether a crash now would be distinct from the last one."""
        return now - self.last_crash_at >= CRASH_SETTLE_S

    def is_reserved(self, now: float) -> bool:
        """Returns whether it is reserved for a call that must run alone."""
        return self.is_exclusive or self.drained_until > now

    def load(self, now: float) -> float:
        """Returns this process's calls plus the decayed number of others."""
        if self._other_calls <= 0.0:
            return self.in_flight
        return self.in_flight + self._other_calls * self._decay_factor(now)

    def utilization(self, now: float) -> float:
        """Returns the load as a share of the limit."""
        return self.load(now) / self.limit.calls

    def has_room(self, now: float) -> bool:
        """Returns whether one more call stays within the limit."""
        return self.load(now) + 1 <= self.limit.calls

    def update_load(self, load: int, now: float) -> None:
        """Updates the number of other calls from a report of all calls.

        Calls of this process are counted exactly, so only the difference is
        stored. A report is older than their latest starts and ends, which
        makes the difference too high or too low; averaging over several
        reports reduces this error.
        """
        others = load - self.in_flight
        weight = (
            PREVIOUS_REPORTS_WEIGHT * self._decay_factor(now)
            if self._reported_at
            else 0.0
        )
        self._other_calls = others + weight * (self._other_calls - others)
        self._reported_at = now

    def _decay_factor(self, now: float) -> float:
        return 0.5 ** ((now - self._reported_at) / REPORT_HALF_LIFE_S)


def tier_of(server: backends.Server, opts: options.Options) -> Tier:
    """Returns the network distance of a server."""
    if server.region != opts.region and opts.region:
        return Tier.ELSEWHERE
    if server.zone != opts.zone and opts.zone:
        return Tier.REGION
    return Tier.ZONE


def choose_subset(
    servers: Iterable[backends.Server],
    entries: Sequence[backends.Server],
    opts: options.Options,
    home_regions: Iterable[str] = (),
) -> list[tuple[backends.Server, Tier]]:
    """Returns the servers that this process uses, with their tiers.

    Args:
        servers: Live servers of one pool.
        entries: Live entry VMs, with name, region and zone.
        opts: Location of this process and the subset size.
        home_regions: Regions that some requests may not leave. Of each other
            region among them, ``OTHER_REGIONS_SIZE`` servers are used, as the
            subset of all other regions may have none of this one.
    """
    listed = [(server, tier_of(server, opts)) for server in servers]
    sizes = {
        Tier.ZONE: opts.subset_size,
        Tier.REGION: OTHER_ZONES_SIZE,
        Tier.ELSEWHERE: OTHER_REGIONS_SIZE,
    }
    used: frozenset[str] = frozenset()
    for tier, size in sizes.items():
        peers = [e.name for e in entries if tier_of(e, opts) <= tier]
        names = sorted(server.name for server, at in listed if at is tier)
        used |= subsets.subset(opts.name, peers, names, size)
    names_of_entries = [entry.name for entry in entries]
    for region in home_regions:
        names = sorted(
            server.name
            for server, tier in listed
            if tier is Tier.ELSEWHERE and server.region == region
        )
        used |= subsets.subset(
            opts.name, names_of_entries, names, OTHER_REGIONS_SIZE
        )
    return [item for item in listed if item[0].name in used]
