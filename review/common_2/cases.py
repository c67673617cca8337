"""Runs a case: sets up a small deployment, and ends all that it started."""

import asyncio
from collections.abc import Awaitable, Callable
import itertools
import os
import pathlib
import signal
import sys
import tempfile
import traceback
from typing import Any

from common_2 import engines, record, store, vms, wire

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "pule25.example"
KEY = "9dnn2ctnfzs989anu6ws"
CONFIGURATION: dict[str, Any] = {
    "version": 3,
    "routes": [
        {
            "name": "summary",
            "host": HOST,
            "prefix": "/stream/",
            "route-kind": "stream",
            "service": "jurado-lm",
            "timeout-ms": 8000,
            "goal-ms": 1200,
            "gap-goal-ms": 300,
            "priority": 0,
            "attempts": 1,
        },
        {
            "name": "status",
            "host": HOST,
            "prefix": "/status/",
            "route-kind": "safe",
            "service": "inscripciones",
            "timeout-ms": 1500,
            "goal-ms": 300,
            "priority": 2,
            "attempts": 2,
        },
        {
            "name": "confirm",
            "host": HOST,
            "prefix": "/confirm/",
            "route-kind": "unsafe",
            "service": "inscripciones",
            "timeout-ms": 1500,
            "goal-ms": 300,
            "priority": 2,
            "attempts": 1,
        },
    ],
    "services": [
        {"name": "jurado-lm", "max-conns": 370},
        {"name": "inscripciones", "max-conns": 370},
    ],
    "tenants": [{"name": "bozi300", "api-keys": [KEY]}],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 4194304,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
}


class Deployment:
    """A store, backend servers and entry VMs.

    Attributes:
        has_trouble: Whether the disruption is to happen.
        folder: Temporary folder for settings and logs.
        notes: The record.
        store: The store.
    """

    def __init__(
        self, folder: pathlib.Path, notes: record.Record, has_trouble: bool
    ):
        self.has_trouble = has_trouble
        self.folder = folder
        self.notes = notes
        self.store = store.Store()
        self.store_address = ""
        self.vms: list[vms.EntryVm] = []
        self._attempts = itertools.count(1)

    async def start(self, vm_count: int, servers: list[engines.Engine]) -> None:
        """Starts all, and waits until the VMs are ready."""
        _, self.store_address = await wire.serve(self.store.answer, "127.0.0.1")
        self.store.write("op/config", CONFIGURATION)
        for server in servers:
            await server.start(self.store)
        self.vms = [
            vms.EntryVm(number + 1, self.folder, self.store_address)
            for number in range(vm_count)
        ]
        for vm in self.vms:
            vm.write_settings(self.seeds(self.vms))
            vm.start()
        await asyncio.gather(*(vm.wait_ready() for vm in self.vms))
        self.notes.add("ready", vms=vm_count)

    def seeds(self, chosen: list[vms.EntryVm]) -> list[str]:
        """Returns the peer addresses of the first three VMs."""
        return [vm.control for vm in chosen[:3]]

    async def request(
        self,
        vm: vms.EntryVm,
        method: str,
        target: str,
        body: bytes = b"",
        deadline_ms: int = 1500,
        fields: wire.Fields = (),
    ) -> tuple[str, wire.Received]:
        """Sends a request as a consumer does; returns its attempt too."""
        attempt = f"{os.getpid():x}-{next(self._attempts)}"
        self.notes.add("sent", vm=vm.name, attempt=attempt, target=target)
        received = await wire.send(
            vm.front,
            method,
            target,
            [
                ("Host", HOST),
                ("Savoryspar-Attempt-Id", attempt),
                ("Savoryspar-Key", KEY),
                ("Savoryspar-Deadline-Ms", str(deadline_ms)),
                *fields,
            ],
            body,
            deadline_ms / 1000.0 + 0.5,
        )
        self.notes.add(
            "answered",
            vm=vm.name,
            attempt=attempt,
            status=received.status,
            complete=received.is_complete,
            error=received.error,
        )
        return attempt, received

    def stop(self) -> None:
        """Kills the processes that are still running."""
        for vm in self.vms:
            vm.kill()


Case = Callable[[Deployment], Awaitable[int]]


async def _run(case: Case, deployment: Deployment) -> int:
    # A script that is stopped ends what it started, too.
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await case(deployment)
    finally:
        deployment.stop()


def main(case: Case, path: str, has_trouble: bool) -> None:
    """Runs a case beside its file and exits with its result.

    Args:
        case: Returns ``HELD``, ``BROKEN`` or ``NOT_RUN``.
        path: File of the case.
        has_trouble: Whether the disruption is to happen.
    """
    notes = record.Record(pathlib.Path(path).parent / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(pathlib.Path(folder), notes, has_trouble)
        try:
            result = asyncio.run(_run(case, deployment))
        except (Exception, asyncio.CancelledError):
            traceback.print_exc()
            for log in sorted(pathlib.Path(folder).glob("*.log")):
                print(f"{log.name}: {log.read_text()[-500:]}", file=sys.stderr)
            result = NOT_RUN
    notes.add("result", code=result)
    notes.close()
    sys.exit(result)
