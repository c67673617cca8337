"""Scenario of the memory of an entry process with a large sheet."""

import hashlib
import time

from savoryspar.bench import fleet as fleet_lib
from savoryspar.bench import procfs, results

WORKSPACES = 36_000
MODELS = 26
PIPELINES = 10
WAIT_S = 30.0
MEGABYTE = 1e6
CHANGES = 3


def sheet_text(workspaces: int, first_share: int) -> str:
    """Returns a sheet in CSV.

    Args:
        workspaces: Number of workspaces.
        first_share: Share of the first workspace, which makes sheets differ.
    """
    lines = ["table,name,field,value", "pool,lm,kind,engine"]
    lines += [f"model,model-{n:02d},pool,lm" for n in range(MODELS)]
    lines += ["work,answers,rank,standard", "work,answers,deadline_ms,4000"]
    for number in range(PIPELINES):
        name = f"pipeline,pipeline-{number:02d}"
        stages = " ".join(
            f"stage-{stage}=lm/model-{(number + stage) % MODELS:02d}"
            for stage in range(3 + number % 4)
        )
        lines += [f"{name},work,answers", f"{name},stages,{stages}"]
    for number in range(workspaces):
        name = f"workspace,workspace-{number:05d}"
        digest = hashlib.sha256(f"key-{number}".encode()).hexdigest()
        share = first_share if number == 0 else 1 + number % 7
        lines += [f"{name},share,{share}", f"{name},key_digests,{digest}"]
    return "\n".join(lines) + "\n"


def state_memory(seed: int) -> list[results.Row]:
    """Measures the memory at the design size after sheet changes."""
    with fleet_lib.Fleet() as fleet:
        fleet.start_platform()
        entry = start_with_sheet(fleet, WORKSPACES)
        texts = [sheet_text(WORKSPACES, 1 + n) for n in range(CHANGES + 1)]
        for number in range(1, CHANGES + 1):
            fleet.publish_sheet(texts[number], number + 1, texts[number - 1])
            wait_revision(fleet, entry.name, number + 1)
        rss = procfs.memory_bytes(entry.popen.pid) / MEGABYTE
        peak = procfs.memory_bytes(entry.popen.pid, "VmHWM") / MEGABYTE
    row = results.new_row
    return [
        row("state", "memory, 36,000 workspaces", "MB", "<= 128", rss, seed),
        row("state", "peak while a sheet changes", "MB", "<= 128", peak, seed),
    ]


def start_with_sheet(
    fleet: fleet_lib.Fleet, workspaces: int
) -> fleet_lib.Process:
    """Publishes a sheet as revision 1 and starts an entry process with it."""
    fleet.publish_sheet(sheet_text(workspaces, 1), revision=1)
    name = f"entry-{workspaces}"
    settings = {"log": {"decision_sample_percent": 0}}
    entry = fleet.start_entry(name, "relay", "relay-a", settings)
    wait_revision(fleet, name, 1)
    return entry


def wait_revision(fleet: fleet_lib.Fleet, name: str, revision: int) -> None:
    """Waits until an entry process logs that a revision is in effect.

    Raises:
        TimeoutError: The revision was not in effect in time.
    """
    deadline_at = time.monotonic() + WAIT_S
    while f"revision={revision} " not in fleet.log_text(name):
        if time.monotonic() > deadline_at:
            raise TimeoutError(
                f"{name} did not apply revision {revision} in time:"
                f" {fleet.log_text(name)[-500:]}"
            )
        time.sleep(0.1)
