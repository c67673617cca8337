"""The settings of placement that the plan uses."""

from savoryspar import conf

WINDOW_S = 60.0


class Options:
    """Settings of the plan.

    Attributes:
        copy_capacity: Requests that one copy serves at a time.
        grow_share, shrink_share: Use of the copies that changes their number.
        dwell_s: Time that a copy stays before it may be unloaded.
        retry_s: Time before a failed load is ordered again.
        loads_per_window: Loads in ``WINDOW_S`` over all zones.
    """

    __slots__ = (
        "copy_capacity",
        "dwell_s",
        "grow_share",
        "loads_per_window",
        "retry_s",
        "shrink_share",
    )

    def __init__(
        self,
        copy_capacity: float = 16.0,
        grow_share: float = 0.8,
        shrink_share: float = 0.4,
        dwell_s: float = 300.0,
        retry_s: float = 60.0,
        loads_per_window: float = 60.0,
    ):
        self.copy_capacity = copy_capacity
        self.grow_share = grow_share
        self.shrink_share = shrink_share
        self.dwell_s = dwell_s
        self.retry_s = retry_s
        self.loads_per_window = loads_per_window


def new_options(cfg: conf.Settings) -> Options:
    """Returns the options of a process."""
    section = cfg.placement
    return Options(
        section.copy_capacity,
        section.grow_percent / 100.0,
        section.shrink_percent / 100.0,
        section.dwell_s,
        section.retry_s,
        section.weight_loads_per_min,
    )
