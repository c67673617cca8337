"""What an entry process knows of each server that it uses."""

from collections.abc import Iterable, Sequence
import enum
import math

from savoryspar import backends
from savoryspar.routing import limits, options, outliers, subsets

REPORT_HALF_LIFE_S = 2.0
"""Half-life of a load report; calls of other processes end unseen."""
REPORT_KEPT = 0.8
"""Part of earlier reports that a new one does not replace."""
SETTLE_S = 1.0
"""Time after a crash in which a server may still take connections that it
resets: its process ends some time after its first connection broke."""
OTHER_ZONES_SIZE = 8
"""Servers of a pool in other zones of the own region to use."""
OTHER_REGIONS_SIZE = 8
"""Servers of a pool in other regions to use; with the own zone's, 40."""


class Tier(enum.IntEnum):
    """How far away a server is."""

    ZONE = 0
    REGION = 1
    ELSEWHERE = 2


class ServerState:
    """One server: the own calls there, its reports, its limit and health.

    Attributes:
        server: The backend server.
        tier: How far away it is.
        in_flight: Own calls.
        limit: Concurrency limit.
        health: How its calls ended.
        salt: Rendezvous weight, the same in every process.
        pending_s: Time to read the prompts of calls whose answer has not begun.
        is_alone: Whether a call runs there that must run alone.
        drained_until: Until when it gets no work because such a call waits.
        shared_at: When two own calls were last there at once, in seconds.
        crashed_at: When an own call ended last by a crash, in seconds.
    """

    __slots__ = (
        "_others",
        "_reported_at",
        "crashed_at",
        "drained_until",
        "health",
        "in_flight",
        "is_alone",
        "limit",
        "pending_s",
        "salt",
        "server",
        "shared_at",
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
        self.is_alone = False
        self.drained_until = 0.0
        self.shared_at = -math.inf
        self.crashed_at = -math.inf
        self.salt = subsets.weight("", server.name)
        self._others = 0.0
        self._reported_at = 0.0

    def is_settled(self, now: float) -> bool:
        """Tells whether a crash now would be another one than the last."""
        return now - self.crashed_at >= SETTLE_S

    def is_closed(self, now: float) -> bool:
        """Tells whether it is kept for a call that must run alone."""
        return self.is_alone or self.drained_until > now

    def load(self, now: float) -> float:
        """Returns own calls and what is left of the others' reported calls."""
        if self._others <= 0.0:
            return self.in_flight
        return self.in_flight + self._others * self._fading(now)

    def utilization(self, now: float) -> float:
        """Returns the load as a share of the limit."""
        return self.load(now) / self.limit.calls

    def has_room(self, now: float) -> bool:
        """Tells whether one more call stays within the limit."""
        return self.load(now) + 1 <= self.limit.calls

    def update_load(self, load: int, now: float) -> None:
        """Takes a report of all calls at the server.

        Own calls are counted exactly, so only the rest is kept of the report.
        A report lags behind the own calls that began and ended meanwhile, which
        makes the rest too high or too low; the mean of several evens it out.
        """
        others = load - self.in_flight
        kept = REPORT_KEPT * self._fading(now) if self._reported_at else 0.0
        self._others = others + kept * (self._others - others)
        self._reported_at = now

    def _fading(self, now: float) -> float:
        return 0.5 ** ((now - self._reported_at) / REPORT_HALF_LIFE_S)


def tier_of(server: backends.Server, opts: options.Options) -> Tier:
    """Returns how far away a server is."""
    if server.region != opts.region and opts.region:
        return Tier.ELSEWHERE
    if server.zone != opts.zone and opts.zone:
        return Tier.REGION
    return Tier.ZONE


def choose_subset(
    servers: Iterable[backends.Server],
    entries: Sequence[backends.Server],
    opts: options.Options,
) -> list[tuple[backends.Server, Tier]]:
    """Returns the servers that this process uses, each with its tier.

    Args:
        servers: Live servers of one pool.
        entries: Live entry VMs, with name, region and zone.
        opts: The own place and the size of the subset.
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
    return [item for item in listed if item[0].name in used]
