"""Callers of a soak, each with one kept-alive connection per VM."""

from collections.abc import Mapping
import itertools
import random
import time

import eventlet
import urllib3

from savoryspar.platform import standin
from savoryspar.soak import checker, configurations, vms

PLAIN_ROUTES = ("order", "lookup")
ROUTES = (*PLAIN_ROUTES, "chat", "resume", "staged")
TIMEOUT_S = 9.0
"""Longer than the timeout and grace of every route, so that the VM times out
before the caller does."""
MAX_PAUSE_S = 0.1
MAX_IDLE_S = 12.0
"""Idle time after which a connection is not used again: four fifths of the
time after which a VM closes it."""
MAX_VMS = 12
"""VMs of one caller, to each of which it keeps a connection."""
PROBE_INTERVAL_S = 0.05
"""Time between the probes of a VM, for each VM of the fleet."""


class _Connection:
    """Connection of a caller to a VM, opened again where the VM closed it."""

    def __init__(self, vm: vms.EntryVm):
        self._address = vm.address
        self._pool = self._new_pool()
        self._used_at = 0.0

    def _new_pool(self) -> urllib3.HTTPConnectionPool:
        return urllib3.HTTPConnectionPool(
            *self._address, maxsize=1, timeout=TIMEOUT_S, retries=False
        )

    def idle_s(self, now: float) -> float:
        """Returns the time since the last request ended."""
        return now - self._used_at if self._used_at else 0.0

    def send(
        self, target: str, body: bytes, headers: Mapping[str, str], now: float
    ) -> urllib3.BaseHTTPResponse:
        """Sends a request and returns its answer without the body."""
        if self.idle_s(now) > MAX_IDLE_S:
            self._pool.close()
            self._pool = self._new_pool()
        return self._pool.request(
            "POST",
            target,
            body=body,
            headers=headers,
            preload_content=False,
            retries=False,
        )

    def end(self, now: float) -> None:
        """Notes that a request has ended."""
        self._used_at = now


class Callers:
    """Sends requests until it is stopped, and records the answers.

    Attributes:
        answers: All answers received by callers.
        probes: Answers to requests that show the configuration in force.
        version: Version of the newest configuration, which is probed.
        is_calm: Whether probers send plain requests too, so that each server
            of a VM's zone gets some.
    """

    def __init__(self, fleet: list[vms.EntryVm], seed: int, clock_start: float):
        self._vms = fleet
        self._seed = seed
        self._clock_start = clock_start
        self._attempt_numbers = itertools.count()
        self._is_stopping = False
        self.answers: list[checker.Answer] = []
        self.probes: list[checker.Answer] = []
        self.version = 0
        self.is_calm = False

    def start(self, count: int) -> list:
        """Starts the callers and one prober per VM; returns their threads."""
        return [
            *(eventlet.spawn(self._run_caller, n) for n in range(count)),
            *(eventlet.spawn(self._run_prober, vm) for vm in self._vms),
        ]

    def stop(self) -> None:
        """Makes the callers end after their current request."""
        self._is_stopping = True

    def _run_caller(self, number: int) -> None:
        rng = random.Random(self._seed * 1000 + number)
        own_vms = rng.sample(self._vms, min(MAX_VMS, len(self._vms)))
        connections = {vm.name: _Connection(vm) for vm in own_vms}
        while not self._is_stopping:
            vm = rng.choice(own_vms)
            self.answers.append(
                self._send_request(connections[vm.name], vm, rng.choice(ROUTES))
            )
            eventlet.sleep(rng.random() * MAX_PAUSE_S)

    def _send_request(
        self,
        connection: _Connection,
        vm: vms.EntryVm,
        route: str,
        key_version: int = 0,
    ) -> checker.Answer:
        attempt_id = f"s{self._seed}-{next(self._attempt_numbers)}"
        answer = checker.Answer(attempt_id, route, vm.name, self._now())
        answer.key_version = key_version
        answer.idle_s = connection.idle_s(answer.started_at)
        answer.boot = vm.starts
        key = configurations.KEY
        if key_version:
            key = configurations.version_key(key_version)
        piece_counts = (2,) if route == "staged" else ()
        try:
            resp = connection.send(
                f"/{route}/x",
                # Requests with the same body count as equal: if one is
                # suspected of crashing a server, so are the others.
                body=attempt_id.encode(),
                headers={
                    "Host": "soak.example",
                    **standin.caller_headers(
                        attempt_id, key, checker.DEADLINE_S, piece_counts
                    ),
                },
                now=answer.started_at,
            )
            answer.status = resp.status
            answer.seal = standin.decode_seal(resp.headers)
            for part in resp.stream(4096):
                answer.body += part
            resp.release_conn()
            answer.is_complete = True
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            # The checker decides whether a fault may have caused this.
            answer.error = repr(exc)
        answer.ended_at = self._now()
        connection.end(answer.ended_at)
        if vm.starts != answer.boot:
            answer.boot = 0
        return answer

    def _run_prober(self, vm: vms.EntryVm) -> None:
        """Probes by which configuration a VM decides.

        Goes back from the newest one to the one that the VM used last, until
        the VM serves a route that only this configuration has.
        """
        connection = _Connection(vm)
        served = 0
        while not self._is_stopping:
            newest = self.version
            oldest = max(1, min(served, newest - 1))
            for version in range(newest, oldest - 1, -1):
                self._probe(connection, vm, "moved", version)
                if self._probe(connection, vm, f"v{version}").status == 200:
                    served = version
                    break
            for route in PLAIN_ROUTES if self.is_calm else ():
                self.answers.append(self._send_request(connection, vm, route))
            eventlet.sleep(PROBE_INTERVAL_S * len(self._vms))

    def _probe(
        self,
        connection: _Connection,
        vm: vms.EntryVm,
        route: str,
        key_version: int = 0,
    ) -> checker.Answer:
        answer = self._send_request(connection, vm, route, key_version)
        self.probes.append(answer)
        return answer

    def _now(self) -> float:
        return time.monotonic() - self._clock_start
