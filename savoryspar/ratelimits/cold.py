"""The rate limit of a cold server.

A cold server may get a number of requests in any second, from all VMs together.
The permits that reach it in one second may have been granted over a longer
time, and by more than one VM while the fleet is split or its owner changes. The
rate is such that their sum stays within the number.
"""

from savoryspar.ratelimits import allocator, limiter

WINDOW_S = 1.0
"""Time in which requests to a cold server are counted."""
REPLY_S = 0.25
"""Longest time from the grant of a permit to its receipt by the VM that claimed
it; a later reply is not used."""
GRANTERS = 2.0
"""Sum of the shares that are granted at the same time, at most. An owner that
is cut off grants its whole share until it notices, and the owners of the other
parts grant theirs, which together are less than another one."""
BUCKETS = 3.0
"""VMs whose buckets may be full at the same time: the owner, a stand-in that
was used before, and the owner of another part."""
SPREAD_S = WINDOW_S + limiter.PERMIT_TTL_S + REPLY_S
"""Time over which the permits of requests in one second were granted."""
UNKNOWN_SHARE = 0.5
"""Part of the rate that is granted if the tolerated excess is not known, so
that two owners together keep to the rate."""


def cold_rate_per_s(cold_per_s: float, excess: float, slack: float) -> float:
    """Returns the permits per second for a cold server.

    Args:
        cold_per_s: Requests per second that a cold server stands.
        excess: Factor by which a second may have more, 0 if not known.
        slack: Number of requests by which a second may have more.
    """
    if excess <= 0.0:
        return UNKNOWN_SHARE * cold_per_s
    allowed = WINDOW_S * cold_per_s * excess + slack - BUCKETS
    seconds = GRANTERS * (SPREAD_S + allocator.BURST_S)
    return max(0.0, min(cold_per_s, allowed / seconds))
