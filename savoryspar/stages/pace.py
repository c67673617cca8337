"""Expected duration of the next call of one stage server.

The pace of a call is its duration as a factor of the one that the pool's
figures give. A server's moving average follows a lasting change within some
calls. Servers of some deployments also report how long work takes at this
moment. This changes many times a second, so the newest report corrects the
average only for a fraction of a second.
"""

PACE_WEIGHT = 0.4
"""Weight of the newest call in the moving average of a server's pace. After
three calls, about a second, the average reflects four fifths of a change."""
MIN_PACE = 0.5
"""Lower bound of a measured pace. All servers of a pool take the same time for
a call unless one is degraded."""
REPORT_HALF_LIFE_S = 0.25
"""Age at which a reported pace and the moving average have equal weight; about
the duration of a call, for which the report is used."""
OVERHEAD_WEIGHT = 0.1
"""Weight of the newest call in the ratio of measured to reported paces. The
report changes during a call, so single ratios vary widely."""
MAX_OVERHEAD = 3.0
"""Bound of the ratio of a measured to a reported pace, in both directions."""
OVERDUE_SHARE = 0.25
"""Expected rest of a call that lasts longer than expected, as a share of the
time it has taken so far."""


class ServerPace:
    """Pace of a server, and the call that it runs.

    Attributes:
        mean: Moving average of the measured paces.
        call_at: Start of the running call; monotonic seconds, None without one.
    """

    __slots__ = (
        "_call_pace",
        "_expected_s",
        "_overhead",
        "_reported",
        "_reported_at",
        "call_at",
        "mean",
    )

    def __init__(self) -> None:
        self.mean = 1.0
        self.call_at: float | None = None
        # Pace and duration at pace 1 that were expected for the running call.
        self._call_pace = 1.0
        self._expected_s = 0.0
        self._reported: float | None = None
        self._reported_at = 0.0
        # Mean ratio of the measured to the reported pace, which leaves out
        # what is not work, such as the transfer of inputs.
        self._overhead = 1.0

    @property
    def is_reported(self) -> bool:
        """Whether the server has reported a pace."""
        return self._reported is not None

    def report(self, pace: float | None, now: float) -> None:
        """Records the pace of an answer, None if it states none."""
        if pace is not None:
            self._reported = pace
            self._reported_at = now

    def begin_call(self, expected_s: float, now: float) -> None:
        """Records the start of a call.

        Args:
            expected_s: Expected duration at pace 1, in seconds.
            now: Monotonic time in seconds.
        """
        self._call_pace = self._next_pace(now)
        self._expected_s = expected_s
        self.call_at = now

    def end_call(
        self, nominal_s: float, now: float, reported: float | None = None
    ) -> None:
        """Records the end of a call and updates the moving average.

        Args:
            nominal_s: Expected duration, at pace 1, of a call with the pieces
                that have a result; 0 if none has, which leaves the pace as is.
            now: Monotonic time in seconds.
            reported: Pace that the answer states, None without one.
        """
        if nominal_s and self.call_at is not None:
            measured = max(MIN_PACE, (now - self.call_at) / nominal_s)
            self.mean += PACE_WEIGHT * (measured - self.mean)
            if reported is not None:
                self._record_overhead(measured, reported)
        self.report(reported, now)
        self.call_at = None

    def abort_call(self) -> None:
        """Records that no call runs, if one failed."""
        self.call_at = None

    def at(self, now: float) -> float:
        """Returns the expected pace of the next call.

        A running call that exceeds its expected duration raises the pace before
        it ends.
        """
        pace = self._next_pace(now)
        if self.call_at is None:
            return pace
        return max(pace, (now - self.call_at) / self._expected_s)

    def free_in_s(self, now: float) -> float:
        """Returns the estimated seconds until the running call ends."""
        if self.call_at is None:
            return 0.0
        # The average changes only at the end of a call.
        ends_at = self.call_at + self._expected_s * self._call_pace
        return max(0.0, ends_at - now)

    def likely_free_in_s(self, now: float) -> float:
        """Returns the same, but not 0 for a call that is overdue.

        Groups that wait for this server would otherwise wait for one that has
        stopped answering.
        """
        free_in_s = self.free_in_s(now)
        if self.call_at is None or free_in_s > 0.0:
            return free_in_s
        return OVERDUE_SHARE * (now - self.call_at)

    def _next_pace(self, now: float) -> float:
        if self._reported is None:
            return self.mean
        age_s = max(0.0, now - self._reported_at)
        weight = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
        expected = self._overhead * self._reported
        return self.mean + weight * (expected - self.mean)

    def _record_overhead(self, measured: float, reported: float) -> None:
        """Updates the ratio of measured to reported paces.

        The pace during a call is taken as the mean of the reports at its start
        and at its end.
        """
        earlier = reported if self._reported is None else self._reported
        ratio = 2.0 * measured / (earlier + reported)
        ratio = min(MAX_OVERHEAD, max(1.0 / MAX_OVERHEAD, ratio))
        self._overhead += OVERHEAD_WEIGHT * (ratio - self._overhead)


def new_server_pace() -> ServerPace:
    """Returns the pace of a server that has had no call."""
    return ServerPace()
