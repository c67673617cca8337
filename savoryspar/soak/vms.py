"""Entry VMs of a soak, each a process of ``savoryspar serve``."""

import os
import pathlib
import signal
import subprocess
import sys

import eventlet

from savoryspar.soak import environment

START_TIMEOUT_S = 20.0
"""Timeout for a process to listen, which takes 0.3 s on an idle machine."""


class EntryVm:
    """One entry VM.

    Attributes:
        name: Name of the VM; its log file is named after it.
        starts: Number of processes started so far.
        address: Address that callers connect to, as a pair of IP and port.
    """

    def __init__(
        self, index: int, folder: pathlib.Path, store: str, ports: list[int]
    ):
        self.name = f"vm-{index}"
        self.starts = 0
        self._log = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.ini"
        callers, ready, peers, metrics = ports[4 * index : 4 * index + 4]
        self.address = ("127.0.0.1", callers)
        zone = environment.ZONES[index % len(environment.ZONES)]
        seeds = ",".join(f"127.0.0.1:{port}" for port in ports[2::4])
        self._settings.write_text(
            f"[gateway]\nname = {self.name}\nregion = r\nzone = {zone}\n"
            f"zone_regions = {' '.join(f'{z}:r' for z in environment.ZONES)}\n"
            f"callers_address = 127.0.0.1:{callers}\n"
            f"ready_address = 127.0.0.1:{ready}\n"
            f"peers_address = 127.0.0.1:{peers}\n"
            f"metrics_address = 127.0.0.1:{metrics}\n"
            f"seeds = {seeds}\nstore_address = {store}\n"
            "drain_ms = 2500\ngrace_s = 5\n[membership]\ntls = no\n",
            "utf-8",
        )
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process if none runs."""
        if self.is_running:
            return
        self.starts += 1
        with self._log.open("ab") as file:
            self._process = subprocess.Popen(
                [sys.executable, "-W", "ignore", "-m", "savoryspar", "serve"],
                env={**os.environ, "SAVORYSPAR_NODE_FILE": str(self._settings)},
                stdout=file,
                stderr=subprocess.STDOUT,
            )

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def send_signal(self, signum: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.is_running:
            self._process.send_signal(signum)

    def wait_listening(self) -> None:
        """Waits until the process accepts connections from callers.

        Raises:
            eventlet.Timeout: The process does not listen within
                ``START_TIMEOUT_S``.
        """
        with eventlet.Timeout(START_TIMEOUT_S):
            while True:
                try:
                    eventlet.connect(self.address).close()
                except OSError:
                    eventlet.sleep(0.05)
                else:
                    return

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
