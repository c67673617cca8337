"""A fleet of real processes on loopback, for demo, tests and benchmarks."""

from collections.abc import Callable, Mapping, Sequence
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any

import urllib3

from savoryspar import sheet
from savoryspar.bench import keys

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
TICKET_KEYS = "fleet:" + "5a" * 32
"""Key that all entry processes of a fleet use to sign tickets."""


class Process:
    """One process of the fleet.

    Attributes:
        name: Name in the fleet.
        popen: The operating-system process.
    """

    __slots__ = ("_ports", "name", "popen")

    def __init__(self, name: str, popen: subprocess.Popen):
        self.name = name
        self.popen = popen
        self._ports: tuple[int, int] | None = None

    @property
    def port(self) -> int:
        """TCP port that the process printed; the first access waits for it."""
        return self._get_ports()[0]

    @property
    def peer_port(self) -> int:
        """TCP port for peers that the process printed, 0 if none."""
        return self._get_ports()[1]

    def _get_ports(self) -> tuple[int, int]:
        if self._ports is None:
            self._ports = _read_ports(self.popen)
        return self._ports

    @property
    def address(self) -> str:
        """``IP:port`` of the process."""
        return f"127.0.0.1:{self.port}"

    @property
    def peer_address(self) -> str:
        """``IP:port`` at which peers reach the process."""
        return f"127.0.0.1:{self.peer_port}"

    @property
    def url(self) -> str:
        """Base URL of the process."""
        return f"http://{self.address}"

    @property
    def control_url(self) -> str:
        """Base URL of ``/control``."""
        return self.url

    def pause(self) -> None:
        """Suspends the process (SIGSTOP)."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a suspended process (SIGCONT)."""
        self.popen.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.popen.kill()
        self.popen.wait()

    def terminate(self) -> None:
        """Requests a graceful shutdown (SIGTERM)."""
        self.popen.terminate()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits for the end of the process and returns its exit code."""
        return self.popen.wait(timeout_s)


class Proxy(Process):
    """A fault-injecting proxy, which has a separate control port."""

    __slots__ = ("_control_port",)

    def __init__(self, name: str, popen: subprocess.Popen):
        super().__init__(name, popen)
        self._control_port: int | None = None

    @property
    def control_url(self) -> str:
        """Base URL of ``/control``."""
        if self._control_port is None:
            self._get_ports()  # The process prints its own port first.
            self._control_port = _read_ports(self.popen, "control")[0]
        return f"http://127.0.0.1:{self._control_port}"


class Fleet:
    """Processes that end with the fleet; use it as a context manager.

    Attributes:
        processes: Processes by name.
        directory: Directory of settings files, logs and keys.
        vms: Entries of the VM list.
        http: HTTP client for requests to the processes.
        platform: Stand-in of the platform, None until it is started.
        ca: Issues the certificates of the peers.
    """

    def __init__(self) -> None:
        self._temporary = tempfile.TemporaryDirectory(prefix="savoryspar-")
        self.directory = pathlib.Path(self._temporary.name)
        self.processes: dict[str, Process] = {}
        self.vms: list[dict[str, Any]] = []
        self.http = urllib3.PoolManager(maxsize=64, retries=False)
        self.platform: Process | None = None
        self.ca = keys.new_test_ca(self.directory / "keys")

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
        """Starts ``savoryspar`` with arguments and does not wait for its port.

        This lets many processes start at the same time; the first access to
        the port of a process waits until it listens.
        """
        with open(self.directory / f"{name}.log", "wb") as log_file:
            popen = subprocess.Popen(
                [sys.executable, "-m", "savoryspar", *arguments],
                stdout=subprocess.PIPE,
                stderr=log_file,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        process = Process(name, popen)
        self.processes[name] = process
        return process

    def log_text(self, name: str) -> str:
        """Returns the log output of a process so far."""
        return (self.directory / f"{name}.log").read_text()

    def start_platform(self, *options: str) -> Process:
        """Starts the stand-in for the configuration service and the VM list."""
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
            "membership": dict(self.ca.issue(name).settings()),
            "idempotency": {"ticket_keys": TICKET_KEYS},
        }
        for section, values in settings.items():
            sections.setdefault(section, {}).update(values)
        path = self.directory / f"{name}.ini"
        path.write_text(_render_ini(sections))
        process = self.start(name, ["entry", "--config", str(path)])
        self.vms.append(
            {
                "name": name,
                "region": region,
                "zone": zone,
                "role": "entry",
                "state": "live",
            }
        )
        return process

    def start_members(
        self,
        name: str,
        zones: int = 1,
        first: int = 0,
        count: int = 1,
        settings: Mapping[str, object] = {},
    ) -> Process:
        """Starts a process that runs members without serving callers.

        Args:
            name: Name of the process.
            zones: Number of zones over which the members are spread.
            first: Number of the first member.
            count: Number of members.
            settings: Settings of the section ``[membership]``.
        """
        sections = {
            "entry": {
                "name": name,
                "region": "r0",
                "zone": "z0",
                "listen_port": 0,
            },
            "platform": {
                "config_url": "http://127.0.0.1:9",
                "vm_list_url": "http://127.0.0.1:9",
            },
            "membership": {**self.ca.issue(name).settings(), **settings},
        }
        path = self.directory / f"{name}.ini"
        path.write_text(_render_ini(sections))
        numbers = {"--zones": zones, "--first": first, "--count": count}
        options = [str(text) for item in numbers.items() for text in item]
        return self.start(
            name, ["standin", "members", "--config", str(path), *options]
        )

    def start_proxy(self, name: str, target: str, seed: int = 1) -> Proxy:
        """Starts a fault-injecting proxy that forwards to ``IP:port``."""
        started = self.start(
            name,
            ["standin", "fault-proxy", f"--target={target}", f"--seed={seed}"],
        )
        proxy = Proxy(name, started.popen)
        self.processes[name] = proxy
        return proxy

    def insert_proxy(self, process: Process, seed: int = 1) -> Proxy:
        """Starts a proxy for a process and puts its address in the VM list.

        Entry processes started and VM lists published before this call
        still use the address of the process itself.
        """
        proxy = self.start_proxy(f"proxy-{process.name}", process.address, seed)
        for vm in self.vms:
            has_address = vm.get("address") == process.address
            if has_address or vm["name"] == process.name:
                vm["address"] = proxy.address
        return proxy

    def publish_vms(self) -> None:
        """Publishes the VM list of the fleet."""
        # An explicit address, such as a proxy's, overrides the process's own.
        vms = [{**self._addresses(vm["name"]), **vm} for vm in self.vms]
        self.control(self.platform, {"vms": vms})

    def _addresses(self, name: str) -> dict[str, str]:
        process = self.processes.get(name)
        if process is None:
            return {}
        return {
            "address": process.address,
            "peer_address": process.peer_address,
        }

    def publish_sheet(
        self, text: str, revision: int, previous_text: str = ""
    ) -> None:
        """Publishes a sheet.

        Args:
            text: Sheet in CSV.
            revision: Revision of the sheet.
            previous_text: Sheet of the previous revision; if given, the delta
                from that revision is published as well.
        """
        old = sheet.read_rows(previous_text) if previous_text else {}
        keys = sheet.render_keys(
            sheet.read_rows(text),
            revision,
            revision - 1 if previous_text else 0,
            old,
        )
        self.control(self.platform, {"keys": keys})

    def control(self, process: Process, body: Mapping[str, Any]) -> Any:
        """Changes the behaviour of a stand-in and returns its answer."""
        return self.post_json(process, "/control", body)

    def post_json(
        self, process: Process, path: str, body: Mapping[str, Any]
    ) -> Any:
        """Posts a JSON document to a process and returns the JSON answer."""
        resp = self.http.request(
            "POST",
            process.control_url + path,
            body=json.dumps(body).encode(),
        )
        return json.loads(resp.data)

    def operator_url(self, entry: Process) -> str:
        """Returns the URL of the operators' port from the log of an entry."""
        pattern = re.compile(r"Serving operators\. port=(\d+)")
        self.wait_until(lambda: bool(pattern.search(self.log_text(entry.name))))
        match = pattern.search(self.log_text(entry.name))
        return f"http://127.0.0.1:{match.group(1)}"

    def get_json(self, process: Process, path: str) -> Any:
        """Requests a JSON document from a process."""
        return json.loads(self.http.request("GET", process.url + path).data)

    def wait_until(self, is_met: Callable[[], bool]) -> None:
        """Waits until a condition is met.

        Raises:
            TimeoutError: The condition was not met in time.
        """
        deadline_at = time.monotonic() + START_TIMEOUT_S
        while not is_met():
            if time.monotonic() > deadline_at:
                raise TimeoutError("the condition was not met in time")
            time.sleep(0.02)

    def wait_ready(self, *names: str) -> None:
        """Waits until the entry processes are ready.

        Raises:
            TimeoutError: An entry process was not ready in time.
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


def _read_ports(
    popen: subprocess.Popen, label: str = "listening"
) -> tuple[int, int]:
    timer = threading.Timer(START_TIMEOUT_S, popen.kill)
    timer.start()
    try:
        line = popen.stdout.readline().decode()
    finally:
        timer.cancel()
    if not line.startswith(f"{label} "):
        raise RuntimeError(f"process {popen.args} did not start: {line!r}")
    words = line.split()
    return int(words[1]), int(words[3]) if len(words) > 3 else 0


def _render_ini(sections: Mapping[str, Mapping[str, object]]) -> str:
    return "\n".join(
        f"[{section}]\n"
        + "".join(f"{key} = {value}\n" for key, value in values.items())
        for section, values in sections.items()
    )
