"""Lets the suspects of a pool run one at a time."""

import math

SETTLE_S = 0.5
"""Time after the first event of a trial's answer from which the next trial may
begin: a part that crashes servers does so when they begin to answer."""
CRASH_HOLD_S = 0.3
"""Time after the crash of a trial until the next one may begin; the report of
the crash reaches the other VMs in this time and may decide on them."""
TRIAL_TTL_S = 5.0
"""Time after which a trial whose VM reports nothing no longer blocks others."""


class TrialLane:
    """The trial that runs in a pool; construct with ``new_trial_lane``."""

    __slots__ = ("_ends_at", "_holder")

    def __init__(self) -> None:
        self._holder: object = None
        self._ends_at = -math.inf

    def is_free(self, now: float) -> bool:
        """Returns whether a trial may begin."""
        return now >= self._ends_at

    def begin(self, holder: object, now: float) -> float:
        """Begins a trial; the lane must be free.

        Returns:
            The time by which it ends at the latest; monotonic seconds.
        """
        self._holder = holder
        self._ends_at = now + TRIAL_TTL_S
        return self._ends_at

    def is_held_by(self, holder: object) -> bool:
        """Returns whether the newest trial is that of a holder."""
        return holder == self._holder

    def record_answer_start(self, holder: object, now: float) -> float | None:
        """Records the first event of a trial's answer.

        Returns:
            The time at which the lane is free, None if the trial has none.
        """
        if holder != self._holder:
            return None
        self._ends_at = min(self._ends_at, now + SETTLE_S)
        return self._ends_at

    def end(self, holder: object, has_crashed: bool, now: float) -> None:
        """Ends a trial; that of another holder goes on."""
        if holder == self._holder:
            self._holder = None
            self._ends_at = now + CRASH_HOLD_S if has_crashed else now


def new_trial_lane() -> TrialLane:
    """Returns a lane without a trial."""
    return TrialLane()
