"""Runs days of the users' bench with mechanisms switched off, and compares.

Each variant is a clone of the repository in a sibling folder, in which a
constant is set to the value that switches a mechanism off. Results are kept in
a file, one line per run, so that an interrupted comparison can be resumed.

    python -m tools.play_days BENCH --site SITE [--site SITE] [--day DAY]
        [--seed N] [--off none --off MECHANISM] [--jobs 4] [--keep runs.jsonl]

Copies the journal entries of the runs to ``journal/`` of the repository.
"""

import argparse
from collections.abc import Iterable, Sequence
from concurrent import futures
import itertools
import json
import pathlib
import re
import shutil
import statistics
import subprocess
import sys
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[1]
VARIANTS_DIR = ROOT.parent / "scratch" / "variants"
DAYS = ("trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3")
NONE = "none"
"""The variant in which no mechanism is switched off."""
SWITCHES: dict[str, tuple[str, str, str]] = {
    "fair_share": ("stages/batching.py", "FAIR_SHARE", "0.0"),
    "late_waits": ("stages/batching.py", "MAX_TAKEN", "0.0"),
    "pace": ("stages/pace.py", "PACE_WEIGHT", "0.0"),
    "delayed_branches": ("stages/chain.py", "SAFETY", "1e9"),
    "told_waits": ("stages/zones.py", "HALF_LIFE_S", "1e-6"),
    "zone_distance": ("stages/zones.py", "REMOTE_COST_S", "0.0"),
    "home_zones": ("gateway/placing.py", "MIN_HOME_TOKENS", "10**9"),
    "home_servers": ("routing/policies.py", "HOME_SHARE", "0.0"),
}
"""Module, constant and value that switch off each mechanism."""


class Run:
    """One run of a day of a deployment with one variant.

    Attributes:
        site: Path of the deployment's file.
        day: Name of the day.
        seed: Seed of the day; 0 for its default.
        off: Mechanism that is switched off, or ``NONE``.
    """

    __slots__ = ("day", "off", "seed", "site")

    def __init__(self, site: str, day: str, seed: int, off: str):
        self.site = site
        self.day = day
        self.seed = seed
        self.off = off

    @property
    def key(self) -> str:
        """Key of the run in the results file."""
        site = pathlib.Path(self.site).stem
        return f"{site}/{self.day}/{self.seed}/{self.off}"


def clone(off: str) -> pathlib.Path:
    """Clones HEAD, switches a mechanism off and returns the clone's folder.

    Raises:
        ValueError: The module does not define the constant exactly once.
    """
    folder = VARIANTS_DIR / off
    if folder.exists():
        shutil.rmtree(folder)
    folder.parent.mkdir(parents=True, exist_ok=True)
    subprocess.run(
        ["git", "clone", "--quiet", str(ROOT), str(folder)], check=True
    )
    if (ROOT / "target").exists():
        shutil.copytree(ROOT / "target", folder / "target", symlinks=True)
    if off != NONE:
        path, name, value = SWITCHES[off]
        module = folder / "savoryspar" / path
        text = module.read_text("utf-8")
        changed, count = re.subn(
            rf"^{name} = .*$", f"{name} = {value}", text, flags=re.M
        )
        if count != 1:
            raise ValueError(f"{path} does not define {name} exactly once")
        module.write_text(changed, "utf-8")
    return folder


def run_day(bench: str, folder: pathlib.Path, run: Run) -> dict[str, Any]:
    """Executes a run and returns its key and parsed result."""
    command = [bench, "run", run.site, run.day, "--no-cpu"]
    if run.seed:
        command += ["--seed", str(run.seed)]
    command += ["--why", f"comparison {run.key}"]
    done = subprocess.run(
        command, cwd=folder, capture_output=True, text=True, check=False
    )
    return {"key": run.key, **read_result(done.stdout)}


def read_result(text: str) -> dict[str, Any]:
    """Parses the output of a run.

    Returns:
        Worth, shares of requests served and refused, broken rules, and the
        snapshot's ID; the figures are None if the run printed none.
    """
    found = re.search(
        r"^\S+ +\d+/\d+ +\S+ +(-?[\d.]+) +([\d.]+) +([\d.]+)", text, re.M
    )
    snapshot = re.search(r"^snapshot (\w+)", text, re.M)
    broken = re.findall(r"^ *([A-Z]{4,}) .*$", text, re.M)
    return {
        "worth": float(found[1]) if found else None,
        "served": float(found[2]) if found else None,
        "refused": float(found[3]) if found else None,
        "broken": sorted(set(broken)),
        "snapshot": snapshot[1] if snapshot else "",
    }


def table(results: Iterable[dict[str, Any]]) -> list[str]:
    """Returns lines with mean and spread of worth by site and variant."""
    by_group: dict[tuple[str, str], list[dict[str, Any]]] = {}
    for result in results:
        site, _, _, off = result["key"].split("/")
        by_group.setdefault((site, off), []).append(result)
    lines = [
        (
            f"{'site':24} {'off':20} {'runs':>4} {'worth':>6} {'spread':>6}"
            f" {'served':>6}  days"
        )
    ]
    for (site, off), found in sorted(by_group.items()):
        worth = [r["worth"] for r in found if r["worth"] is not None]
        served = [r["served"] for r in found if r["served"] is not None]
        by_day: dict[str, list[float]] = {}
        for result in found:
            day = result["key"].split("/")[1]
            by_day.setdefault(day, []).append(result["worth"] or 0.0)
        days = " ".join(
            f"{day}={statistics.mean(values):.3f}"
            for day, values in sorted(by_day.items())
        )
        broken = sorted(set(itertools.chain(*(r["broken"] for r in found))))
        lines.append(
            f"{site:24} {off:20} {len(found):4}"
            f" {statistics.mean(worth or [0.0]):6.3f}"
            f" {statistics.pstdev(worth or [0.0]):6.3f}"
            f" {statistics.mean(served or [0.0]):6.3f}  {days}"
            f" {' '.join(broken)}"
        )
    return lines


def main(arguments: Sequence[str]) -> int:
    """Runs what is missing in the results file and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("--site", action="append", required=True)
    parser.add_argument("--day", action="append")
    parser.add_argument("--seed", action="append", type=int)
    parser.add_argument("--off", action="append", choices=[NONE, *SWITCHES])
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--keep", default="")
    args = parser.parse_args(arguments)
    results_file = pathlib.Path(args.keep) if args.keep else None
    results = {}
    if results_file and results_file.exists():
        lines = results_file.read_text("utf-8").splitlines()
        results = {r["key"]: r for r in map(json.loads, lines)}
    runs = [
        Run(str(pathlib.Path(site).resolve()), day, seed, off)
        for off in args.off or [NONE]
        for seed in args.seed or [0]
        for site in args.site
        for day in args.day or DAYS
    ]
    missing = [run for run in runs if run.key not in results]
    folders = {off: clone(off) for off in {run.off for run in missing}}
    bench = str(pathlib.Path(args.bench).resolve())
    for folder in folders.values():
        subprocess.run([bench, "build"], cwd=folder, check=True)
    with futures.ThreadPoolExecutor(args.jobs) as pool:
        waiting = [
            pool.submit(run_day, bench, folders[run.off], run)
            for run in missing
        ]
        for done in futures.as_completed(waiting):
            result = done.result()
            results[result["key"]] = result
            if results_file:
                with results_file.open("a", encoding="utf-8") as lines:
                    lines.write(json.dumps(result) + "\n")
    for folder in folders.values():
        shutil.copytree(
            folder / "journal", ROOT / "journal", dirs_exist_ok=True
        )
    print("\n".join(table(results[run.key] for run in runs)))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
