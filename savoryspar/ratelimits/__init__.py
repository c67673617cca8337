"""Rate limits that backend servers state for all entry VMs together.

The package decides; it opens no connections and reads no clock.
"""

from savoryspar.ratelimits.allocator import (
    MIN_RATE_PER_S,
    Allocator,
    Claim,
    new_allocator,
)
from savoryspar.ratelimits.cold import cold_rate_per_s
from savoryspar.ratelimits.exceptions import LimitReachedError
from savoryspar.ratelimits.limiter import (
    LOWEST_RANK,
    MAX_PATIENCE_S,
    PERMIT_TTL_S,
    Limiter,
    Permit,
    PermitRequest,
    Unlimited,
    new_unlimited,
)
from savoryspar.ratelimits.slow_start import (
    End,
    Result,
    SlowStart,
    new_slow_start,
)
from savoryspar.ratelimits.table import (
    MAX_LIMIT_PER_S,
    LimitTable,
    Server,
    Statement,
    new_limit_table,
)
