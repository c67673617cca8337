"""Entry VMs, started with the command and the template of the deploy file."""

import asyncio
import contextlib
import os
import pathlib
import random
import re
import resource
import signal
import socket
import subprocess
import sys
import tomllib

from common_2 import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy/system.toml").read_text())
ROLE = DEPLOY["roles"]["entry"]
REGIONS = {"bog": "andina", "ctg": "caribe", "cali": "pacifico"}
ZONES = [*REGIONS]
BOUNDS = {
    "bounds.drain-ms": "2500",
    "bounds.config-ms": "2500",
    "bounds.grace-s": "8",
    "bounds.retry-ratio": "0.2",
    "bounds.retry-slack": "58",
    "bounds.retry-window-s": "10",
    "limits.memory-mb": "300",
}
READY_TIMEOUT_S = 40.0
PORTS = range(20_000, 32_000)
MAX_FDS = 4100
"""Descriptors of a machine (``limits.max-fds``)."""


def free_port() -> int:
    """Returns a port that is free and that no outgoing connection takes.

    Raises:
        OSError: None was found.
    """
    for port in random.sample(PORTS, 200):
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind(("127.0.0.1", port))
            return port
    raise OSError(f"no free port in {PORTS}")


def most_descriptors() -> int:
    """Returns how many descriptors a process of this machine may have."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if most == resource.RLIM_INFINITY else most


def render(template: str, values: dict[str, str]) -> str:
    """Fills in the placeholders and sections that the template uses."""
    zones = "".join(f"{zone}:{region} " for zone, region in REGIONS.items())
    text = re.sub(r"{{#zones}}.*?{{/zones}}", zones, template)
    text = re.sub(
        r"{{#([a-z.-]+)}}(.*?){{/\1}}",
        lambda found: (
            found[2].replace("{{.}}", values[found[1]])
            if found[1] in values
            else ""
        ),
        text,
    )
    return re.sub(
        r"{{([a-z.-]+)}}", lambda found: values.get(found[1], ""), text
    )


class EntryVm:
    """One entry VM.

    Attributes:
        front: Address for callers.
        control: Address for peers.
        process: The running process, None before the first start.
    """

    def __init__(self, number: int, folder: pathlib.Path, store: str):
        self.name = f"edge-{number}"
        self.process: subprocess.Popen | None = None
        self._folder = folder
        self._path = folder / f"{self.name}.conf"
        ports = [free_port() for _ in range(4)]
        self.front, self.ready, self.control, metrics = (
            f"127.0.0.1:{port}" for port in ports
        )
        zone = ZONES[(number - 1) % len(ZONES)]
        self.zone = zone
        self._values = {
            **BOUNDS,
            "node-name": self.name,
            "zone": zone,
            "region": REGIONS[zone],
            "listen.front": self.front,
            "listen.ready-addr": self.ready,
            "listen.control-addr": self.control,
            "platform.addr": store,
        }
        self._metrics = metrics

    def write_settings(self, seeds: list[str]) -> None:
        """Renders the settings file, and replaces it at once."""
        template = (ROOT / ROLE["template"]).read_text()
        # All VMs have one IP address here, so this port differs too.
        template = template.replace("{{ip}}:9464", self._metrics)
        values = {**self._values, "seeds": ",".join(seeds)}
        new = self._path.with_suffix(".new")
        new.write_text(render(template, values))
        new.replace(self._path)

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        words = ROLE["run"].split()
        words[0] = sys.executable if words[0] == "python3" else words[0]
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "SAVORYSPAR_NODE_FILE": str(self._path),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        count = min(MAX_FDS, most_descriptors())
        resource.prlimit(
            self.process.pid, resource.RLIMIT_NOFILE, (count, count)
        )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self) -> bool:
        """Returns whether it says that it is ready."""
        found = await wire.send(
            self.ready, "GET", "/-/readyz", [("Host", "x")], timeout_s=1.0
        )
        return found.status == 200

    async def wait_ready(self) -> None:
        """Waits until it is ready.

        Raises:
            TimeoutError: It is not within ``READY_TIMEOUT_S``.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.1)
