"""A round-robin balancer that polls ``/readyz`` and applies changes late."""

from collections.abc import Iterable
import threading
import time

import urllib3

INTERVAL_S = 0.2
CHECK_TIMEOUT_S = 2.0


class Balancer:
    """Picks ready addresses in turn.

    As with the platform's balancer, a change of readiness takes effect only
    after the next check and a delay.
    """

    __slots__ = ("_delay_s", "_is_closed", "_next_index", "_ready")

    def __init__(self, delay_s: float):
        self._delay_s = delay_s
        self._ready: list[str] = []
        self._next_index = 0
        self._is_closed = False

    def pick(self) -> str:
        """Returns the next ready address.

        Raises:
            ConnectionRefusedError: No address is ready.
        """
        if not self._ready:
            raise ConnectionRefusedError("no entry process is ready")
        self._next_index += 1
        return self._ready[self._next_index % len(self._ready)]

    def is_ready(self, address: str) -> bool:
        """Returns whether requests are sent to the address."""
        return address in self._ready

    def watch(self, addresses: Iterable[str]) -> None:
        """Starts checking the addresses, each in its own thread."""
        for address in addresses:
            threading.Thread(
                target=self._watch, args=(address,), daemon=True
            ).start()

    def close(self) -> None:
        """Stops all checks."""
        self._is_closed = True

    def _watch(self, address: str) -> None:
        http = urllib3.PoolManager(maxsize=1, retries=False)
        while not self._is_closed:
            is_ready = _check(http, address)
            time.sleep(self._delay_s)
            if is_ready != self.is_ready(address):
                others = [other for other in self._ready if other != address]
                self._ready = [*others, address] if is_ready else others
            time.sleep(INTERVAL_S)


def _check(http: urllib3.PoolManager, address: str) -> bool:
    try:
        resp = http.request(
            "GET", f"http://{address}/readyz", timeout=CHECK_TIMEOUT_S
        )
    except urllib3.exceptions.HTTPError:
        return False
    return resp.status == 200
