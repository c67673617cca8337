"""Planner options, taken from the ``[placement]`` settings."""

from savoryspar import conf

LOAD_WINDOW_S = 60.0


class Options:
    """Options of the planner.

    Attributes:
        copy_capacity: Requests that one copy serves concurrently.
        grow_share: Utilization (0 to 1) above which a copy is added.
        shrink_share: Utilization that may remain when a copy is removed.
        dwell_s: Minimum time in seconds before a copy may be unloaded.
        retry_s: Seconds before a failed load is retried on the same engine.
        loads_per_window: Loads allowed in ``LOAD_WINDOW_S`` over all zones.
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
