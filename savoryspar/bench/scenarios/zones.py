"""Scenario of a zone that goes silent under load."""

import concurrent.futures
import itertools
import json
import time

import urllib3

from savoryspar.bench import deployments, results
from savoryspar.bench import fleet as fleet_lib

REQUESTS = 400
INTERVAL_S = 0.02
SILENT_FROM = 100
"""Request before which the zone goes silent."""
TIMEOUT_S = 10.0
HEADERS = {"Authorization": "Bearer key-escuela-norte"}


def silent_zone(seed: int) -> list[results.Row]:
    """Idempotent requests of two zones while the third one is silent.

    Every process of the third zone is paused (SIGSTOP), so that its addresses
    take connections and answer nothing, as behind a cut link.
    """
    return [
        results.new_row(
            "silent-zone",
            f"failed of {REQUESTS} in healthy zones, zone silent",
            "requests",
            "== 0",
            _failed("scored"),
            seed,
            _failed("round_robin"),
        )
    ]


def _failed(policy: str) -> float:
    """Returns the failed requests under a policy of routing."""
    with fleet_lib.Fleet() as fleet:
        entries = deployments.start(
            deployments.GESTO,
            fleet,
            entries=3,
            settings={"routing": {"policy": policy}},
        )
        region = deployments.GESTO.regions[2]
        silent = [
            fleet.processes[vm["name"]]
            for vm in fleet.vms
            if vm["region"] == region
        ]
        statuses = _send(entries[:2], silent)
        for process in silent:
            process.resume()
    return float(sum(status != 200 for status in statuses))


def _send(
    entries: list[fleet_lib.Process], silent: list[fleet_lib.Process]
) -> list[int]:
    http = urllib3.PoolManager(maxsize=64, retries=False, timeout=TIMEOUT_S)
    with concurrent.futures.ThreadPoolExecutor(64) as pool:
        futures = []
        for number, entry in zip(
            range(REQUESTS), itertools.cycle(entries), strict=False
        ):
            if number == SILENT_FROM:
                for process in silent:
                    process.pause()
            futures.append(pool.submit(_ask, http, entry, number))
            time.sleep(INTERVAL_S)
        return [future.result() for future in futures]


def _ask(
    http: urllib3.PoolManager, entry: fleet_lib.Process, number: int
) -> int:
    """Sends one request and returns its status, 0 without an answer."""
    body = {"entry": number, "max_tokens": 4}
    name = ("status-check", "archive-digest")[number // 2 % 2]
    try:
        return http.request(
            "POST",
            f"{entry.url}/v1/pipelines/{name}",
            body=json.dumps(body).encode(),
            headers=HEADERS,
        ).status
    except urllib3.exceptions.HTTPError:
        return 0
