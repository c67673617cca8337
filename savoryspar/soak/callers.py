"""Callers of a soak: each keeps one connection to each VM while it lives."""

import itertools
import random
import time

import eventlet
import urllib3

from savoryspar.platform import standin
from savoryspar.soak import judge, vms

ROUTES = ("order", "lookup", "chat", "resume", "staged")
TIMEOUT_S = 9.0
"""Longer than any route's time-out and grace, so that the VM ends first."""
DEADLINE_S = 5.0
PAUSE_S = 0.1
PROBE_S = 0.15


class Callers:
    """Sends requests until it is stopped, and keeps what came back.

    Attributes:
        answers: All answers so far.
        went_back: A line for each configuration that went back in one process.
    """

    def __init__(self, fleet: list[vms.EntryVm], seed: int, clock_start: float):
        self._vms = fleet
        self._seed = seed
        self._start = clock_start
        self._numbers = itertools.count()
        self._is_stopping = False
        self.answers: list[judge.Answer] = []
        self.went_back: list[str] = []
        self.version = 0

    def start(self, count: int) -> list:
        """Returns the green threads of callers and of one prober a VM."""
        return [
            *(eventlet.spawn(self._call_always, n) for n in range(count)),
            *(eventlet.spawn(self._probe_always, vm) for vm in self._vms),
        ]

    def stop(self) -> None:
        """Lets the callers end after their present request."""
        self._is_stopping = True

    def _call_always(self, number: int) -> None:
        rng = random.Random(self._seed * 1000 + number)
        pools = {vm.name: _new_pool(vm) for vm in self._vms}
        while not self._is_stopping:
            vm = rng.choice(self._vms)
            self.answers.append(
                self._ask(pools[vm.name], vm, rng.choice(ROUTES))
            )
            eventlet.sleep(rng.random() * PAUSE_S)

    def _ask(
        self, pool: urllib3.HTTPConnectionPool, vm: vms.EntryVm, route: str
    ) -> judge.Answer:
        attempt_id = f"s{self._seed}-{next(self._numbers)}"
        answer = judge.Answer(attempt_id, route, vm.name, self._now())
        pieces = (2,) if route == "staged" else ()
        try:
            resp = pool.request(
                "POST",
                f"/{route}/x",
                # Equal requests would share the blame for crashes.
                body=attempt_id.encode(),
                headers={
                    "Host": "soak.example",
                    **standin.caller_headers(
                        attempt_id, "soak-key", DEADLINE_S, pieces
                    ),
                },
                preload_content=False,
                retries=False,
            )
            answer.status = resp.status
            for part in resp.stream(4096):
                answer.body += part
            resp.release_conn()
            answer.is_whole = True
        except (urllib3.exceptions.HTTPError, OSError):
            # The judge decides whether this answer could be lost.
            answer.is_whole = False
        answer.ended_at = self._now()
        return answer

    def _probe_always(self, vm: vms.EntryVm) -> None:
        """Asks a VM for the newest and the former configuration's route."""
        pool = _new_pool(vm)
        highest, starts = 0, vm.starts
        while not self._is_stopping:
            for version in (self.version, self.version - 1):
                answer = self._ask(pool, vm, f"v{version}")
                if vm.starts != starts:
                    # A new process may begin with any configuration.
                    highest, starts = 0, vm.starts
                    break
                if answer.status != 200:
                    continue
                if version < highest:
                    self.went_back.append(
                        f"{vm.name} went back from configuration {highest} to"
                        f" {version} at {answer.ended_at:.2f} s"
                    )
                highest = max(highest, version)
            eventlet.sleep(PROBE_S)

    def _now(self) -> float:
        return time.monotonic() - self._start


def _new_pool(vm: vms.EntryVm) -> urllib3.HTTPConnectionPool:
    host, port = vm.address
    return urllib3.HTTPConnectionPool(
        host, port, maxsize=1, timeout=TIMEOUT_S, retries=False
    )
