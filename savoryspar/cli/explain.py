"""``savoryspar explain``."""

from collections.abc import Iterable, Iterator
import itertools
import sys
from typing import Any

from cleo.commands import command
from cleo.helpers import argument, option

from savoryspar import log
from savoryspar.cli import exit_codes

HIDDEN = frozenset({"at", "node", "event", "request", "left_out"})
"""Fields that a line shows in its own place, or not at all."""
BELIEF_S = 5.0
"""Changes of belief this long before the request are shown as well."""


class ExplainCommand(command.Command):
    """Tell the story of one request from the logs of one or many VMs."""

    name = "explain"
    description = "Tell the story of a request from structured logs."
    arguments = [
        argument("id", "Attempt ID of the request."),
        argument("files", "Log files; standard input without any.", True, True),
    ]
    options = [
        option("beliefs", "b", "Show changes of belief around the request.")
    ]
    help = "Example: savoryspar explain 9c41d07be2a35f68 vm-1.log vm-2.log"

    def handle(self) -> int:
        """Prints the lines of the request by VM and time."""
        lines = [*_read(self.argument("files"))]
        request = self.argument("id")
        story = [line for line in lines if _touches(line, request)]
        if not story:
            self.line_error(f"no line names the request {request!r}")
            return exit_codes.FAILED
        if self.option("beliefs"):
            story += _beliefs(lines, story)
        # Monotonic clocks of different VMs cannot be compared, so each VM's
        # part of the story stands alone, the one that took the request first.
        for node, part in itertools.groupby(
            sorted(story, key=lambda x: (_order(x, story), x["at"])),
            key=lambda x: x["node"],
        ):
            self.line(f"{node}")
            for line in part:
                self.line(f"  {line['at']:12.3f}  {_text(line)}")
        return exit_codes.OK


def _read(paths: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yields the structured lines of files."""
    for path in [*paths] or ["-"]:
        file = sys.stdin if path == "-" else open(path, encoding="utf-8")  # noqa: SIM115
        with file:
            yield from log.read_lines(file)


def _touches(line: dict[str, Any], request: str) -> bool:
    return request in str(line.get("request", "")).split(",")


def _beliefs(
    lines: Iterable[dict[str, Any]], story: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Returns changes of belief of the same VMs around the request."""
    spans: dict[str, list[float]] = {}
    for line in story:
        spans.setdefault(line["node"], []).append(line["at"])
    return [
        line
        for line in lines
        if "request" not in line
        and line["node"] in spans
        and min(spans[line["node"]]) - BELIEF_S
        <= line["at"]
        <= max(spans[line["node"]])
    ]


def _order(line: dict[str, Any], story: list[dict[str, Any]]) -> tuple:
    """Returns a key that puts the VM that took the request first."""
    took = {x["node"] for x in story if x["event"] == "request admitted"}
    return (line["node"] not in took, line["node"])


def _text(line: dict[str, Any]) -> str:
    fields = " ".join(
        f"{key}={value}" for key, value in line.items() if key not in HIDDEN
    )
    return f"{line['event']}: {fields}"
