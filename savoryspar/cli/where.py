"""``savoryspar where``."""

from collections.abc import Iterator, Mapping
import json
import sys
from typing import Any

from cleo.commands import command
from cleo.helpers import option
from cleo.io.outputs import output
import urllib3

from savoryspar.cli import exit_codes

TIMEOUT_S = 5.0
REQUIRED = ("vm", "host", "path")
MEMBERS = {
    "method": "method",
    "host": "host",
    "path": "path",
    "key": "key",
    "model": "model",
    "pieces": "pieces",
    "prompt-parts": "prompt_parts",
    "tokens": "tokens",
    "deadline-ms": "deadline_ms",
    "attempt-id": "attempt_id",
}
"""Member of the question by option."""


class WhereCommand(command.Command):
    """Print where a request would go now, without sending it."""

    name = "where"
    description = "Print where a request would go now, without sending it."
    options = [
        option("vm", None, "IP:PORT of a VM's metrics listener.", flag=False),
        option("method", None, "Method.", flag=False, default="POST"),
        option("host", None, "Host name.", flag=False),
        option("path", None, "Path, with the query if any.", flag=False),
        option("key", None, "Workspace key; - reads stdin.", flag=False),
        option("model", None, "Name of the model.", flag=False),
        option("pieces", None, "Pieces of each stage: 1,2.", flag=False),
        option("prompt-parts", None, "Parts: a:100,b:200.", flag=False),
        option("tokens", None, "Prompt and output: IN,OUT.", flag=False),
        option("deadline-ms", None, "The caller's deadline.", flag=False),
        option("attempt-id", None, "The attempt ID.", flag=False),
        option("json", None, "Print JSON."),
    ]
    help = (
        "Example: savoryspar where --vm 10.0.0.1:9102 --host h.example"
        " --path /n/1 --key - --pieces 2 --tokens 900,100"
    )

    def handle(self) -> int:
        """Runs the command; a request that would be refused is no failure."""
        for name in REQUIRED:
            if not self.option(name):
                self.line_error(f"--{name} is missing")
                return exit_codes.USAGE
        question = {
            member: self.option(name)
            for name, member in MEMBERS.items()
            if self.option(name) is not None
        }
        if question.get("key") == "-":
            question["key"] = sys.stdin.readline().strip()
        try:
            answer = _ask(self.option("vm"), question)
        except (urllib3.exceptions.HTTPError, ValueError) as exc:
            self.line_error(f"{self.option('vm')} is unreachable: {exc}")
            return exit_codes.FAILED
        if "error" in answer:
            self.line_error(answer["error"])
            return exit_codes.FAILED
        if self.option("json"):
            self.line(json.dumps(answer))
        else:
            for line in describe(answer):
                # The values may look like the library's style tags.
                self.io.write_line(line, type=output.Type.RAW)
        return exit_codes.OK


def _ask(address: str, question: Mapping[str, str]) -> dict[str, Any]:
    """Sends a question to a VM, with the key in the body only.

    Raises:
        HTTPError: The VM did not answer.
        ValueError: Its answer is no JSON object.
    """
    resp = urllib3.request(
        "POST",
        f"http://{address}/where",
        body=json.dumps(question).encode(),
        headers={"Content-Type": "application/json"},
        timeout=TIMEOUT_S,
        retries=False,
    )
    answer = resp.json()
    if not isinstance(answer, dict):
        raise ValueError("the answer is no JSON object")
    return answer


def describe(answer: Mapping[str, Any]) -> Iterator[str]:
    """Yields the lines of the text form of an answer."""
    cfg = answer["configuration"]
    yield f"vm: {answer['vm']} (zone {answer['zone']})"
    yield f"configuration: version {cfg['version']}, in force {cfg['age_s']} s"
    evacuated = ", ".join(answer["evacuated_zones"]) or "none"
    yield f"evacuated zones: {evacuated}"
    yield f"route: {answer['route'] or 'none'}"
    if "workspace" in answer:
        home = answer["home_regions"]
        regions = "any" if home is None else ", ".join(home) or "none in common"
        yield f"workspace: {answer['workspace'] or 'none'}"
        yield f"rank: {answer['rank']}, deadline {answer['deadline_s']} s"
        yield f"home regions: {regions}"
        for stage in answer["stages"]:
            yield f"stage {stage['stage']}: {stage['pieces']} pieces"
            yield from _describe_choice(stage, "gatherer", "")
        yield "request:"
        pool = answer["pool"]
        yield from _describe_choice(pool, "placer", pool["server"])
    yield from _describe_end(answer)


def _describe_choice(
    choice: Mapping[str, Any], decider: str, server: str
) -> Iterator[str]:
    """Yields the lines of a stage or of the last pool."""
    yield f"  pool: {choice['pool']}"
    for row in choice["left_out"]:
        until = f" for {row['for_s']} s" if row["for_s"] else ""
        yield (
            f"  left out: {row['server']} ({row['zone']}): {row['reason']}"
            f"{until}"
        )
    for row in choice["zones"]:
        age = row["report_age_s"]
        report = "no report" if age is None else f"report {age} s old"
        yield f"  zone {row['zone']}: cost {row['cost_s']} s, {report}"
    yield f"  chosen zone: {choice['zone'] or 'none'}"
    if server:
        yield f"  chosen server: {server} ({choice['reason']})"
    elif choice.get("reason"):
        yield f"  chosen server: not known ({choice['reason']})"
    yield f"  {decider}: {choice[decider] or 'none'}"
    left = f" of {choice['left_s']} s left" if "left_s" in choice else ""
    yield f"  predicted wait: {choice['predicted_wait_s']} s{left}"


def _describe_end(answer: Mapping[str, Any]) -> Iterator[str]:
    refusal = answer["refusal"]
    if refusal is None:
        yield "outcome: would be sent"
    else:
        yield f"outcome: would be refused: {refusal['status']}"
        yield f"  reason: {refusal['reason']}: {refusal['message']}"
        if refusal["retry_after_s"] is not None:
            yield f"  Retry-After: {refusal['retry_after_s']:.2f}"
    for statement in answer["unknown"]:
        yield f"not known: {statement}"
