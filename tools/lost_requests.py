"""Tells where the requests of a day lost their time, from the VMs' logs.

Reads the output of ``fleetbench run SITE DAY --log all`` and prints one row
for each route and end of its requests: how many, how long the stages and the
server took, and what the gatherers had predicted.

    python -m tools.lost_requests day.log
"""

import collections
from collections.abc import Iterable, Iterator
import sys
from typing import Any

from savoryspar import log

Line = dict[str, Any]


class Trace:
    """What the logs say of one attempt.

    Attributes:
        lines: Its lines in the order in which they were written.
    """

    __slots__ = ("lines",)

    def __init__(self) -> None:
        self.lines: list[Line] = []

    def first(self, event: str) -> Line | None:
        """Returns the first line of an event, None without one."""
        return next((x for x in self.lines if x["event"] == event), None)

    def between(self, event: str, later: str) -> float | None:
        """Returns the time from the first line of one event to another's."""
        begin, end = self.first(event), self.first(later)
        return end["at"] - begin["at"] if begin and end else None

    @property
    def end(self) -> str:
        """How the attempt ended, as one word or two."""
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
        """Yields pool, predicted and taken time of each stage.

        The end of a stage is the next line of the attempt that needs it.
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
    """Returns the attempts of a log; each is served by one VM."""
    traces: collections.defaultdict[str, Trace]
    traces = collections.defaultdict(Trace)
    for line in log.read_lines(lines):
        # A line of a call names the requests of all its pieces.
        if "request" in line and line["event"] != "stage call":
            traces[line["request"]].lines.append(line)
    return [
        trace for trace in traces.values() if trace.first("request admitted")
    ]


def rows(traces: Iterable[Trace]) -> Iterator[list[str]]:
    """Yields the cells of the table, the heading first."""
    yield [
        "route", "end", "count", "pool", "stages", "predicted", "taken",
        "p90", "server",
    ]  # fmt: skip
    groups: collections.defaultdict[tuple[str, str], list[Trace]]
    groups = collections.defaultdict(list)
    for trace in traces:
        admitted = trace.first("request admitted")
        groups[admitted["route"], trace.end].append(trace)
    for (route, end), found in sorted(groups.items()):
        by_pool = collections.defaultdict(list)
        for trace in found:
            for pool, predicted_s, taken_s in trace.stages():
                by_pool[pool].append((predicted_s, taken_s))
        server_s = [t.between("server chosen", "first event") for t in found]
        server = _mean([s for s in server_s if s is not None])
        for pool, times in sorted(by_pool.items()) or [("", [])]:
            taken = sorted(taken_s for _, taken_s in times)
            yield [
                route,
                end,
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
