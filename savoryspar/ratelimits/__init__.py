"""Rate limits that backend servers state for all entry VMs together.

The package decides; it opens no connections and reads no clock.
"""

from savoryspar.ratelimits.limiter import Limiter, Unlimited, new_unlimited
from savoryspar.ratelimits.table import (
    LimitTable,
    Server,
    Statement,
    new_limit_table,
)
