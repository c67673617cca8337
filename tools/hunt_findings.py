"""Groups the broken rules of recorded days by rule and injected trouble.

A day is one run of the users' bench against a deployment (site). Reads the
entries in ``journal/``, which contain the seeds. Usage:

    python -m tools.hunt_findings [journal/ENTRY.json ...]

Without arguments all entries are read. ``--run BENCH SITE DAYS`` first runs the
``hunt`` command of the users' bench, whose program is ``BENCH``, and reads the
entries that it writes.
"""

import collections
from collections.abc import Iterable, Mapping
import json
import pathlib
import subprocess
import sys
from typing import Any

JOURNAL = pathlib.Path(__file__).resolve().parents[1] / "journal"


class Finding:
    """A rule that was broken on a day.

    Attributes:
        rule: Name of the rule.
        count: Number of violations.
        site: Name of the deployment.
        day: Arguments that run the day again.
        troubles: Kinds of trouble injected on the day.
        head: Abbreviated hash of the commit under test.
    """

    __slots__ = ("count", "day", "head", "rule", "site", "troubles")

    def __init__(
        self,
        rule: str,
        count: int,
        site: str,
        day: str,
        troubles: frozenset[str],
        head: str,
    ):
        self.rule = rule
        self.count = count
        self.site = site
        self.day = day
        self.troubles = troubles
        self.head = head


def findings(entry: Mapping[str, Any]) -> list[Finding]:
    """Returns a finding for each broken rule of each day of an entry."""
    return [
        Finding(
            rule,
            count if isinstance(count, int) else 1,
            str(entry.get("site", "")),
            _day_arguments(day),
            frozenset(day.get("troubles") or ()),
            str(entry.get("head", ""))[:7],
        )
        for day in entry.get("days") or ()
        for rule, count in (day.get("rules") or {}).items()
        if count
    ]


def _day_arguments(day: Mapping[str, Any]) -> str:
    """Returns the name of a day, with its seed unless the name has one."""
    if "--seed" in day["name"] or day.get("seed") is None:
        return str(day["name"])
    return f"{day['name']} --seed {day['seed']}"


def table(found: Iterable[Finding]) -> list[str]:
    """Returns lines for each rule: its most common troubles, then its days."""
    by_rule = collections.defaultdict(list)
    for finding in found:
        by_rule[finding.rule].append(finding)
    lines = []
    for rule, group in sorted(by_rule.items()):
        shared = frozenset.intersection(*(f.troubles for f in group))
        frequencies = collections.Counter(t for f in group for t in f.troubles)
        lines.append(
            f"{rule}: {len(group)} days; on all of them:"
            f" {', '.join(sorted(shared)) or 'no common trouble'}; most often:"
            f" {', '.join(f'{t} {n}' for t, n in frequencies.most_common(4))}"
        )
        lines += [
            f"    {f.site} {f.day} ({f.count} times, at {f.head})"
            for f in group
        ]
    return lines


def main(argv: list[str]) -> int:
    """Prints the table; exits with 1 if a rule was broken."""
    paths = [pathlib.Path(argument) for argument in argv]
    if argv[:1] == ["--run"]:
        bench, site, days = argv[1:4]
        before = set(JOURNAL.glob("*.json"))
        subprocess.run(
            [bench, "hunt", site, "--days", days, "--why", "hunt for findings"],
            cwd=JOURNAL.parent,
            check=True,
        )
        paths = sorted(set(JOURNAL.glob("*.json")) - before)
    entries = (
        json.loads(path.read_text("utf-8"))
        for path in paths or sorted(JOURNAL.glob("*.json"))
    )
    lines = table(f for entry in entries for f in findings(entry))
    print("\n".join(lines) or "no rule broken")
    return 1 if lines else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
