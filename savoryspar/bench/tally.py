"""Counts and latency histograms of answers, by class of work."""

from collections.abc import Iterable, Mapping
from typing import Any

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS = 1e6
COUNTS = ("sent", "whole", "on_time", "failed", "tokens", "late_starts")
HISTOGRAMS = ("latency", "first_token", "gap")
LATE_START_S = 0.02
"""A request started later than this after its intended start is late."""
MAX_LATE_SHARE = 0.01
"""Above this share of late starts, the load generator was the bottleneck."""
MAX_CPU_SHARE = 0.9


class Histogram:
    """Durations in seconds, stored as an HDR histogram of microseconds."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: histogram.HdrHistogram | None = None

    @property
    def count(self) -> int:
        """Number of recorded durations."""
        return self._counts.total_count if self._counts else 0

    def record(self, seconds: float) -> None:
        """Records a duration; durations above 120 s are recorded as 120 s."""
        value = int(seconds * MICROSECONDS)
        self._get_or_create().record_value(
            min(max(value, LOWEST_US), HIGHEST_US)
        )

    def percentile(self, percent: float) -> float:
        """Returns a percentile in seconds, 0 if the histogram is empty."""
        if not self._counts:
            return 0.0
        value = self._counts.get_value_at_percentile(percent)
        return value / MICROSECONDS

    def add(self, other: "Histogram") -> None:
        """Adds the durations of another histogram."""
        if other._counts:
            self._get_or_create().add(other._counts)

    def to_text(self) -> str:
        """Returns the histogram in the HDR log encoding, empty if unused."""
        return self._counts.encode().decode() if self._counts else ""

    def _get_or_create(self) -> histogram.HdrHistogram:
        if self._counts is None:
            self._counts = histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
            )
        return self._counts


def decode_histogram(text: str) -> Histogram:
    """Decodes a histogram encoded by ``Histogram.to_text``."""
    decoded = Histogram()
    if text:
        decoded._counts = histogram.HdrHistogram.decode(text)
    return decoded


class WorkClass:
    """Properties shared by the requests that are counted together.

    Attributes:
        workspace: Workspace that sends the requests.
        pipeline: Pipeline that the requests call.
        rank: Rank of the requests.
        deadline_ms: End-to-end deadline in milliseconds.
    """

    __slots__ = ("deadline_ms", "pipeline", "rank", "workspace")

    def __init__(
        self, workspace: str, pipeline: str, rank: str, deadline_ms: int
    ):
        self.workspace = workspace
        self.pipeline = pipeline
        self.rank = rank
        self.deadline_ms = deadline_ms

    @property
    def key(self) -> tuple[str, str, str, int]:
        """The attributes as a dictionary key."""
        return self.workspace, self.pipeline, self.rank, self.deadline_ms


class Tally:
    """Counts and latencies of one class of work.

    Attributes:
        sent: Requests started.
        whole: Requests with a complete, successful answer.
        on_time: Requests with such an answer within the deadline, counted
            from the intended start.
        refused: Requests answered with a problem document, by run state.
        failed: Requests without a usable answer, for example because the
            connection failed or broke.
        tokens: Tokens received.
        late_starts: Requests that the load generator started late.
        latency: Time from the intended start to the end of the answer.
        first_token: Time from the intended start to the first token.
        gap: Time between the arrivals of two tokens of one stream.
    """

    __slots__ = (*COUNTS, *HISTOGRAMS, "refused")

    def __init__(self) -> None:
        for name in COUNTS:
            setattr(self, name, 0)
        for name in HISTOGRAMS:
            setattr(self, name, Histogram())
        self.refused: dict[str, int] = {}

    @property
    def attainment(self) -> float:
        """Share of the sent requests that were completely answered on time."""
        return self.on_time / self.sent if self.sent else 0.0

    def add(self, other: "Tally") -> None:
        """Adds the counts and latencies of another tally."""
        for name in COUNTS:
            setattr(self, name, getattr(self, name) + getattr(other, name))
        for name in HISTOGRAMS:
            getattr(self, name).add(getattr(other, name))
        for state, count in other.refused.items():
            self.refused[state] = self.refused.get(state, 0) + count


class Report:
    """The tallies of one load run.

    Attributes:
        tallies: Tallies by key of the class of work.
        duration_s: Planned duration of the arrivals.
        cpu_share: CPU seconds per second of the busiest load process.
    """

    __slots__ = ("cpu_share", "duration_s", "tallies")

    def __init__(self, duration_s: float):
        self.duration_s = duration_s
        self.cpu_share = 0.0
        self.tallies: dict[tuple[str, str, str, int], Tally] = {}

    def tally(self, work: WorkClass) -> Tally:
        """Returns the tally of a class of work, created on first use."""
        return self.tallies.setdefault(work.key, Tally())

    def total(
        self, workspace: str = "", pipeline: str = "", rank: str = ""
    ) -> Tally:
        """Returns the sum of the matching tallies.

        Args:
            workspace: Workspace to match; empty matches all.
            pipeline: Pipeline to match; empty matches all.
            rank: Rank to match; empty matches all.
        """
        wanted = (workspace, pipeline, rank)
        total = Tally()
        for key, tally in self.tallies.items():
            if all(w in ("", k) for w, k in zip(wanted, key[:3], strict=True)):
                total.add(tally)
        return total

    def is_bottleneck(self) -> bool:
        """Returns whether the load generator was too slow for the load.

        It is too slow if it starts too many requests late, or if one of its
        processes is so busy that it records arrival times late.
        """
        total = self.total()
        is_late = total.late_starts > total.sent * MAX_LATE_SHARE
        return is_late or self.cpu_share > MAX_CPU_SHARE

    def add(self, other: "Report") -> None:
        """Adds the report of another load process of the same run."""
        self.cpu_share = max(self.cpu_share, other.cpu_share)
        for key, tally in other.tallies.items():
            self.tallies.setdefault(key, Tally()).add(tally)

    def to_document(self) -> dict[str, Any]:
        """Returns the report as a JSON object."""
        return {
            "duration_s": self.duration_s,
            "cpu_share": self.cpu_share,
            "tallies": [
                _tally_document(key, tally)
                for key, tally in self.tallies.items()
            ],
        }


def decode_report(document: Mapping[str, Any]) -> Report:
    """Decodes a report encoded by ``Report.to_document``."""
    report = Report(document["duration_s"])
    report.cpu_share = document["cpu_share"]
    for item in document["tallies"]:
        tally = report.tally(WorkClass(*item["work"]))
        tally.refused = item["refused"]
        for name in COUNTS:
            setattr(tally, name, item[name])
        for name in HISTOGRAMS:
            setattr(tally, name, decode_histogram(item[name]))
    return report


def merge_reports(reports: Iterable[Report]) -> Report:
    """Merges the reports of all load processes of one run into the first."""
    first, *others = reports
    for report in others:
        first.add(report)
    return first


def _tally_document(
    key: tuple[str, str, str, int], tally: Tally
) -> dict[str, Any]:
    return {
        "work": list(key),
        "refused": tally.refused,
        **{name: getattr(tally, name) for name in COUNTS},
        **{name: getattr(tally, name).to_text() for name in HISTOGRAMS},
    }
