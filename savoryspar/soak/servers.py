"""Backend servers of a soak, each a process that can be killed."""

import base64
from collections.abc import Mapping
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any

import eventlet
from eventlet import patcher

from savoryspar import fleet
from savoryspar.soak import environment, layout, vms

_os = patcher.original("os")
"""Its ``write`` does not switch threads."""
START_TIMEOUT_S = 60.0
SLOTS = 8


class LimitPeriod:
    """A time in which a server names a rate limit.

    Attributes:
        limit_per_s: The limit.
        named_at: Monotonic time of the first answer that names it, None before.
        ended_at: Monotonic time at which it ended, None before.
    """

    __slots__ = ("ended_at", "limit_per_s", "named_at")

    def __init__(self, limit_per_s: float):
        self.limit_per_s = limit_per_s
        self.named_at: float | None = None
        self.ended_at: float | None = None


class BackendServer:
    """One backend server.

    Attributes:
        entry: Entry of the server in the store.
        limit_periods: Times in which it named a rate limit; the last one may
            not have ended.
        arrivals: Monotonic times of all requests and calls, known at the end.
        started_at: Monotonic time of the last start.
        held_until: Monotonic times until which faults of the proxy may deliver
            requests late.
    """

    def __init__(
        self,
        name: str,
        service: str,
        index: int,
        zones: layout.Layout,
        folder: pathlib.Path,
        seed: int,
    ):
        self.limit_periods: list[LimitPeriod] = []
        self.arrivals: list[float] = []
        self.held_until: list[float] = []
        self.started_at = 0.0
        self._host = zones.server_host(index)
        self._records = folder.absolute() / f"{name}.records"
        self._records.unlink(missing_ok=True)
        self._log = folder / f"{name}.log"
        self._changes: dict[str, Any] = {
            "name": name,
            "service": service,
            "host": self._host,
            "seed": seed,
            "network": zones.network,
            "zones": len(zones.zone_regions),
            "records": str(self._records),
        }
        self._link_faults: dict[str, Any] = {}
        self._process: subprocess.Popen | None = None
        self._control: int | None = None
        self.entry = fleet.BackendEntry(
            name,
            service,
            f"{self._host}:{layout.SERVER_PORT}",
            zones.zone(index),
            SLOTS,
            False,
            int(time.time() * 1000),
            0,
        )

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Starts the process and waits until it listens."""
        self.entry.started_ms = int(time.time() * 1000)
        self.started_at = time.monotonic()
        source, self._control = os.pipe()
        with self._log.open("ab") as file, open(source, "rb") as pipe:
            self._process = subprocess.Popen(
                [
                    *(sys.executable, "-W", "ignore"),
                    *("-m", "savoryspar.soak.server_process"),
                    json.dumps(self._changes),
                ],
                cwd=vms.CHECKOUT,
                stdin=pipe,
                stdout=file,
                stderr=subprocess.STDOUT,
            )
        self._send({"proxy": self._link_faults})
        with eventlet.Timeout(START_TIMEOUT_S):
            while self.is_running and not self._link_faults.get("refuse"):
                try:
                    eventlet.connect((self._host, layout.SERVER_PORT)).close()
                except OSError:
                    eventlet.sleep(0.05)
                else:
                    return

    def send_signal(self, signum: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.is_running:
            self._process.send_signal(signum)

    def kill(self) -> None:
        """Kills the process; the kernel ends its connections."""
        if self._process is not None:
            # Another green thread must not write to a descriptor that is used
            # for something else.
            control, self._control = self._control, None
            if control is not None:
                os.close(control)
            self._process.kill()
            self._process.wait()

    def change(self, **values: Any) -> None:
        """Changes options of the server, see ``server_process``."""
        self._changes |= values
        self._send(values)

    def change_link(
        self, faults: Mapping[str, Any], is_reset: bool = False
    ) -> None:
        """Sets faults of the proxy; open connections may be reset."""
        self._link_faults |= faults
        self._send({"proxy": faults, "is_reset": is_reset})

    def set_limit(self, limit_per_s: float | None) -> None:
        """Names another rate limit from now on, or none."""
        periods = self.limit_periods
        if periods and periods[-1].ended_at is None:
            periods[-1].ended_at = time.monotonic()
        if limit_per_s is not None:
            periods.append(LimitPeriod(limit_per_s))
        self.change(limit_per_s=limit_per_s, period=len(periods) - 1)

    def _send(self, values: Mapping[str, Any]) -> None:
        # Without a process, the next one gets the options from its argument.
        if self._control is not None:
            _os.write(self._control, json.dumps(values).encode() + b"\n")

    def read_records(self, run_records: environment.RunRecords) -> None:
        """Reads what the processes recorded."""
        lines = self._records.read_bytes().splitlines()
        for kind, *values in map(json.loads, lines):
            _READERS[kind](self, run_records, *values)


def _read_arrival(
    server: BackendServer, _: environment.RunRecords, at: float
) -> None:
    server.arrivals.append(at)


def _read_named(
    server: BackendServer, _: environment.RunRecords, period: int, at: float
) -> None:
    named = server.limit_periods[period]
    named.named_at = named.named_at or at


def _read_send(
    server: BackendServer, run_records: environment.RunRecords, attempt_id: str
) -> None:
    run_records.sends[attempt_id] += 1
    if server.entry.service == "orders":
        run_records.runs[attempt_id] += 1


def _read_answer(
    server: BackendServer,
    run_records: environment.RunRecords,
    attempt_id: str,
    seal: str,
    body: str | None,
    is_resumed: bool,
    framing: str,
) -> None:
    content = None if body is None else base64.b64decode(body)
    run = environment.Run(server.entry.service, seal, content, is_resumed)
    run.server, run.framing = server.entry.name, framing
    run_records.answers[attempt_id].append(run)


_READERS = {
    "arrival": _read_arrival,
    "named": _read_named,
    "send": _read_send,
    "answer": _read_answer,
}
