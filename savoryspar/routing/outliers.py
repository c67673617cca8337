"""Outlier ejection: servers that fail or are slow compared with their pool."""

from collections.abc import Sequence
import statistics

ERROR_WEIGHT = 0.1
"""Weight of a new call in the mean error rate."""
LATENCY_WEIGHT = 0.2
"""Weight of a new call in the mean latency."""
MIN_SAMPLES = 8
MAX_CONSECUTIVE_FAILURES = 4
"""Consecutive failures that eject a server while most of its pool succeeds."""
ERROR_MARGIN = 0.3
"""Excess over the pool's median error rate above which a server is ejected."""
LATENCY_FACTOR = 3.0
"""Ratio of latency to the pool's median from which a server is ejected."""
LATENCY_MARGIN_S = 0.05
"""Minimum excess latency for ejection; the ratio is meaningless below it."""
FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 30.0
PROBES_TO_READMIT = 3
"""Successful probes after which an ejected server receives calls again."""


class Health:
    """Health of one server, from the outcomes of its calls.

    Attributes:
        latency_s: Recent mean latency in seconds, 0 if unknown.
        error_rate: Recent share of failed calls.
        consecutive_failures: Number of consecutive failed calls.
        samples: Calls since startup or since the server was readmitted.
        is_ejected: Whether it is ejected and receives only probes.
        is_unreachable: Whether it refused a connection and receives only
            probes.
        probe_at: Earliest time of the next probe.
        is_probing: Whether a probe is running.
    """

    __slots__ = (
        "_backoff_s",
        "_probes_passed",
        "consecutive_failures",
        "error_rate",
        "is_ejected",
        "is_probing",
        "is_unreachable",
        "latency_s",
        "probe_at",
        "samples",
    )

    def __init__(self) -> None:
        self._backoff_s = FIRST_BACKOFF_S
        self.is_ejected = False
        self.is_unreachable = False
        self.is_probing = False
        self.probe_at = 0.0
        self._reset()

    @property
    def is_out(self) -> bool:
        """Whether the server is ejected or unreachable."""
        return self.is_ejected or self.is_unreachable

    def may_probe(self, now: float) -> bool:
        """Returns whether a probe may start."""
        return self.is_out and not self.is_probing and now >= self.probe_at

    def record(self, is_ok: bool, latency_s: float, now: float) -> None:
        """Records the outcome and latency of a call."""
        self.consecutive_failures = (
            0 if is_ok else self.consecutive_failures + 1
        )
        self.error_rate += ERROR_WEIGHT * ((not is_ok) - self.error_rate)
        if is_ok:
            weight = LATENCY_WEIGHT if self.latency_s else 1.0
            self.latency_s += weight * (latency_s - self.latency_s)
        self.samples += 1
        if self.is_probing:
            self._end_probe(is_ok, now)

    def eject(self, now: float) -> None:
        """Ejects the server until enough probes succeed."""
        self.is_ejected = True
        self._back_off(now)

    def mark_unreachable(self, now: float) -> None:
        """Marks the server as unreachable after it refused a connection."""
        self.is_probing = False
        if not self.is_unreachable or now >= self.probe_at:
            self._back_off(now)
        self.is_unreachable = True

    def cancel_probe(self) -> None:
        """Ends a probe without a result."""
        self.is_probing = False

    def _end_probe(self, is_ok: bool, now: float) -> None:
        self.is_probing = False
        if not is_ok:
            self._back_off(now)
            return
        self._probes_passed += 1
        if self.is_unreachable or self._probes_passed >= PROBES_TO_READMIT:
            self.is_ejected = self.is_unreachable = False
            self._backoff_s = max(FIRST_BACKOFF_S, self._backoff_s / 4.0)
            self._reset()

    def _back_off(self, now: float) -> None:
        self.probe_at = now + self._backoff_s
        self._backoff_s = min(self._backoff_s * 2.0, MAX_BACKOFF_S)
        self._probes_passed = 0

    def _reset(self) -> None:
        self.latency_s = 0.0
        self.error_rate = 0.0
        self.samples = 0
        self.consecutive_failures = 0
        self._probes_passed = 0


def eject_if_outlier(
    health: Health, pool: Sequence[Health], max_share: float, now: float
) -> bool:
    """Ejects a server if it is an outlier of its pool.

    Args:
        health: Health of the server.
        pool: Health of every server of the pool, this one included.
        max_share: Largest share of the pool that may be ejected.
        now: Monotonic time in seconds.

    Returns:
        Whether the server was ejected.
    """
    ejected = sum(other.is_ejected for other in pool)
    if health.is_out or ejected + 1 > max_share * len(pool):
        return False
    if not is_outlier(health, pool):
        return False
    health.eject(now)
    return True


def is_outlier(health: Health, pool: Sequence[Health]) -> bool:
    """Returns whether a server fails more, or is slower, than its pool."""
    others = [h for h in pool if h is not health and not h.is_out]
    sampled = [h for h in others if h.samples]
    if not sampled or len(sampled) < len(others) / 2:
        return False
    if (
        health.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
        and not statistics.median(h.consecutive_failures for h in sampled)
    ):
        return True
    sampled = [h for h in sampled if h.samples >= MIN_SAMPLES]
    if health.samples < MIN_SAMPLES or len(sampled) < len(others) / 2:
        return False
    errors = statistics.median(h.error_rate for h in sampled)
    if health.error_rate > errors + ERROR_MARGIN:
        return True
    latency_s = statistics.median(h.latency_s for h in sampled)
    return (
        health.latency_s > LATENCY_FACTOR * latency_s
        and health.latency_s > latency_s + LATENCY_MARGIN_S
    )
