"""Scenario of a zone that stops answering under load."""

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
"""Number of the request before which the zone goes silent."""
TIMEOUT_S = 10.0
HEADERS = {"Authorization": "Bearer key-escuela-norte"}


def silent_zone(seed: int) -> list[results.Row]:
    """Counts failed idempotent requests in two zones while a third is silent.

    Every process of the third zone is paused (SIGSTOP), so that its addresses
    accept connections but never answer, as behind a broken network link.
    """
    return [
        results.new_row(
            "silent-zone",
            f"failed of {REQUESTS} in healthy zones, zone silent",
            "requests",
            "== 0",
            _count_failed("scored"),
            seed,
            _count_failed("round_robin"),
        )
    ]


def _count_failed(policy: str) -> float:
    """Returns the number of failed requests with a routing policy."""
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
        statuses = _send_all(entries[:2], silent)
        for process in silent:
            process.resume()
    return float(sum(status != 200 for status in statuses))


def _send_all(
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
            futures.append(pool.submit(_send_request, http, entry, number))
            time.sleep(INTERVAL_S)
        return [future.result() for future in futures]


def _send_request(
    http: urllib3.PoolManager, entry: fleet_lib.Process, number: int
) -> int:
    """Sends a request and returns its HTTP status, 0 without an answer."""
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
