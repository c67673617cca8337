"""Stand-in of a model engine with batching, prefix cache and faults."""

from collections.abc import Iterator
import hashlib
import json
import os
import random
import time
from typing import Any

import eventlet

from savoryspar.standins import engine_orders, faults, prefix_cache, slots, wsgi

CHARS_PER_TOKEN = 4
CRASH_EXIT_CODE = 70
DEFAULT_PRIORITY = 1

WORDS = (
    "acto", "gesto", "sombra", "silencio", "plaza", "mano", "mirada", "ritmo",
    "hilo", "lomo", "pliego", "costura", "cola", "tensor", "aguja", "cuaderno",
)  # fmt: skip


class Engine:
    """Generates tokens that depend only on prompt, position and seed.

    Attributes:
        name: Name of the server.
        step_s: Time for each generated token, in seconds.
        seed: Seed of the tokens and of the random faults.
        slots: Slots of the batch.
        faults: Faults in effect, which ``/control`` changes.
        runs: Record of each call that was not refused.
    """

    __slots__ = (
        "_cache",
        "_load_history",
        "_prefill_s",
        "_rng",
        "faults",
        "name",
        "runs",
        "seed",
        "slots",
        "step_s",
    )

    def __init__(
        self,
        name: str,
        step_s: float,
        max_batch: int,
        seed: int,
        cache_blocks: int,
        prefill_s: float,
    ):
        self.name = name
        self.step_s = step_s
        self.seed = seed
        self.slots = slots.Slots(max_batch)
        self.faults = faults.Faults()
        self.runs: list[dict[str, Any]] = []
        self._cache = prefix_cache.PrefixCache(cache_blocks, seed)
        self._prefill_s = prefill_s
        self._rng = random.Random(seed)
        self._load_history: list[tuple[float, int, int]] = [(0.0, 0, 0)]

    def handle(self, exchange: wsgi.Exchange) -> Any:
        """Answers one request."""
        if exchange.path in engine_orders.PATHS:
            return engine_orders.get_engine_orders(self.name).handle(exchange)
        if exchange.path == "/control":
            return self._control(exchange)
        if exchange.path == "/book":
            return exchange.answer({"runs": self.runs})
        if exchange.path == "/v1/chat/completions":
            return self._admit(exchange)
        if exchange.path == "/load":
            running, waiting = self._reported_load()
            return exchange.answer_text(
                f"engine_running {running}\nengine_waiting {waiting}\n"
            )
        if exchange.path == "/cache-events":
            after = int(exchange.query.get("after", "0"))
            return exchange.answer(self._cache.events(after, time.monotonic()))
        return exchange.answer({"error": "no such path"}, "404 Not Found")

    def _control(self, exchange: wsgi.Exchange) -> Any:
        body = exchange.read_json()
        self.faults.update(body)
        self._cache.event_delay_s = body.get(
            "event_delay_s", self._cache.event_delay_s
        )
        self._cache.event_gap_share = body.get(
            "event_gap_share", self._cache.event_gap_share
        )
        if "seed" in body:
            self._rng = random.Random(body["seed"])
        return exchange.answer({"name": self.name})

    def _admit(self, exchange: wsgi.Exchange) -> Any:
        body = exchange.read_json()
        if self.faults.is_refusing:
            return exchange.answer(
                {"error": "refused"}, "503 Service Unavailable", self._headers()
            )
        run = self._new_run(exchange, body)
        self.runs.append(run)
        if self._rng.random() < self.faults.fail_share:
            run["state"] = "failed"
            return exchange.answer(
                {"error": "failed"}, "500 Internal Server Error"
            )
        return self._generate(exchange, body, run)

    def _new_run(
        self, exchange: wsgi.Exchange, body: dict[str, Any]
    ) -> dict[str, Any]:
        text = prompt_text(body["messages"])
        return {
            "attempt_id": exchange.header("X-Attempt-Id"),
            "request_id": exchange.header("X-Request-Id"),
            "prompt_tokens": len(text) // CHARS_PER_TOKEN,
            "cached_tokens": 0,
            "tokens_out": 0,
            "bytes": int(exchange.environ.get("CONTENT_LENGTH") or 0),
            "at": time.time(),
            "told_at": 0.0,
            "state": "running",
        }

    def _generate(
        self,
        exchange: wsgi.Exchange,
        body: dict[str, Any],
        run: dict[str, Any],
    ) -> Iterator[bytes]:
        self.slots.acquire(int(body.get("priority", DEFAULT_PRIORITY)))
        self._record_load()
        try:
            self._prefill(body, run)
            if self.faults.is_leaving:
                run["told_at"] = time.time()
            exchange.start(
                "200 OK",
                [("Content-Type", "text/event-stream"), *self._headers()],
            )
        except BaseException:
            self._release(run, "cancelled")
            raise
        return self._stream(exchange, body, run)

    def _prefill(self, body: dict[str, Any], run: dict[str, Any]) -> None:
        text = prompt_text(body["messages"])
        if self._has_crash_mark(text) and not self.faults.crash_after_tokens:
            os._exit(CRASH_EXIT_CODE)
        blocks = prefix_cache.block_hashes(body["model"], text)
        hit_blocks = self._cache.use(blocks, time.monotonic())
        run["cached_tokens"] = (
            hit_blocks * prefix_cache.BLOCK_CHARS // CHARS_PER_TOKEN
        )
        self._simulate_work(
            self._prefill_s * (run["prompt_tokens"] - run["cached_tokens"])
        )

    def _stream(
        self, exchange: wsgi.Exchange, body: dict[str, Any], run: dict[str, Any]
    ) -> Iterator[bytes]:
        state = "cancelled"
        has_crash_mark = self._has_crash_mark(prompt_text(body["messages"]))
        try:
            first = int(body.get("resume_from", 0))
            for position in range(first, int(body["max_tokens"])):
                if has_crash_mark and run["tokens_out"] == int(
                    self.faults.crash_after_tokens
                ):
                    os._exit(CRASH_EXIT_CODE)
                if 0 < self.faults.end_after_tokens <= run["tokens_out"]:
                    state = "ended_early"
                    return
                self._simulate_work(self.step_s)
                word = token(body["messages"], position, self.seed)
                run["tokens_out"] += 1
                yield _event(exchange, body, {"content": word + " "}, None)
            yield _event(exchange, body, {}, "stop") + b"data: [DONE]\n\n"
            state = "complete"
        finally:
            self._release(run, state)

    def _has_crash_mark(self, text: str) -> bool:
        return bool(self.faults.crash_mark) and self.faults.crash_mark in text

    def _simulate_work(self, work_s: float) -> None:
        eventlet.sleep(work_s * self.faults.slow_factor)
        while self.faults.is_paused:
            eventlet.sleep(0.01)

    def _release(self, run: dict[str, Any], state: str) -> None:
        run["state"] = state
        self.slots.release()
        self._record_load()

    def _headers(self) -> list[tuple[str, str]]:
        headers = [("X-Load", str(sum(self._reported_load())))]
        if self.faults.is_leaving:
            headers.append(("X-Leaving", "1"))
        return headers

    def _record_load(self) -> None:
        now = time.monotonic()
        self._load_history.append((now, self.slots.running, self.slots.waiting))
        # Keeps the newest entry older than the lag, which is the one reported.
        while len(self._load_history) > 1 and self._is_reportable(
            self._load_history[1], now
        ):
            del self._load_history[0]

    def _reported_load(self) -> tuple[int, int]:
        now = time.monotonic()
        reportable = [
            entry
            for entry in self._load_history
            if self._is_reportable(entry, now)
        ]
        _, running, waiting = (reportable or self._load_history[:1])[-1]
        return running, waiting

    def _is_reportable(self, entry: tuple[float, int, int], now: float) -> bool:
        return entry[0] <= now - self.faults.load_lag_s


def prompt_text(messages: list[dict[str, str]]) -> str:
    """Returns the text of a prompt from which prefix blocks are hashed."""
    return "\n".join(
        f"{message.get('role', '')}: {message['content']}"
        for message in messages
    )


def token(messages: list[dict[str, str]], position: int, seed: int) -> str:
    """Returns the token at a position of the generated answer."""
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


def new_engine(
    name: str,
    step_ms: float,
    max_batch: int,
    seed: int,
    cache_blocks: int = 1024,
    prefill_us: float = 0.0,
) -> Engine:
    """Returns an engine.

    Args:
        name: Name of the server.
        step_ms: Time for each token of the answer, in milliseconds.
        max_batch: Maximum number of concurrent calls.
        seed: Seed of the tokens and of the random faults.
        cache_blocks: Capacity of the prefix cache in blocks of 256 characters.
        prefill_us: Time for each prompt token that is not cached, in
            microseconds.
    """
    return Engine(
        name, step_ms / 1e3, max_batch, seed, cache_blocks, prefill_us / 1e6
    )
