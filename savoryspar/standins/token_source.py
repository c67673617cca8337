"""Engine stand-in that serves many streams from one timer, to load the relay.

The streams are divided into groups, as if each group ran in one batch of an
engine. All streams of a group get their next token in one step, and the
groups' steps are spread evenly over the time of a step.
"""

from collections.abc import Iterator
import itertools
import time
from typing import Any

import eventlet
from eventlet import event
from eventlet import wsgi as eventlet_wsgi

from savoryspar.standins import wsgi

RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"Content-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n"
    b"X-Attempt-Id: %s\r\n\r\n"
)
LAST_CHUNK = b"0\r\n\r\n"


class Stream:
    """One stream of tokens, written without blocking.

    Attributes:
        position: Position of the next token.
        ended: Event that is sent when the stream has ended.
    """

    __slots__ = ("_prefix", "_send", "_tokens", "ended", "position")

    def __init__(
        self, send: Any, request_id: str, model: str, first: int, tokens: int
    ):
        self._send = send
        self._tokens = tokens
        self._prefix = (
            f'data: {{"id": "{request_id}", "object":'
            f' "chat.completion.chunk", "created": 0, "model": "{model}",'
            ' "choices": [{"index": 0, '
        ).encode()
        self.position = first
        self.ended = event.Event()

    def step(self, now_ns: int) -> bool:
        """Sends the next token or the end; returns whether the stream ended.

        The token is the time of sending in nanoseconds, from which a reader
        computes the latency of the token.
        """
        if self.position >= self._tokens:
            data = self._chunk(b'"delta": {}, "finish_reason": "stop"}]}')
            data += b"e\r\ndata: [DONE]\n\n\r\n" + LAST_CHUNK
        else:
            data = self._chunk(
                b'"delta": {"content": "%d "}, "finish_reason": null}]}'
                % now_ns
            )
        try:
            sent = self._send(data)
        except BlockingIOError:
            # The token is sent in the next step.
            return False
        except OSError:
            return True
        self.position += 1
        # A partly sent chunk cannot be undone, so the stream ends.
        return self.position > self._tokens or sent != len(data)

    def _chunk(self, suffix: bytes) -> bytes:
        size = len(self._prefix) + len(suffix) + 2
        return b"%x\r\n%b%b\n\n\r\n" % (size, self._prefix, suffix)


class TokenSource:
    """Sends a token to each stream in each step."""

    __slots__ = ("_groups", "_is_paused", "_next_group", "_step_s")

    def __init__(self, step_s: float, groups: int):
        self._step_s = step_s
        self._is_paused = False
        self._groups: list[list[Stream]] = [[] for _ in range(groups)]
        self._next_group = itertools.cycle(self._groups)
        eventlet.spawn(self._run_steps)

    def handle(self, exchange: wsgi.Exchange) -> Any:
        """Answers one request; ``/control`` pauses all streams."""
        if exchange.path == "/control":
            self._is_paused = bool(exchange.read_json()["is_paused"])
            return exchange.answer({"is_paused": self._is_paused})
        if exchange.path != "/v1/chat/completions":
            return exchange.answer({"error": "no such path"}, "404 Not Found")
        body = exchange.read_json()
        sock = exchange.environ["eventlet.input"].get_socket()
        sock.sendall(RESPONSE_HEAD % exchange.header("X-Attempt-Id").encode())
        stream = Stream(
            sock.fd.send,
            exchange.header("X-Request-Id"),
            body["model"],
            int(body.get("resume_from", 0)),
            int(body["max_tokens"]),
        )
        next(self._next_group).append(stream)
        eventlet_wsgi.WSGI_LOCAL.already_handled = True
        return self._wait(stream)

    def _wait(self, stream: Stream) -> Iterator[bytes]:
        stream.ended.wait()
        return iter(())

    def _run_steps(self) -> None:
        """Steps the groups in turn, evenly spaced over the step time."""
        gap_s = self._step_s / len(self._groups)
        due_at = time.monotonic()
        for group in itertools.cycle(self._groups):
            due_at += gap_s
            eventlet.sleep(max(0.0, due_at - time.monotonic()))
            if self._is_paused:
                continue
            finished = [s for s in group if s.step(time.monotonic_ns())]
            for stream in finished:
                group.remove(stream)
                stream.ended.send(None)


def new_token_source(step_ms: float, groups: int) -> TokenSource:
    """Returns a source that sends each stream a token every ``step_ms``."""
    return TokenSource(step_ms / 1000.0, groups)
