"""Fleets that measure the relay: entry processes and token sources."""

import hashlib
from typing import Any

import urllib3

from savoryspar.bench import fleet as fleet_lib

KEY = "key-relay"
ZONE = ("relay", "relay-a")
POOL = "relay-lm"
SERVERS_PER_SOURCE = 64
"""Servers listed per source, so that no concurrency limit delays streams."""
READY_ANSWERS = 40
STREAM_TOKENS = 2000


def sheet_text() -> str:
    """Returns a sheet with a pipeline of a single generation stage."""
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    return (
        "table,name,field,value\n"
        f"workspace,relay,key_digests,{digest}\n"
        f"pool,{POOL},kind,engine\n"
        f"model,relay-1b,pool,{POOL}\n"
        "work,stream,rank,standard\n"
        "work,stream,deadline_ms,600000\n"
        "pipeline,stream,work,stream\n"
        f"pipeline,stream,stages,generate={POOL}/relay-1b\n"
    )


def stream_task(
    addresses: list[str], streams: int, warm_up_s: float, duration_s: float
) -> dict[str, Any]:
    """Returns the task of a stream reader process."""
    return {
        "addresses": addresses,
        "streams": streams,
        "warm_up_s": warm_up_s,
        "duration_s": duration_s,
        "headers": {
            "Authorization": f"Bearer {KEY}",
            "Content-Type": "application/json",
            "X-Attempt-Id": "direct",
        },
        "body": {
            "model": "stream",
            "stream": True,
            "max_tokens": STREAM_TOKENS,
            "messages": [{"role": "user", "content": "Relay."}],
        },
    }


def start_sources(
    fleet: fleet_lib.Fleet, count: int, step_ms: float, groups: int
) -> list[fleet_lib.Process]:
    """Starts the platform and token sources, and publishes the VM list."""
    fleet.start_platform()
    fleet.publish_sheet(sheet_text(), revision=1)
    sources = []
    for number in range(count):
        source = fleet.start(
            f"source-{number}",
            [
                "standin",
                "token-source",
                f"--step-ms={step_ms}",
                f"--groups={groups}",
            ],
        )
        sources.append(source)
        fleet.vms += [
            {
                "name": f"source-{number}-{index}",
                "address": source.address,
                "region": ZONE[0],
                "zone": ZONE[1],
                "role": "backend",
                "pool": POOL,
                "state": "live",
            }
            for index in range(SERVERS_PER_SOURCE)
        ]
    fleet.publish_vms()
    return sources


def start_entries(
    fleet: fleet_lib.Fleet, name: str, count: int, relay_mode: str
) -> list[fleet_lib.Process]:
    """Starts entry processes that share a port, and waits for readiness."""
    settings: dict[str, dict[str, Any]] = {
        "http": {"relay_mode": relay_mode},
        "platform": {"vm_list_interval_s": 1},
        "entry": {},
    }
    entries = []
    for number in range(count):
        entry = fleet.start_entry(f"{name}-{number}", *ZONE, settings)
        settings["entry"]["listen_port"] = entry.port
        entries.append(entry)
    _wait_all_ready(entries[0].address)
    return entries


def _wait_all_ready(address: str) -> None:
    """Waits until many consecutive connections reach a ready process.

    The processes share a port, so one answer covers only one of them.
    """
    answers = 0
    while answers < READY_ANSWERS:
        with urllib3.PoolManager() as http:
            resp = http.request("GET", f"http://{address}/readyz")
        answers = answers + 1 if resp.status == 200 else 0
