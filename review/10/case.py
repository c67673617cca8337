"""Requests inside the limits are refused with 400 for one long field."""

import asyncio
import os

from common_2 import cases, engines, vms

LONG_BYTES = 9000
"""Size of a session field; with all others it stays far below 16,384."""
SHORT_BYTES = 7000
REQUESTS = 300
LONG_EVERY = 5
INTERVAL_S = 0.02
FREE_DENIALS = 5
DENIALS_PER_REQUEST = 1 / 500
PROMISES = (408, 421, 429)


async def run(deployment: cases.Deployment) -> int:
    """Sends orders, of which one in five has a long field."""
    notes = deployment.notes
    servers = [
        engines.Engine(f"desk-{n}", "inscripciones", zone, notes)
        for n, zone in enumerate(vms.ZONES)
    ]
    await deployment.start(3, servers)
    await asyncio.sleep(1.0)
    size = LONG_BYTES if deployment.has_trouble else SHORT_BYTES
    tasks = []
    for number in range(REQUESTS):
        vm = deployment.vms[number % len(deployment.vms)]
        fields = []
        if number % LONG_EVERY == 0:
            fields = [("X-Session", "s" * size)]
        tasks.append(
            asyncio.create_task(
                deployment.request(
                    vm, "POST", f"/confirm/{number}", b"order", fields=fields
                )
            )
        )
        await asyncio.sleep(INTERVAL_S)
    statuses = [got.status for _, got in await asyncio.gather(*tasks)]
    denied = sum(
        300 <= status < 500 and status not in PROMISES for status in statuses
    )
    allowed = FREE_DENIALS + DENIALS_PER_REQUEST * REQUESTS
    served = statuses.count(200)
    notes.add("denied", count=denied, allowed=allowed, served=served)
    print(f"{served} served, {denied} denied, allowed: {allowed:g}")
    if not served:
        return cases.NOT_RUN
    return cases.BROKEN if denied > allowed else cases.HELD


if __name__ == "__main__":
    cases.main(run, __file__, os.environ.get("TROUBLE", "1") != "0")
