"""Callers of a soak, each with one kept-alive connection per VM."""

import itertools
import random
import time

import eventlet
import urllib3

from savoryspar.platform import standin
from savoryspar.soak import checker, vms

ROUTES = ("order", "lookup", "chat", "resume", "staged")
TIMEOUT_S = 9.0
"""Longer than the timeout and grace of every route, so that the VM times out
before the caller does."""
DEADLINE_S = 5.0
MAX_PAUSE_S = 0.1
PROBE_INTERVAL_S = 0.15


class Callers:
    """Sends requests until it is stopped, and records the answers.

    Attributes:
        answers: All answers received.
        regressions: A line for each time that a process served an older
            configuration than before.
        version: Version of the newest configuration, which the probers check.
    """

    def __init__(self, fleet: list[vms.EntryVm], seed: int, clock_start: float):
        self._vms = fleet
        self._seed = seed
        self._clock_start = clock_start
        self._attempt_numbers = itertools.count()
        self._is_stopping = False
        self.answers: list[checker.Answer] = []
        self.regressions: list[str] = []
        self.version = 0

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
        pools = {vm.name: _new_pool(vm) for vm in self._vms}
        while not self._is_stopping:
            vm = rng.choice(self._vms)
            self.answers.append(
                self._send_request(pools[vm.name], vm, rng.choice(ROUTES))
            )
            eventlet.sleep(rng.random() * MAX_PAUSE_S)

    def _send_request(
        self, pool: urllib3.HTTPConnectionPool, vm: vms.EntryVm, route: str
    ) -> checker.Answer:
        attempt_id = f"s{self._seed}-{next(self._attempt_numbers)}"
        answer = checker.Answer(attempt_id, route, vm.name, self._now())
        piece_counts = (2,) if route == "staged" else ()
        try:
            resp = pool.request(
                "POST",
                f"/{route}/x",
                # Requests with the same body count as equal: if one is
                # suspected of crashing a server, so are the others.
                body=attempt_id.encode(),
                headers={
                    "Host": "soak.example",
                    **standin.caller_headers(
                        attempt_id, "soak-key", DEADLINE_S, piece_counts
                    ),
                },
                preload_content=False,
                retries=False,
            )
            answer.status = resp.status
            for part in resp.stream(4096):
                answer.body += part
            resp.release_conn()
            answer.is_complete = True
        except (urllib3.exceptions.HTTPError, OSError):
            # The checker decides whether a fault may have caused this.
            answer.is_complete = False
        answer.ended_at = self._now()
        return answer

    def _run_prober(self, vm: vms.EntryVm) -> None:
        """Checks that a VM never returns to an older configuration.

        Each configuration has a route of its own, so the routes that are served
        show the version in force.
        """
        pool = _new_pool(vm)
        highest, starts = 0, vm.starts
        while not self._is_stopping:
            for version in (self.version, self.version - 1):
                answer = self._send_request(pool, vm, f"v{version}")
                if vm.starts != starts:
                    # A new process may start with any configuration.
                    highest, starts = 0, vm.starts
                    break
                if answer.status != 200:
                    continue
                if version < highest:
                    self.regressions.append(
                        f"{vm.name} went back from configuration {highest} to"
                        f" {version} at {answer.ended_at:.2f} s"
                    )
                highest = max(highest, version)
            eventlet.sleep(PROBE_INTERVAL_S)

    def _now(self) -> float:
        return time.monotonic() - self._clock_start


def _new_pool(vm: vms.EntryVm) -> urllib3.HTTPConnectionPool:
    host, port = vm.address
    return urllib3.HTTPConnectionPool(
        host, port, maxsize=1, timeout=TIMEOUT_S, retries=False
    )
