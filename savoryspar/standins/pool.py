"""A pool server (encoder, retriever, reranker) or a plain service."""

from typing import Any

import eventlet

from savoryspar.standins import wsgi


class PoolServer:
    """Answers after a fixed time and keeps a book of the runs."""

    __slots__ = ("book", "name", "running", "work_s")

    def __init__(self, name: str, work_s: float):
        self.name = name
        self.work_s = work_s
        self.running = 0
        self.book: list[dict[str, Any]] = []

    def handle(self, exchange: wsgi.Exchange) -> Any:
        """Answers one request."""
        if exchange.path == "/v1/run":
            return self._run(exchange)
        if exchange.path == "/book":
            return exchange.answer({"runs": self.book})
        return exchange.answer({"error": "no such path"}, "404 Not Found")

    def _run(self, exchange: wsgi.Exchange) -> Any:
        body = exchange.read_json()
        self.book.append(
            {
                "request_id": exchange.header("X-Request-Id"),
                "attempt_id": exchange.header("X-Attempt-Id"),
                "idempotency_key": exchange.header("Idempotency-Key"),
                "input": body["input"],
            }
        )
        self.running += 1
        try:
            eventlet.sleep(self.work_s)
        finally:
            self.running -= 1
        return exchange.answer(
            {
                "server": self.name,
                "stage": body["stage"],
                "run": len(self.book),
            },
            headers=[("X-Load", str(self.running))],
        )


def new_pool_server(name: str, work_ms: float) -> PoolServer:
    """Returns a server that takes the given time for each call."""
    return PoolServer(name, work_ms / 1000.0)
