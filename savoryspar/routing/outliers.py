"""Ejects servers that fail or are slow compared with their pool."""

from collections.abc import Sequence
import statistics

ERROR_WEIGHT = 0.1
LATENCY_WEIGHT = 0.2
MIN_SAMPLES = 8
MAX_STREAK = 4
"""Failures in a row that eject while most of the pool answers."""
ERROR_MARGIN = 0.3
"""Share of failed calls above the pool's median that ejects."""
LATENCY_FACTOR = 3.0
"""Latency as a factor of the pool's median that ejects."""
LATENCY_MARGIN_S = 0.05
"""Smallest excess latency that ejects; below it a factor says little."""
FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 30.0
PROBES_TO_RETURN = 3


class Health:
    """How the calls to one server ended.

    Attributes:
        latency_s: Recent latency in seconds, 0 when none is known.
        error_rate: Recent share of failed calls.
        streak: Failed calls in a row.
        samples: Calls since the server was last taken in.
        is_ejected: Whether it gets nothing but probes.
        is_unreachable: Whether it refused a connection.
        probe_at: When the next probe may start.
        is_probing: Whether a probe is running.
    """

    __slots__ = (
        "_backoff_s",
        "_probes_passed",
        "error_rate",
        "is_ejected",
        "is_probing",
        "is_unreachable",
        "latency_s",
        "probe_at",
        "samples",
        "streak",
    )

    def __init__(self) -> None:
        self._backoff_s = FIRST_BACKOFF_S
        self.is_ejected = False
        self.is_unreachable = False
        self.is_probing = False
        self.probe_at = 0.0
        self._take_in()

    @property
    def is_out(self) -> bool:
        """Whether it gets nothing but probes."""
        return self.is_ejected or self.is_unreachable

    def may_probe(self, now: float) -> bool:
        """Tells whether a probe may start."""
        return self.is_out and not self.is_probing and now >= self.probe_at

    def record(self, is_ok: bool, latency_s: float, now: float) -> None:
        """Records the end of a call."""
        self.streak = 0 if is_ok else self.streak + 1
        self.error_rate += ERROR_WEIGHT * ((not is_ok) - self.error_rate)
        if is_ok:
            weight = LATENCY_WEIGHT if self.latency_s else 1.0
            self.latency_s += weight * (latency_s - self.latency_s)
        self.samples += 1
        if self.is_probing:
            self._end_probe(is_ok, now)

    def eject(self, now: float) -> None:
        """Takes the server out until probes pass."""
        self.is_ejected = True
        self._wait(now)

    def refuse(self, now: float) -> None:
        """Takes the server out because it refused a connection."""
        self.is_probing = False
        if not self.is_unreachable or now >= self.probe_at:
            self._wait(now)
        self.is_unreachable = True

    def cancel_probe(self) -> None:
        """Ends a probe that says nothing."""
        self.is_probing = False

    def _end_probe(self, is_ok: bool, now: float) -> None:
        self.is_probing = False
        if not is_ok:
            self._wait(now)
            return
        self._probes_passed += 1
        if self.is_unreachable or self._probes_passed >= PROBES_TO_RETURN:
            self.is_ejected = self.is_unreachable = False
            self._backoff_s = max(FIRST_BACKOFF_S, self._backoff_s / 4.0)
            self._take_in()

    def _wait(self, now: float) -> None:
        self.probe_at = now + self._backoff_s
        self._backoff_s = min(self._backoff_s * 2.0, MAX_BACKOFF_S)
        self._probes_passed = 0

    def _take_in(self) -> None:
        self.latency_s = 0.0
        self.error_rate = 0.0
        self.samples = 0
        self.streak = 0
        self._probes_passed = 0


def judge(
    health: Health, pool: Sequence[Health], max_share: float, now: float
) -> bool:
    """Ejects a server that is an outlier of its pool.

    Args:
        health: The server's.
        pool: That of every server of the pool, this one included.
        max_share: Largest share of the pool that may be ejected.
        now: Monotonic time in seconds.

    Returns:
        Whether it was ejected.
    """
    ejected = sum(other.is_ejected for other in pool)
    if health.is_out or ejected + 1 > max_share * len(pool):
        return False
    if not is_outlier(health, pool):
        return False
    health.eject(now)
    return True


def is_outlier(health: Health, pool: Sequence[Health]) -> bool:
    """Tells whether a server fails more, or is slower, than its pool."""
    others = [h for h in pool if h is not health and not h.is_out]
    known = [h for h in others if h.samples]
    if not known or len(known) < len(others) / 2:
        return False
    if health.streak >= MAX_STREAK and not statistics.median(
        h.streak for h in known
    ):
        return True
    known = [h for h in known if h.samples >= MIN_SAMPLES]
    if health.samples < MIN_SAMPLES or len(known) < len(others) / 2:
        return False
    errors = statistics.median(h.error_rate for h in known)
    if health.error_rate > errors + ERROR_MARGIN:
        return True
    latency_s = statistics.median(h.latency_s for h in known)
    return (
        health.latency_s > LATENCY_FACTOR * latency_s
        and health.latency_s > latency_s + LATENCY_MARGIN_S
    )
