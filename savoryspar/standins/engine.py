"""A model engine: continuous batching with a step time."""

from collections.abc import Iterator
import hashlib
import json
import time
from typing import Any

import eventlet

from savoryspar.standins import wsgi

WORDS = (
    "acto", "gesto", "sombra", "silencio", "plaza", "mano", "mirada", "ritmo",
    "hilo", "lomo", "pliego", "costura", "cola", "tensor", "aguja", "cuaderno",
)  # fmt: skip


class Engine:
    """Generates tokens that depend only on the prompt and their position."""

    __slots__ = (
        "max_batch",
        "name",
        "running",
        "seed",
        "slots",
        "step_s",
        "waiting",
    )

    def __init__(self, name: str, step_s: float, max_batch: int, seed: int):
        self.name = name
        self.step_s = step_s
        self.max_batch = max_batch
        self.seed = seed
        self.running = 0
        self.waiting = 0
        self.slots = eventlet.semaphore.Semaphore(max_batch)

    def handle(self, exchange: wsgi.Exchange) -> Any:
        """Answers one request."""
        if exchange.path == "/v1/chat/completions":
            return self._generate(exchange)
        if exchange.path == "/load":
            return exchange.answer_text(
                f"engine_running {self.running}\n"
                f"engine_waiting {self.waiting}\n"
            )
        return exchange.answer({"error": "no such path"}, "404 Not Found")

    def _generate(self, exchange: wsgi.Exchange) -> Iterator[bytes]:
        body = exchange.read_json()
        self.waiting += 1
        self.slots.acquire()
        self.waiting -= 1
        self.running += 1
        load = str(self.running + self.waiting)
        exchange.start(
            "200 OK",
            [("Content-Type", "text/event-stream"), ("X-Load", load)],
        )
        return self._stream(exchange, body)

    def _stream(
        self, exchange: wsgi.Exchange, body: dict[str, Any]
    ) -> Iterator[bytes]:
        try:
            first = int(body.get("resume_from", 0))
            for position in range(first, int(body["max_tokens"])):
                eventlet.sleep(self.step_s)
                word = token(body["messages"], position, self.seed)
                yield _event(exchange, body, {"content": word + " "}, None)
            yield _event(exchange, body, {}, "stop") + b"data: [DONE]\n\n"
        finally:
            self.running -= 1
            self.slots.release()


def token(messages: list[dict[str, str]], position: int, seed: int) -> str:
    """Returns the token at a position of the answer to the messages."""
    text = json.dumps([messages, position, seed], sort_keys=True)
    return WORDS[hashlib.sha256(text.encode()).digest()[0] % len(WORDS)]


def _event(
    exchange: wsgi.Exchange,
    body: dict[str, Any],
    delta: dict[str, str],
    finish: str | None,
) -> bytes:
    document = {
        "id": exchange.header("X-Request-Id"),
        "object": "chat.completion.chunk",
        "created": int(time.time()),
        "model": body["model"],
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    }
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def new_engine(name: str, step_ms: float, max_batch: int, seed: int) -> Engine:
    """Returns an engine with the given time for each token."""
    return Engine(name, step_ms / 1000.0, max_batch, seed)
