"""Stand-ins of the platform: its store, its settings and its processes."""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import re
import socket
import subprocess
import time
from typing import Any
from urllib import parse

from common import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
PORTS = range(21_000, 31_000)
"""Below the range of outgoing connections."""
SLICE = 100
SECTION = re.compile(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
VALUE = re.compile(r"\{\{([^}]+)\}\}")
BOUNDS = {
    "bounds.drain-ms": "2500",
    "bounds.config-ms": "2500",
    "bounds.grace-s": "8",
    "bounds.retry-ratio": "0.2",
    "bounds.retry-slack": "58",
    "bounds.retry-window-s": "10",
}
"""Bounds of the site ``gesto-callado``."""


def free_ports(count: int) -> list[int]:
    """Returns ports that nothing listens on."""
    found: list[int] = []
    # Scripts that run at the same time search in different slices.
    slice_number = os.getpid() % (len(PORTS) // SLICE)
    for port in range(PORTS.start + SLICE * slice_number, PORTS.stop):
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind((HOST, port))
            found.append(port)
        if len(found) == count:
            return found
    raise RuntimeError("there are not enough free ports")


def render(values: dict[str, str], zones: dict[str, str]) -> str:
    """Fills in the template of the deploy file, as the platform does."""
    text = (ROOT / "deploy" / "entry.ini").read_text()

    def section(match: re.Match) -> str:
        name, content = match.groups()
        if name == "zones":
            return "".join(
                content.replace("{{@}}", zone).replace("{{.}}", region)
                for zone, region in zones.items()
            )
        value = values.get(name)
        return content.replace("{{.}}", value) if value else ""

    text = SECTION.sub(section, text)
    return VALUE.sub(lambda match: values.get(match[1], ""), text)


class Store:
    """The metadata store, with reads and watches.

    Attributes:
        revision: Revision of the last change.
        is_away: Whether it answers every call with 503.
    """

    def __init__(self) -> None:
        self.revision = 10
        self.is_away = False
        self._era = 1
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._changed = asyncio.Condition()

    async def write(self, key: str, value: object) -> None:
        """Writes a key, or removes it if the value is None."""
        self.revision += 1
        item: dict[str, Any] = {"key": key, "revision": self.revision}
        if value is None:
            self._items.pop(key, None)
            item["deleted"] = True
        else:
            data = json.dumps(value).encode()
            item["value"] = base64.b64encode(data).decode()
            item |= {"created": self.revision, "lease": 0}
            self._items[key] = item
        self._history.append(item)
        async with self._changed:
            self._changed.notify_all()

    async def write_server(
        self, name: str, service: str, zone: str, port: int, slots: int = 8
    ) -> None:
        """Writes the entry of a ready engine."""
        await self.write(
            f"servers/{name}",
            {
                "service": service,
                "addr": f"{HOST}:{port}",
                "zone": zone,
                "version": "1",
                "slots": slots,
                "state": "ready",
                "cold-left-ms": 0,
                "seq": 1,
                "born": int(time.time() * 1000),
            },
        )

    def copy(self) -> tuple[int, dict[str, Any], list[dict[str, Any]]]:
        """Returns a copy of the contents, for ``restore``."""
        return self.revision, {**self._items}, [*self._history]

    async def restore(
        self, copy: tuple[int, dict[str, Any], list[dict[str, Any]]]
    ) -> None:
        """Comes back from a copy; later revisions are given out again."""
        self.revision, self._items, self._history = copy
        self._era += 1
        async with self._changed:
            self._changed.notify_all()

    async def handle(
        self, req: wire.Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers a call."""
        path, _, text = req.target.partition("?")
        query = dict(parse.parse_qsl(text))
        await asyncio.sleep(0.004)
        era = self._era
        status = "200 OK"
        body: dict[str, Any] = {}
        if path == "/-/kv-watch" and int(query["after"]) <= self.revision:
            body = {"events": await self._wait(query)}
        elif path == "/-/kv-watch":
            status = "410 Gone"
        elif path == "/-/kv-range":
            after = query.get("after", "")
            body = {
                "entries": [
                    item
                    for key, item in sorted(self._items.items())
                    if key.startswith(query["prefix"]) and key > after
                ],
                "truncated": False,
            }
        else:
            body = dict(self._items.get(query["key"], {}))
            status = "200 OK" if body else "404 Not Found"
        body["as-of"] = self.revision
        if self.is_away or era != self._era:
            status, body = "503 Service Unavailable", {}
        fields = {"Store-Era": str(self._era)}
        writer.write(wire.answer_json(status, fields, body))
        await writer.drain()
        return True

    async def _wait(self, query: dict[str, str]) -> list[dict[str, Any]]:
        def changes() -> list[dict[str, Any]]:
            return [
                item
                for item in self._history
                if item["revision"] > int(query["after"])
                and item["key"].startswith(query["prefix"])
            ]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait-ms"]) / 1000.0):
                async with self._changed:
                    await self._changed.wait_for(changes)
        return changes()


class Machine:
    """An entry VM, which the platform starts and stops.

    Attributes:
        name: Its name.
        front: Address that consumers connect to.
        ctl: Address that other VMs connect to, as text.
        process: The running process, None before the first start.
    """

    def __init__(
        self, name: str, zone: str, store_port: int, folder: pathlib.Path
    ):
        ports = free_ports_of(4)
        self.name = name
        self.front = (HOST, ports[0])
        self.ready = (HOST, ports[1])
        self.ctl = f"{HOST}:{ports[2]}"
        self.metrics = (HOST, ports[3])
        self._settings = folder / f"{name}.ini"
        self._log = folder / f"{name}.log"
        self._values = {
            "node-name": name,
            "zone": zone,
            "listen.front": f"{HOST}:{ports[0]}",
            "listen.ready-addr": f"{HOST}:{ports[1]}",
            "listen.control-addr": self.ctl,
            "ip": HOST,
            "platform.addr": f"{HOST}:{store_port}",
            **BOUNDS,
        }
        self.process: subprocess.Popen | None = None

    def write_settings(self, seeds: list[str], zones: dict[str, str]) -> None:
        """Renders the settings file."""
        values = {
            **self._values,
            "seeds": ",".join(seeds),
            "region": zones[self._values["zone"]],
        }
        text = render(values, zones)
        # Only the port differs: VMs on one address need one each.
        text = text.replace(":9464", f":{self.metrics[1]}")
        part = self._settings.with_suffix(".part")
        part.write_text(text)
        part.replace(self._settings)

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        with self._log.open("ab") as file:
            self.process = subprocess.Popen(
                ["python3", "-m", "savoryspar", "serve"],
                cwd=ROOT,
                env={
                    **env,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "SAVORYSPAR_NODE_FILE": str(self._settings),
                },
                stdout=file,
                stderr=subprocess.STDOUT,
            )

    async def is_ready(self) -> bool:
        """Asks whether the VM takes new connections."""
        reply = await wire.request(
            self.ready, "GET", "/-/readyz", {"Host": "vm"}, timeout_s=1.0
        )
        return reply.status == 200

    async def await_ready(self, timeout_s: float = 20.0) -> None:
        """Waits until the VM is ready."""
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    def end(self) -> None:
        """Kills the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


_PORTS: list[int] = []


def free_ports_of(count: int) -> list[int]:
    """Returns free ports that were not returned before."""
    if not _PORTS:
        _PORTS.extend(free_ports(80))
    return [_PORTS.pop() for _ in range(count)]


class Record:
    """Lines of ``record.txt``, with the seconds since the start."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w")
        self._start = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._start

    def add(self, *words: object) -> None:
        """Adds a line."""
        print(f"{self.now():8.3f}", *words, file=self._file, flush=True)
