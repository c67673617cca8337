"""Notices that the process stood still."""

DUE_S = 0.1
"""Time between two checks."""

FADE = 0.9


class PauseWatcher:
    """Compares when a periodic check ran with when it was due.

    Attributes:
        paused_at: When the last pause was noticed, minus infinity if never.
        pauses: Number of pauses noticed.
        lag_s: How late checks have run lately; it fades within a few checks.
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
        """Records the time and tells whether the process stood still.

        Args:
            now: Monotonic time, which may not advance in a suspended VM.
            wall_now: Wall clock time, which does.
        """
        late_s = max(0.0, now - self._checked_at - DUE_S)
        self.lag_s = max(late_s, self.lag_s * FADE)
        is_paused = not self.is_current(now, wall_now)
        self._checked_at = now
        self._offset_s = wall_now - now
        if is_paused:
            self.paused_at = now
            self.pauses += 1
        return is_paused

    def is_current(self, now: float, wall_now: float | None = None) -> bool:
        """Tells whether no pause since the last check is visible."""
        if now - self._checked_at > self._limit_s:
            return False
        if wall_now is None:
            return True
        return abs(wall_now - now - self._offset_s) <= self._limit_s
