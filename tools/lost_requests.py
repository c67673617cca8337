"""Shows where the requests of a bench run spent their time, from VM logs.

Reads the output of ``fleetbench run SITE DAY --log all`` and prints rows by
route, outcome and stage pool: the number of requests, the time that the stages
and the server took, and the stage time that the gatherers predicted.

    python -m tools.lost_requests day.log
"""

import collections
from collections.abc import Iterable, Iterator
import sys
from typing import Any

from savoryspar import log

Line = dict[str, Any]


class Trace:
    """The log lines of one attempt.

    Attributes:
        lines: Structured lines in the order in which they were written.
    """

    __slots__ = ("lines",)

    def __init__(self) -> None:
        self.lines: list[Line] = []

    def first(self, event: str) -> Line | None:
        """Returns the first line of an event, or None."""
        return next((x for x in self.lines if x["event"] == event), None)

    def between(self, event: str, later: str) -> float | None:
        """Returns the seconds between the first lines of two events."""
        begin, end = self.first(event), self.first(later)
        return end["at"] - begin["at"] if begin and end else None

    @property
    def outcome(self) -> str:
        """Reason of a failure, ``late``, ``in time`` or another outcome."""
        failed = self.first("request failed")
        if failed:
            return failed["reason"]
        first = self.first("first event")
        if first:
            is_late = first["after_s"] > first["objective_s"]
            return "late" if is_late else "in time"
        answered = self.first("request answered")
        return answered["outcome"] if answered else "no end"

    def stages(self) -> Iterator[tuple[str, float, float]]:
        """Yields pool, predicted and actual time in seconds of each stage.

        A stage ends at the attempt's next line that depends on its results.
        """
        for number, line in enumerate(self.lines):
            if line["event"] != "stage submitted":
                continue
            later = next(
                (
                    x["at"]
                    for x in self.lines[number + 1 :]
                    if x["event"] in ("server chosen", "request failed")
                    or (
                        x["event"] in ("stage submitted", "stage refused")
                        and x["stage"] > line["stage"]
                    )
                ),
                None,
            )
            if later is not None:
                yield line["pool"], line["wait_s"], later - line["at"]


def read_traces(lines: Iterable[str]) -> list[Trace]:
    """Returns the admitted attempts of a log; each is served by one VM."""
    traces: collections.defaultdict[str, Trace]
    traces = collections.defaultdict(Trace)
    for line in log.read_lines(lines):
        # A "stage call" line lists several requests, not a single one.
        if "request" in line and line["event"] != "stage call":
            traces[line["request"]].lines.append(line)
    return [
        trace for trace in traces.values() if trace.first("request admitted")
    ]


def rows(traces: Iterable[Trace]) -> Iterator[list[str]]:
    """Yields the rows of the table as cells, starting with the header."""
    yield [
        "route", "end", "count", "pool", "stages", "predicted", "taken",
        "p90", "server",
    ]  # fmt: skip
    groups: collections.defaultdict[tuple[str, str], list[Trace]]
    groups = collections.defaultdict(list)
    for trace in traces:
        admitted = trace.first("request admitted")
        groups[admitted["route"], trace.outcome].append(trace)
    for (route, outcome), found in sorted(groups.items()):
        by_pool = collections.defaultdict(list)
        for trace in found:
            for pool, predicted_s, actual_s in trace.stages():
                by_pool[pool].append((predicted_s, actual_s))
        server_s = [t.between("server chosen", "first event") for t in found]
        server = _mean([s for s in server_s if s is not None])
        for pool, times in sorted(by_pool.items()) or [("", [])]:
            taken = sorted(actual_s for _, actual_s in times)
            yield [
                route,
                outcome,
                str(len(found)),
                pool,
                str(len(times)),
                _mean([predicted_s for predicted_s, _ in times]),
                _mean(taken),
                f"{taken[int(0.9 * len(taken))]:.2f}" if taken else "",
                server,
            ]


def _mean(values: list[float]) -> str:
    return f"{sum(values) / len(values):.2f}" if values else ""


def main(paths: list[str]) -> int:
    """Prints the table of each log."""
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as lines:
            for cells in rows(read_traces(lines)):
                print(
                    f"{cells[0]:10.10} {cells[1]:18.18}"
                    + " ".join(f"{cell:>9.9}" for cell in cells[2:])
                )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
