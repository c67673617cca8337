"""Joint readings of the wall clock and the monotonic clock."""

import time


class ClockReading:
    """One reading of both clocks.

    Tickets expire by either clock. The monotonic clock may stop while the VM
    is suspended, and the wall clock may be set back.

    Attributes:
        monotonic_s: Monotonic time in seconds.
        wall_s: Seconds since the Unix epoch.
    """

    __slots__ = ("monotonic_s", "wall_s")

    def __init__(self, monotonic_s: float, wall_s: float):
        self.monotonic_s = monotonic_s
        self.wall_s = wall_s


def read_clocks() -> ClockReading:
    """Returns the current time of both clocks."""
    return ClockReading(time.monotonic(), time.time())
