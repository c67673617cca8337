"""Stand-in of the configuration service and the VM list, in one process."""

import collections
import json
import time
from typing import Any

import eventlet
from eventlet import event

from savoryspar.standins import wsgi


class Platform:
    """Serves published keys and the VM list; ``/control`` sets both.

    ``is_down`` in ``/control`` makes it answer everything else with 503.
    """

    __slots__ = ("_changed", "_is_down", "_keys", "_rate", "_recent", "_vms")

    def __init__(self, calls_per_s: int):
        self._keys: dict[str, str] = {}
        self._vms: list[dict[str, Any]] = []
        self._rate = calls_per_s
        self._recent: collections.deque[float] = collections.deque()
        self._is_down = False
        self._changed = event.Event()

    def handle(self, exchange: wsgi.Exchange) -> Any:
        """Answers one request."""
        if exchange.path == "/control":
            return self._control(exchange)
        if self._is_down:
            return exchange.answer({}, "503 Service Unavailable")
        if exchange.path == "/v1/vms":
            return exchange.answer({"vms": self._vms})
        if not self._is_within_rate(time.monotonic()):
            return exchange.answer({}, "429 Too Many Requests")
        if exchange.path == "/v1/watch":
            return self._watch(exchange)
        key = exchange.path.removeprefix("/v1/keys/")
        if key not in self._keys:
            return exchange.answer({}, "404 Not Found")
        return exchange.answer_text(self._keys[key])

    def _control(self, exchange: wsgi.Exchange) -> Any:
        body = exchange.read_json()
        self._keys.update(body.get("keys", {}))
        self._vms = body.get("vms", self._vms)
        self._is_down = body.get("is_down", self._is_down)
        changed, self._changed = self._changed, event.Event()
        changed.send(None)
        return exchange.answer({"revision": self._revision()})

    def _watch(self, exchange: wsgi.Exchange) -> Any:
        after = int(exchange.query["after"])
        timer = eventlet.Timeout(float(exchange.query["timeout_s"]), False)
        with timer:
            while self._revision() <= after:
                self._changed.wait()
        return exchange.answer({"revision": self._revision()})

    def _revision(self) -> int:
        return int(
            json.loads(self._keys.get("manifest", '{"revision": 0}'))[
                "revision"
            ]
        )

    def _is_within_rate(self, now: float) -> bool:
        while self._recent and self._recent[0] < now - 1.0:
            self._recent.popleft()
        if len(self._recent) >= self._rate:
            return False
        self._recent.append(now)
        return True


def new_platform(calls_per_s: int) -> Platform:
    """Returns a platform without keys and VMs.

    Args:
        calls_per_s: Calls in one second above which it answers 429.
    """
    return Platform(calls_per_s)
