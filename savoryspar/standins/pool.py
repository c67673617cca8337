"""A pool server (encoder, retriever, reranker) or a plain service."""

import time
from typing import Any

import eventlet

from savoryspar.standins import wsgi

FAULTS = ("fail_before", "fail_after", "drop_before", "drop_after")
"""Failures: an error or a cut connection, before or after the run."""


class PoolServer:
    """Answers after a fixed time and keeps a book of the runs.

    ``POST /control`` sets ``work_ms`` and, for each of ``FAULTS``, how many of
    the next calls fail in this way.
    """

    __slots__ = ("book", "faults", "name", "running", "work_s")

    def __init__(self, name: str, work_s: float):
        self.name = name
        self.work_s = work_s
        self.running = 0
        self.book: list[dict[str, Any]] = []
        self.faults = dict.fromkeys(FAULTS, 0)

    def handle(self, exchange: wsgi.Exchange) -> Any:
        """Answers one request."""
        if exchange.path == "/v1/run":
            return self._run(exchange)
        if exchange.path == "/book":
            return exchange.answer({"runs": self.book})
        if exchange.path == "/control":
            return self._control(exchange)
        return exchange.answer({"error": "no such path"}, "404 Not Found")

    def _control(self, exchange: wsgi.Exchange) -> Any:
        body = exchange.read_json()
        self.work_s = float(body.get("work_ms", self.work_s * 1000)) / 1000
        self.faults.update({f: int(body[f]) for f in FAULTS if f in body})
        return exchange.answer({"work_ms": self.work_s * 1000, **self.faults})

    def _takes(self, fault: str) -> bool:
        is_due = self.faults[fault] > 0
        self.faults[fault] -= is_due
        return is_due

    def _run(self, exchange: wsgi.Exchange) -> Any:
        body = exchange.read_json()
        if self._takes("fail_before"):
            return exchange.answer({}, "500 Internal Server Error")
        if self._takes("drop_before"):
            return exchange.drop()
        self.book.append(
            {
                "request_id": exchange.header("X-Request-Id"),
                "attempt_id": exchange.header("X-Attempt-Id"),
                "idempotency_key": exchange.header("Idempotency-Key"),
                "input": body["input"],
                "at": time.time(),
            }
        )
        number = len(self.book)
        self.running += 1
        try:
            eventlet.sleep(self.work_s)
        finally:
            self.running -= 1
        if self._takes("fail_after"):
            return exchange.answer({}, "500 Internal Server Error")
        if self._takes("drop_after"):
            return exchange.drop()
        return exchange.answer(
            {
                "server": self.name,
                "stage": body["stage"],
                "run": number,
                "input": body["input"],
            },
            headers=[("X-Load", str(self.running))],
        )


def new_pool_server(name: str, work_ms: float) -> PoolServer:
    """Returns a server that takes the given time for each call."""
    return PoolServer(name, work_ms / 1000.0)
