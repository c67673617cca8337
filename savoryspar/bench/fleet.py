"""A fleet of real processes on loopback, for the demo, tests and bench."""

from collections.abc import Mapping, Sequence
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any

import urllib3

from savoryspar import sheet

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0


class Process:
    """One process of the fleet.

    Attributes:
        name: Name in the fleet.
        port: TCP port that it printed.
        popen: The process.
    """

    __slots__ = ("name", "popen", "port")

    def __init__(self, name: str, popen: subprocess.Popen, port: int):
        self.name = name
        self.popen = popen
        self.port = port

    @property
    def address(self) -> str:
        """``IP:port`` of the process."""
        return f"127.0.0.1:{self.port}"

    @property
    def url(self) -> str:
        """Base URL of the process."""
        return f"http://{self.address}"

    @property
    def control_url(self) -> str:
        """Base URL of ``/control``."""
        return self.url

    def pause(self) -> None:
        """Stops the process in place (SIGSTOP)."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets a paused process go on (SIGCONT)."""
        self.popen.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.popen.kill()
        self.popen.wait()

    def terminate(self) -> None:
        """Asks the process to leave (SIGTERM)."""
        self.popen.terminate()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits for the end of the process and returns its exit code."""
        return self.popen.wait(timeout_s)


class Proxy(Process):
    """A fault-injecting proxy, which has a control port of its own."""

    __slots__ = ("control_port",)

    @property
    def control_url(self) -> str:
        """Base URL of ``/control``."""
        return f"http://127.0.0.1:{self.control_port}"


class Fleet:
    """Processes that end with the fleet; use it as a context manager.

    Attributes:
        processes: By name.
        directory: Where settings and logs are written.
    """

    def __init__(self) -> None:
        self._temporary = tempfile.TemporaryDirectory(prefix="savoryspar-")
        self.directory = pathlib.Path(self._temporary.name)
        self.processes: dict[str, Process] = {}
        self.vms: list[dict[str, Any]] = []
        self.http = urllib3.PoolManager(maxsize=64, retries=False)
        self.platform: Process | None = None

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """Ends every process that the fleet started."""
        for process in self.processes.values():
            process.popen.kill()
        for process in self.processes.values():
            process.popen.wait()
        self._temporary.cleanup()

    def start(self, name: str, arguments: Sequence[str]) -> Process:
        """Starts ``savoryspar`` with the arguments and waits for its port."""
        with open(self.directory / f"{name}.log", "wb") as log_file:
            popen = subprocess.Popen(
                [sys.executable, "-m", "savoryspar", *arguments],
                stdout=subprocess.PIPE,
                stderr=log_file,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        process = Process(name, popen, _read_port(popen))
        self.processes[name] = process
        return process

    def log_text(self, name: str) -> str:
        """Returns what the process logged so far."""
        return (self.directory / f"{name}.log").read_text()

    def start_platform(self, *options: str) -> Process:
        """Starts the configuration service and the VM list."""
        self.platform = self.start(
            "platform", ["standin", "platform", *options]
        )
        return self.platform

    def start_backend(
        self,
        kind: str,
        name: str,
        pool: str,
        region: str,
        zone: str,
        *options: str,
    ) -> Process:
        """Starts a backend server and adds it to the VM list."""
        process = self.start(name, ["standin", kind, "--name", name, *options])
        self.vms.append(
            {
                "name": name,
                "address": process.address,
                "region": region,
                "zone": zone,
                "role": "backend",
                "pool": pool,
                "state": "live",
            }
        )
        return process

    def start_entry(
        self,
        name: str,
        region: str,
        zone: str,
        settings: Mapping[str, Mapping[str, object]] = {},
    ) -> Process:
        """Starts an entry process and adds it to the VM list."""
        sections: dict[str, dict[str, object]] = {
            "entry": {
                "name": name,
                "region": region,
                "zone": zone,
                "listen_port": 0,
                "drain_notice_s": 0.2,
            },
            "platform": {
                "config_url": self.platform.url,
                "vm_list_url": self.platform.url,
                "vm_list_interval_s": 0.2,
            },
        }
        for section, values in settings.items():
            sections.setdefault(section, {}).update(values)
        path = self.directory / f"{name}.ini"
        path.write_text(_ini(sections))
        process = self.start(name, ["entry", "--config", str(path)])
        self.vms.append(
            {
                "name": name,
                "address": process.address,
                "region": region,
                "zone": zone,
                "role": "entry",
                "state": "live",
            }
        )
        return process

    def start_proxy(self, name: str, target: str, seed: int = 1) -> Proxy:
        """Starts a fault-injecting proxy to ``IP:port``."""
        started = self.start(
            name,
            ["standin", "fault-proxy", f"--target={target}", f"--seed={seed}"],
        )
        proxy = Proxy(name, started.popen, started.port)
        proxy.control_port = _read_port(started.popen, "control")
        self.processes[name] = proxy
        return proxy

    def put_proxy(self, process: Process, seed: int = 1) -> Proxy:
        """Puts a proxy before a process, in the VM list and as platform.

        Processes that are started, and VM lists that are published, before
        this call still name the process itself.
        """
        proxy = self.start_proxy(f"proxy-{process.name}", process.address, seed)
        for vm in self.vms:
            if vm["address"] == process.address:
                vm["address"] = proxy.address
        return proxy

    def publish_vms(self) -> None:
        """Publishes the VM list as the fleet has it."""
        self.control(self.platform, {"vms": self.vms})

    def publish_sheet(
        self, text: str, revision: int, previous_text: str = ""
    ) -> None:
        """Publishes a CSV sheet under a revision."""
        old = sheet.read_rows(previous_text) if previous_text else {}
        keys = sheet.render_keys(
            sheet.read_rows(text),
            revision,
            revision - 1 if previous_text else 0,
            old,
        )
        self.control(self.platform, {"keys": keys})

    def control(self, process: Process, body: Mapping[str, Any]) -> Any:
        """Changes how a stand-in behaves."""
        resp = self.http.request(
            "POST",
            f"{process.control_url}/control",
            body=json.dumps(body).encode(),
        )
        return json.loads(resp.data)

    def get_json(self, process: Process, path: str) -> Any:
        """Reads a JSON document from a process."""
        return json.loads(self.http.request("GET", process.url + path).data)

    def wait_ready(self, *names: str) -> None:
        """Waits until the entry processes are ready.

        Raises:
            TimeoutError: One was not ready in time.
        """
        deadline_at = time.monotonic() + START_TIMEOUT_S
        for name in names:
            url = f"{self.processes[name].url}/readyz"
            while self.http.request("GET", url).status != 200:
                if time.monotonic() > deadline_at:
                    raise TimeoutError(
                        f"entry {name} is not ready: {self.log_text(name)}"
                    )
                time.sleep(0.05)


def _read_port(popen: subprocess.Popen, label: str = "listening") -> int:
    timer = threading.Timer(START_TIMEOUT_S, popen.kill)
    timer.start()
    try:
        line = popen.stdout.readline().decode()
    finally:
        timer.cancel()
    if not line.startswith(f"{label} "):
        raise RuntimeError(f"process {popen.args} did not start: {line!r}")
    return int(line.split()[1])


def _ini(sections: Mapping[str, Mapping[str, object]]) -> str:
    return "\n".join(
        f"[{section}]\n"
        + "".join(f"{key} = {value}\n" for key, value in values.items())
        for section, values in sections.items()
    )
