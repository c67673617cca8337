"""Stand-in of the weight store, with a limited rate of loads."""

import collections
import time
from typing import Any

from savoryspar.standins import wsgi

WINDOW_S = 60.0


class WeightStore:
    """Serves weights and refuses loads above its rate with 429.

    Attributes:
        served: Number of granted (``loads``) and refused (``refused``) loads.
    """

    __slots__ = ("_rate", "_recent", "served")

    def __init__(self, loads_per_min: int):
        self._rate = loads_per_min
        self._recent: collections.deque[float] = collections.deque()
        self.served = collections.Counter()

    def handle(self, exchange: wsgi.Exchange) -> Any:
        """Answers one request."""
        if exchange.path == "/book":
            return exchange.answer(dict(self.served))
        if not exchange.path.startswith("/v1/weights/"):
            return exchange.answer({"error": "no such path"}, "404 Not Found")
        now = time.monotonic()
        while self._recent and self._recent[0] <= now - WINDOW_S:
            self._recent.popleft()
        if len(self._recent) >= self._rate:
            self.served["refused"] += 1
            wait_s = self._recent[0] + WINDOW_S - now
            return exchange.answer(
                {},
                "429 Too Many Requests",
                [("Retry-After", str(int(wait_s) + 1))],
            )
        self._recent.append(now)
        self.served["loads"] += 1
        return exchange.answer({"model": exchange.path.rsplit("/", 1)[1]})


def new_weight_store(loads_per_min: int) -> WeightStore:
    """Returns a store that grants a number of loads in 60 s."""
    return WeightStore(loads_per_min)
