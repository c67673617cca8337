"""Decides which requests an entry VM that stops still passes on.

A request that is refused has not run, and another VM serves it at once. A
request that is passed on and does not end before the process costs its caller
more, and one that must not be repeated cannot be sent again.
"""

import collections
import math

from savoryspar import fleet
from savoryspar.gateway import model

ANSWER_MARGIN_S = 0.2
"""Time before the end of the process at which the last deadlines expire; a
backend server's own 504 arrives up to 0.1 s after the deadline."""
STREAM_ACCEPT_S = 2.5
"""Time after SIGTERM during which streams are accepted whose deadline is after
the end of the process."""
PLAIN_DRAIN_OBJECTIVES = 3.0
"""Least time for a request that may be repeated, as a multiple of the objective
of its route."""
RECENT_DURATIONS = 100
MIN_DURATIONS = 5
EXPECTED_SHARE = 0.95
"""Share of the recent requests of a route that ended within the time that is
expected of the next one."""


class Durations:
    """Recent durations of the requests that succeeded, by route."""

    __slots__ = ("_recent",)

    def __init__(self) -> None:
        self._recent: dict[str, collections.deque[float]] = {}

    def record(self, route: str, duration_s: float) -> None:
        """Records the time from the admission of a request to its end."""
        recent = self._recent.setdefault(
            route, collections.deque(maxlen=RECENT_DURATIONS)
        )
        recent.append(duration_s)

    def expected_s(self, route: str) -> float:
        """Returns the expected duration; infinite if it is not known."""
        recent = sorted(self._recent.get(route, ()))
        if len(recent) < MIN_DURATIONS:
            return math.inf
        return recent[math.ceil(EXPECTED_SHARE * len(recent)) - 1]


class Drain:
    """The end of this process, and what can be finished until then.

    Attributes:
        durations: Durations of requests, which are recorded at all times.
        started_at: When the stop began, None before; in monotonic seconds.
        ends_at: When the process ends, in monotonic seconds.
    """

    __slots__ = ("durations", "ends_at", "started_at")

    def __init__(self) -> None:
        self.durations = Durations()
        self.started_at: float | None = None
        self.ends_at = math.inf

    def start(self, now: float, ends_at: float) -> None:
        """Begins to refuse requests that do not end in time."""
        self.started_at = now
        self.ends_at = ends_at

    def check(self, job: model.Job, now: float) -> None:
        """Checks that a request may be passed on, and limits its deadline.

        A request that may have run is passed on again while time is left.

        Args:
            job: The request.
            now: Monotonic time in seconds.

        Raises:
            GatewayError: It might not end before the process.
        """
        if self.started_at is None:
            return
        last_at = self.ends_at - ANSWER_MARGIN_S
        self._limit(job, last_at)
        if not job.is_shortened:
            return
        needed_s = 0.0 if job.sends else self._needed_s(job)
        if max(now, job.admitted_at + needed_s) <= last_at:
            return
        need = f"may take {needed_s:.1f} s"
        if needed_s == math.inf:
            need = "is not passed on if its deadline is later"
        raise model.stopping_refusal(
            f"this entry VM ends in {self.ends_at - now:.1f} s; a"
            f" {job.route.kind.value} request of route {job.route.name!r}"
            f" {need}"
        )

    def _limit(self, job: model.Job, last_at: float) -> None:
        """Moves a deadline after the end of the process to before it.

        A stream keeps its deadline: it is relayed for as long as possible.
        """
        if job.deadline_at <= last_at:
            return
        job.is_shortened = True
        job.abandon_at = min(job.abandon_at, last_at)
        if job.route.kind is not fleet.RouteKind.STREAM:
            job.deadline_at = last_at

    def _needed_s(self, job: model.Job) -> float:
        """Returns the time after which a request has surely ended."""
        route = job.route
        if route.kind is fleet.RouteKind.ONCE:
            return math.inf
        if route.kind is fleet.RouteKind.STREAM:
            is_early = job.admitted_at - self.started_at <= STREAM_ACCEPT_S
            expected_s = self.durations.expected_s(route.name)
            return expected_s if is_early else math.inf
        least_s = PLAIN_DRAIN_OBJECTIVES * route.objective_s
        expected_s = self.durations.expected_s(route.name)
        return max(least_s, expected_s if expected_s < math.inf else 0.0)
