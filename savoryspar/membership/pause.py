"""Detection of pauses of the process."""

CHECK_INTERVAL_S = 0.1
"""Time between two pause checks."""

LAG_DECAY = 0.9


class PauseWatcher:
    """Detects pauses by comparing when a periodic check ran and was due.

    Attributes:
        paused_at: When the last pause was detected, minus infinity if never.
        pauses: Number of pauses detected.
        lag_s: Recent delay of the checks; decays over the next checks.
    """

    __slots__ = (
        "_checked_at",
        "_limit_s",
        "_offset_s",
        "lag_s",
        "paused_at",
        "pauses",
    )

    def __init__(self, limit_s: float, now: float, wall_now: float):
        self._limit_s = limit_s
        self._checked_at = now
        self._offset_s = wall_now - now
        self.paused_at = float("-inf")
        self.pauses = 0
        self.lag_s = 0.0

    def check(self, now: float, wall_now: float) -> bool:
        """Records the time and returns whether the process was paused.

        Args:
            now: Monotonic time in seconds, which may stop in a suspended VM.
            wall_now: Wall clock time in seconds, which does not stop.
        """
        late_s = max(0.0, now - self._checked_at - CHECK_INTERVAL_S)
        self.lag_s = max(late_s, self.lag_s * LAG_DECAY)
        is_paused = not self.is_current(now, wall_now)
        self._checked_at = now
        self._offset_s = wall_now - now
        if is_paused:
            self.paused_at = now
            self.pauses += 1
        return is_paused

    def is_current(self, now: float, wall_now: float | None = None) -> bool:
        """Returns whether no pause since the last check is detectable.

        Without ``wall_now``, only the monotonic clock is compared.
        """
        if now - self._checked_at > self._limit_s:
            return False
        if wall_now is None:
            return True
        return abs(wall_now - now - self._offset_s) <= self._limit_s
