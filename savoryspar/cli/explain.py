"""``savoryspar explain``."""

from collections.abc import Iterable, Iterator
import itertools
import sys
from typing import Any

from cleo.commands import command
from cleo.helpers import argument, option

from savoryspar import log
from savoryspar.cli import exit_codes

HIDDEN_FIELDS = frozenset({"at", "node", "event", "request", "left_out"})
"""Fields that are printed elsewhere in the output, or not at all."""
STATE_LOOKBACK_S = 5.0
"""State changes up to this long before the request are shown as well."""


class ExplainCommand(command.Command):
    """Print the log lines of one request from the logs of one or more VMs."""

    name = "explain"
    description = "Print the log lines of a request from structured logs."
    arguments = [
        argument("id", "Attempt ID of the request."),
        argument("files", "Log files; default: standard input.", True, True),
    ]
    options = [option("beliefs", "b", "Show state changes around the request.")]
    help = "Example: savoryspar explain 9c41d07be2a35f68 vm-1.log vm-2.log"

    def handle(self) -> int:
        """Prints the lines of the request by VM and time."""
        lines = [*_read(self.argument("files"))]
        request = self.argument("id")
        selected = [line for line in lines if _has_request(line, request)]
        if not selected:
            self.line_error(f"no log line names the request {request!r}")
            return exit_codes.FAILED
        if self.option("beliefs"):
            selected += _state_changes(lines, selected)
        # Monotonic clocks of different VMs cannot be compared, so the lines are
        # grouped by VM, starting with the VM that admitted the request.
        for node, group in itertools.groupby(
            sorted(selected, key=lambda x: (_sort_key(x, selected), x["at"])),
            key=lambda x: x["node"],
        ):
            self.line(f"{node}")
            for line in group:
                self.line(f"  {line['at']:12.3f}  {_format_fields(line)}")
        return exit_codes.OK


def _read(paths: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yields the structured lines of files; reads standard input if none."""
    for path in [*paths] or ["-"]:
        file = sys.stdin if path == "-" else open(path, encoding="utf-8")  # noqa: SIM115
        with file:
            yield from log.read_lines(file)


def _has_request(line: dict[str, Any], request: str) -> bool:
    return request in str(line.get("request", "")).split(",")


def _state_changes(
    lines: Iterable[dict[str, Any]], selected: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Returns lines on state changes of the same VMs around the request."""
    spans: dict[str, list[float]] = {}
    for line in selected:
        spans.setdefault(line["node"], []).append(line["at"])
    return [
        line
        for line in lines
        if "request" not in line
        and line["node"] in spans
        and min(spans[line["node"]]) - STATE_LOOKBACK_S
        <= line["at"]
        <= max(spans[line["node"]])
    ]


def _sort_key(line: dict[str, Any], selected: list[dict[str, Any]]) -> tuple:
    """Returns a sort key that puts the VM that admitted the request first."""
    admitting = {
        x["node"] for x in selected if x["event"] == "request admitted"
    }
    return (line["node"] not in admitting, line["node"])


def _format_fields(line: dict[str, Any]) -> str:
    fields = " ".join(
        f"{key}={value}"
        for key, value in line.items()
        if key not in HIDDEN_FIELDS
    )
    return f"{line['event']}: {fields}"
