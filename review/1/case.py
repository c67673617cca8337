"""An engine sends bytes without end; requests to other services must go on."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import tempfile

from common import platform, wire

HERE = pathlib.Path(__file__).parent
ZONE = "andina-bog"
ZONES = {ZONE: "andina"}
MACHINES = 3
ENGINES = 6
TROUBLED = 2
WARM_S = 6.0
TROUBLE_S = 40.0
ORDER_TIMEOUT_S = 0.8
ORDER_DEADLINE_S = 1.5
"""Those of ``entry-confirm`` on the site."""
FINAL_S = 0.5
"""Time after a route's timeout in which the final answer is due."""
ORDERS_PER_S = 3.0
STREAMS_PER_S = 8.0
"""For three of the nine VMs of the site, which has 8.44 and 24.1 in all."""
SHARED_PARTS = 40
"""First parts of prompts that requests of ``note-tagging`` share."""
CONTACT_S = 4.0
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "entry-confirm",
            "host": "jepu9.example",
            "prefix": "/bobo563/",
            "route-kind": "unsafe",
            "timeout-ms": int(ORDER_TIMEOUT_S * 1000),
            "goal-ms": 250,
            "priority": 2,
            "attempts": 1,
            "service": "inscripciones",
        },
        {
            "name": "note-tagging",
            "host": "pule25.example",
            "prefix": "/puxa400/",
            "route-kind": "stream",
            "timeout-ms": 12000,
            "goal-ms": 1500,
            "gap-goal-ms": 300,
            "priority": 1,
            "attempts": 1,
            "service": "jurado-lm",
            "sticky": True,
        },
    ],
    "services": [
        {"name": "inscripciones", "max-conns": 110, "health-path": "/healthz"},
        {
            "name": "jurado-lm",
            "max-conns": 370,
            "health-path": "/healthz",
            "engine": {"slots": 64, "kv-cap": 606524},
        },
    ],
    "tenants": [{"name": "bozi300", "api-keys": ["9dnn2ctnfzs989anu6ws"]}],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 4194304,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
}


class Case:
    """One run, and what consumers have seen."""

    def __init__(self, folder: pathlib.Path, record: platform.Record):
        self._record = record
        self._folder = folder
        self._store = platform.Store()
        self._store_port, self._desk_port = platform.free_ports_of(2)
        self._machines = [
            platform.Machine(f"edge-{n}", ZONE, self._store_port, folder)
            for n in range(MACHINES)
        ]
        self._engines: list[subprocess.Popen] = []
        self._rotation = [*self._machines]
        self._tasks: set[asyncio.Task] = set()
        self._number = 0
        self._began_at = 0.0
        self._runs: set[str] = set()
        self._lost = 0
        self.orders: list[tuple[float, float, int]] = []

    async def run(self, has_trouble: bool) -> None:
        """Starts everything, sends requests and ends everything."""
        servers = [
            await wire.serve(
                self._store.handle, platform.HOST, self._store_port
            ),
            await wire.serve(self._desk, platform.HOST, self._desk_port),
        ]
        try:
            await self._start()
            health = asyncio.create_task(self._check_health())
            load = asyncio.gather(
                self._send(ORDERS_PER_S, self._order, WARM_S + TROUBLE_S),
                self._send(STREAMS_PER_S, self._stream, WARM_S + TROUBLE_S),
            )
            await asyncio.sleep(WARM_S)
            self._began_at = self._record.now()
            if has_trouble:
                for n in range(TROUBLED):
                    self._record.add(f"engine i-{n} sends without end")
                    (self._folder / f"trouble-{n}").touch()
            await load
            await asyncio.gather(*self._tasks)
            health.cancel()
        finally:
            for machine in self._machines:
                machine.end()
            for engine in self._engines:
                engine.kill()
                engine.wait()
            for server in servers:
                server.close()
            # The stand-ins see the ends of their connections.
            await asyncio.sleep(0.5)

    async def _start(self) -> None:
        await self._store.write("op/config", CONFIGURATION)
        await self._store.write_server(
            "i-desk", "inscripciones", ZONE, self._desk_port, 6
        )
        for n in range(ENGINES):
            (port,) = platform.free_ports_of(1)
            path = self._folder / f"trouble-{n}"
            self._engines.append(
                subprocess.Popen(
                    [
                        *(sys.executable, str(HERE / "engine.py")),
                        *(f"i-{n}", str(port), str(path)),
                    ]
                )
            )
            await self._store.write_server(
                f"i-{n}", "jurado-lm", ZONE, port, 64
            )
        seeds = [machine.ctl for machine in self._machines]
        for machine in self._machines:
            machine.write_settings(seeds, ZONES)
            machine.start()
        for machine in self._machines:
            await machine.await_ready()

    async def _desk(
        self, req: wire.Request, writer: asyncio.StreamWriter
    ) -> bool:
        self._record.add("run", req.attempt)
        self._runs.add(req.attempt)
        await asyncio.sleep(0.03)
        fields = {
            "Savoryspar-Attempt-Id": req.attempt,
            "Savoryspar-Seal": "3e1b.07.5a2.600.0.c9f2a4d1",
        }
        writer.write(wire.answer("200 OK", fields, b"booked:" + req.body))
        await writer.drain()
        return True

    async def _check_health(self) -> None:
        """Takes machines out after two misses, as the platform does."""
        misses = dict.fromkeys(self._machines, 0)
        while True:
            answers = await asyncio.gather(
                *(machine.is_ready() for machine in self._machines),
                asyncio.sleep(1.0),
            )
            for machine, is_ready in zip(self._machines, answers, strict=False):
                misses[machine] = 0 if is_ready else misses[machine] + 1
                if misses[machine]:
                    self._record.add("readyz missed", machine.name)
            up = [m for m in self._machines if misses[m] < 2]
            is_half = 2 * len(up) >= len(self._machines)
            self._rotation = up if is_half else [*self._machines]

    async def _send(self, rate_per_s: float, send, duration_s: float) -> None:
        ends_at = self._record.now() + duration_s
        while self._record.now() < ends_at:
            self._number += 1
            machine = self._rotation[self._number % len(self._rotation)]
            task = asyncio.create_task(send(machine, self._number))
            self._tasks.add(task)
            await asyncio.sleep(1.0 / rate_per_s)

    def _fields(self, host: str, attempt: str, deadline_s: float) -> dict:
        return {
            "Host": host,
            "Savoryspar-Attempt-Id": attempt,
            "Savoryspar-Deadline-Ms": str(int(deadline_s * 1000)),
            "Savoryspar-Key": "9dnn2ctnfzs989anu6ws",
        }

    async def _order(self, machine: platform.Machine, number: int) -> None:
        attempt = f"{number:016x}"
        sent_at = self._record.now()
        reply = await wire.request(
            machine.front,
            "POST",
            "/bobo563/lo7/2f",
            self._fields("jepu9.example", attempt, ORDER_DEADLINE_S),
            b"%d" % number,
            ORDER_DEADLINE_S,
        )
        took_s = self._record.now() - sent_at
        self.orders.append((sent_at, took_s, reply.status))
        self._lost += not reply.status and attempt in self._runs
        self._record.add(
            *("order", attempt, machine.name, f"sent {sent_at:.3f}"),
            *(f"took {took_s:.3f}", reply.status, reply.error),
        )

    async def _stream(self, machine: platform.Machine, number: int) -> None:
        attempt = f"{number:016x}"
        sent_at = self._record.now()
        reply = await wire.request(
            machine.front,
            "POST",
            "/puxa400/2f",
            {
                **self._fields("pule25.example", attempt, 12.0),
                "Savoryspar-Model": "m",
                "Savoryspar-Token-Count": "1460,80",
                "Savoryspar-Prefix-Hash": (
                    f"{number % SHARED_PARTS:08x}:350,{attempt}:1110"
                ),
            },
            b"x" * 1500,
            # Consumers leave a stream that sends no event for so long.
            6.0,
        )
        self._record.add(
            *("stream", attempt, machine.name, f"sent {sent_at:.3f}"),
            *(f"took {self._record.now() - sent_at:.3f}", reply.status),
            *(reply.body.count(b"id:"), reply.error),
        )

    def is_broken(self) -> bool:
        """Applies the rule to the orders sent to machines in touch."""
        long_s = [
            took_s
            for sent_at, took_s, _ in self.orders
            if sent_at >= CONTACT_S and took_s > ORDER_TIMEOUT_S
        ]
        late = sum(took_s > ORDER_TIMEOUT_S + FINAL_S for took_s in long_s)
        text = (
            f"{len(self.orders)} orders, {len(long_s)} longer than the timeout,"
            f" {late} without a final answer 0.5 s later; {self._lost} ran and"
            " were never answered"
        )
        self._record.add(text)
        print(text)
        return late >= 8 and late > len(long_s) / 4


def main() -> int:
    """Runs the case; returns the exit code."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    # A script that is ended early ends its processes too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = platform.Record(HERE / "record.txt")
    with tempfile.TemporaryDirectory() as name:
        case = Case(pathlib.Path(name), record)
        try:
            asyncio.run(case.run(has_trouble))
        except (Exception, KeyboardInterrupt) as exc:
            # A run that fails shows nothing about the rule.
            record.add("the case could not run:", repr(exc))
            return 2
    return int(case.is_broken())


if __name__ == "__main__":
    sys.exit(main())
