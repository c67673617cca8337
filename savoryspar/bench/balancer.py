"""A simple balancer that follows ``/readyz`` with a lag."""

from collections.abc import Iterable
import threading
import time

import urllib3

INTERVAL_S = 0.2
CHECK_TIMEOUT_S = 2.0


class Balancer:
    """Picks addresses that were ready some time ago, in turn.

    As with the platform's balancer, a change of readiness takes effect only
    after the next check and a lag.
    """

    __slots__ = ("_is_closed", "_lag_s", "_ready", "_turn")

    def __init__(self, lag_s: float):
        self._lag_s = lag_s
        self._ready: list[str] = []
        self._turn = 0
        self._is_closed = False

    def pick(self) -> str:
        """Returns the next ready address.

        Raises:
            ConnectionRefusedError: No address is ready.
        """
        if not self._ready:
            raise ConnectionRefusedError("no entry process is ready")
        self._turn += 1
        return self._ready[self._turn % len(self._ready)]

    def is_ready(self, address: str) -> bool:
        """Tells whether requests are sent to the address."""
        return address in self._ready

    def follow(self, addresses: Iterable[str]) -> None:
        """Checks the addresses from now on, each in a thread."""
        for address in addresses:
            threading.Thread(
                target=self._follow, args=(address,), daemon=True
            ).start()

    def close(self) -> None:
        """Ends all checks."""
        self._is_closed = True

    def _follow(self, address: str) -> None:
        http = urllib3.PoolManager(maxsize=1, retries=False)
        while not self._is_closed:
            is_ready = _check(http, address)
            time.sleep(self._lag_s)
            if is_ready != self.is_ready(address):
                kept = [other for other in self._ready if other != address]
                self._ready = [*kept, address] if is_ready else kept
            time.sleep(INTERVAL_S)


def _check(http: urllib3.PoolManager, address: str) -> bool:
    try:
        resp = http.request(
            "GET", f"http://{address}/readyz", timeout=CHECK_TIMEOUT_S
        )
    except urllib3.exceptions.HTTPError:
        return False
    return resp.status == 200
