"""Stand-in of a pool server (encoder, retriever, reranker) or plain service."""

import time
from typing import Any

import eventlet

from savoryspar.standins import wsgi

FAULTS = ("fail_before", "fail_after", "drop_before", "drop_after")
"""Status 500 (fail) or a closed connection (drop), before or after the run."""


class PoolServer:
    """Answers after a fixed time and records the runs.

    ``POST /control`` sets ``work_ms`` and, for each of ``FAULTS``, the number
    of next calls that fail in this way.
    """

    __slots__ = ("faults", "name", "running", "runs", "work_s")

    def __init__(self, name: str, work_s: float):
        self.name = name
        self.work_s = work_s
        self.running = 0
        self.runs: list[dict[str, Any]] = []
        self.faults = dict.fromkeys(FAULTS, 0)

    def handle(self, exchange: wsgi.Exchange) -> Any:
        """Answers one request."""
        if exchange.path == "/v1/run":
            return self._run(exchange)
        if exchange.path == "/book":
            return exchange.answer({"runs": self.runs})
        if exchange.path == "/control":
            return self._control(exchange)
        return exchange.answer({"error": "no such path"}, "404 Not Found")

    def _control(self, exchange: wsgi.Exchange) -> Any:
        body = exchange.read_json()
        self.work_s = float(body.get("work_ms", self.work_s * 1000)) / 1000
        self.faults.update({f: int(body[f]) for f in FAULTS if f in body})
        return exchange.answer({"work_ms": self.work_s * 1000, **self.faults})

    def _consume_fault(self, fault: str) -> bool:
        is_due = self.faults[fault] > 0
        self.faults[fault] -= is_due
        return is_due

    def _run(self, exchange: wsgi.Exchange) -> Any:
        body = exchange.read_json()
        if self._consume_fault("fail_before"):
            return exchange.answer({}, "500 Internal Server Error")
        if self._consume_fault("drop_before"):
            return exchange.drop()
        self.runs.append(
            {
                "request_id": exchange.header("X-Request-Id"),
                "attempt_id": exchange.header("X-Attempt-Id"),
                "idempotency_key": exchange.header("Idempotency-Key"),
                "input": body["input"],
                "at": time.time(),
            }
        )
        number = len(self.runs)
        self.running += 1
        try:
            eventlet.sleep(self.work_s)
        finally:
            self.running -= 1
        if self._consume_fault("fail_after"):
            return exchange.answer({}, "500 Internal Server Error")
        if self._consume_fault("drop_after"):
            return exchange.drop()
        return exchange.answer(
            {
                "server": self.name,
                "request_id": exchange.header("X-Request-Id"),
                "stage": body["stage"],
                "run": number,
                "input": body["input"],
            },
            headers=[("X-Load", str(self.running))],
        )


def new_pool_server(name: str, work_ms: float) -> PoolServer:
    """Returns a server that works for ``work_ms`` on each call."""
    return PoolServer(name, work_ms / 1000.0)
