"""Entry VMs of a soak, each a process of ``savoryspar serve``."""

import os
import pathlib
import signal
import subprocess
import sys

import eventlet
from eventlet import semaphore

from savoryspar.soak import environment

ARGUMENTS = ("-W", "ignore", "-m", "savoryspar", "serve")
GRACE_S = 5.0
"""Time after SIGTERM at which the platform kills a process."""
START_TIMEOUT_S = 20.0
"""Timeout for a process to listen, which takes 0.3 s on an idle machine."""


class EntryVm:
    """One entry VM.

    Attributes:
        name: Name of the VM; its log file is named after it.
        starts: Number of processes started so far.
        is_listening: Whether the process accepted a connection.
        own_ends: Number of processes that ended without a signal of the soak.
        address: Address that callers connect to, as a pair of IP and port.
    """

    def __init__(
        self, index: int, folder: pathlib.Path, store: str, ports: list[int]
    ):
        self.name = f"vm-{index}"
        self.starts = 0
        self.is_listening = False
        self.own_ends = 0
        self._is_end_due = True
        self._lock = semaphore.Semaphore()
        self._log = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.ini"
        callers, ready, peers, metrics = ports[4 * index : 4 * index + 4]
        self.address = ("127.0.0.1", callers)
        zone = environment.ZONES[index % len(environment.ZONES)]
        seeds = ",".join(f"127.0.0.1:{port}" for port in ports[2::4])
        self._settings_text = (
            f"[gateway]\nname = {self.name}\nregion = r\nzone = {zone}\n"
            f"zone_regions = {' '.join(f'{z}:r' for z in environment.ZONES)}\n"
            f"callers_address = 127.0.0.1:{callers}\n"
            f"ready_address = 127.0.0.1:{ready}\n"
            f"peers_address = 127.0.0.1:{peers}\n"
            f"metrics_address = 127.0.0.1:{metrics}\n"
            f"seeds = {seeds}\nstore_address = {store}\n"
            f"drain_ms = 2500\ngrace_s = {GRACE_S:g}\n[membership]\ntls = no\n"
        )
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process if none runs."""
        # Creating a process switches threads.
        with self._lock:
            if self.is_running:
                return
            self.count_own_end()
            self.write_settings()
            self.starts += 1
            self.is_listening = False
            self._is_end_due = False
            with self._log.open("ab") as file:
                self._process = subprocess.Popen(
                    [
                        sys.executable,
                        "-W",
                        "ignore",
                        "-m",
                        "savoryspar",
                        "serve",
                    ],
                    env={
                        **os.environ,
                        "SAVORYSPAR_NODE_FILE": str(self._settings),
                    },
                    stdout=file,
                    stderr=subprocess.STDOUT,
                )

    def count_own_end(self) -> None:
        """Counts the end of the process if no signal of the soak caused it."""
        if not self.is_running and not self._is_end_due:
            self.own_ends += 1
            self._is_end_due = True

    def write_settings(self, content: bytes | None = None) -> None:
        """Replaces the settings file, by the right settings if none given."""
        if content is None:
            content = self._settings_text.encode()
        self._settings.write_bytes(content)

    def has_traceback(self) -> bool:
        """Returns whether a process printed an uncaught exception."""
        return b"Traceback (most" in self._log.read_bytes()

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def send_signal(self, signum: signal.Signals) -> None:
        """Sends a signal to the process if it runs.

        SIGHUP is left out while the process starts, as it ends a process that
        has no handler yet.
        """
        if signum == signal.SIGHUP and not self.is_listening:
            return
        if self.is_running:
            self._is_end_due |= signum == signal.SIGTERM
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
                    self.is_listening = True
                    return

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        with self._lock:
            if self._process is not None:
                self.count_own_end()
                self._is_end_due = True
                self._process.kill()
                self._process.wait()
