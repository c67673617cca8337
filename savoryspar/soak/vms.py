"""Entry VMs of a soak, each a process of ``savoryspar serve``."""

from collections.abc import Iterable
import os
import pathlib
import re
import resource
import signal
import subprocess
import sys

import eventlet
from eventlet import greenpool, semaphore

from savoryspar.soak import layout

CHECKOUT = pathlib.Path(__file__).parents[2]
LAUNCHER = pathlib.Path(__file__).with_name("launcher.py")
GRACE_S = 5.0
"""Time after SIGTERM at which the platform kills a process."""
START_TIMEOUT_S = 60.0
"""Timeout for a process to listen, which takes 0.3 s on an idle machine; all
processors may be in use by those of other VMs."""
PEAK_MEMORY = re.compile(r"VmHWM:\s+(\d+) kB")
LIMITS = {resource.RLIMIT_DATA: 200_000_000, resource.RLIMIT_NOFILE: 4100}
"""Memory and descriptors of a VM, those of the smallest ones of a site."""
STARTS_AT_ONCE = os.cpu_count() or 1
SEEDS = 3
"""VMs that all others dial first; they are in different zones."""
RETRY_SLACK_PER_VM = 2
MIN_RETRY_SLACK = 20


class Fleet:
    """What all VMs of a soak have in common.

    Attributes:
        layout: Zones and addresses.
        size: Number of VMs.
        config_ms: Time within which a new version must be in force.
        checkout: Directory of the code that the VMs run; empty for that of the
            soak itself.
    """

    __slots__ = ("checkout", "config_ms", "layout", "size")

    def __init__(
        self,
        zones: layout.Layout,
        size: int,
        config_ms: int,
        checkout: str = "",
    ):
        self.layout = zones
        self.size = size
        self.config_ms = config_ms
        self.checkout = checkout


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
        self, index: int, folder: pathlib.Path, store: str, fleet: Fleet
    ):
        self.name = f"vm-{index}"
        self.starts = 0
        self.is_listening = False
        self.own_ends = 0
        self._is_end_due = True
        self._lock = semaphore.Semaphore()
        self._fleet = fleet
        self._log = folder / f"{self.name}.log"
        self._settings = folder.absolute() / f"{self.name}.ini"
        self._host = host = fleet.layout.vm_host(index)
        self.address = (host, layout.CALLERS_PORT)
        zone = fleet.layout.zone(index)
        regions = fleet.layout.zone_regions
        seeds = ",".join(
            f"{fleet.layout.vm_host(n)}:{layout.PEERS_PORT}"
            for n in range(min(SEEDS, fleet.size))
        )
        slack = max(MIN_RETRY_SLACK, RETRY_SLACK_PER_VM * fleet.size)
        self._settings_text = (
            f"[gateway]\nname = {self.name}\n"
            f"region = {regions[zone]}\nzone = {zone}\n"
            f"zone_regions = {' '.join(map(':'.join, regions.items()))}\n"
            f"callers_address = {host}:{layout.CALLERS_PORT}\n"
            f"ready_address = {host}:{layout.READY_PORT}\n"
            f"peers_address = {host}:{layout.PEERS_PORT}\n"
            f"metrics_address = {host}:{layout.METRICS_PORT}\n"
            f"seeds = {seeds}\nstore_address = {store}\n"
            f"drain_ms = {fleet.config_ms}\n"
            # Older builds reject the setting.
            + ("" if fleet.checkout else f"config_ms = {fleet.config_ms}\n")
            + f"retry_slack = {slack}\n"
            f"grace_s = {GRACE_S:g}\n[membership]\ntls = no\n"
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
            regions = {*self._fleet.layout.zone_regions.values()}
            relay_port = layout.PEERS_RELAY_PORT
            if len(regions) == 1:
                relay_port = layout.PEERS_PORT
            with self._log.open("ab") as file:
                self._process = subprocess.Popen(
                    [
                        *(sys.executable, "-W", "ignore"),
                        *(str(LAUNCHER), self._host),
                        *(str(layout.PEERS_PORT), str(relay_port), "serve"),
                    ],
                    cwd=self._fleet.checkout or CHECKOUT,
                    env={
                        **os.environ,
                        "SAVORYSPAR_NODE_FILE": str(self._settings),
                    },
                    stdout=file,
                    stderr=subprocess.STDOUT,
                )

            for kind, limit in LIMITS.items():
                resource.prlimit(self._process.pid, kind, (limit, limit))

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

    def peak_mb(self) -> float:
        """Returns the peak of the process's memory in MB, 0 without one."""
        if not self.is_running:
            return 0.0
        text = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        found = PEAK_MEMORY.search(text)
        return int(found[1]) * 1024 / 1e6 if found else 0.0

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


def start_all(fleet_vms: Iterable[EntryVm]) -> None:
    """Starts VMs, one for each processor at a time, until all listen."""
    pool = greenpool.GreenPool(STARTS_AT_ONCE)
    for _ in pool.imap(_start, fleet_vms):
        pass


def _start(vm: EntryVm) -> None:
    vm.start()
    vm.wait_listening()
