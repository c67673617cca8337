"""Reads the wall clock and the monotonic clock together."""

import time


class ClockReading:
    """One reading of both clocks.

    Tickets expire by either clock: the wall clock notices a suspended VM, in
    which the monotonic clock may stand still, and the monotonic clock notices
    a wall clock that was set back.

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
