"""Process of one backend server of a soak, behind a proxy that injects faults.

The argument is a JSON object, see ``ServerOptions``. Lines of the standard
input are JSON objects with what changes; the process ends with the input. It
appends what it does to a file before it answers, so that the file is right
when the process is killed.
"""

import base64
from collections.abc import Iterator
import json
import os
import random
import sys
import time
from typing import Any

import eventlet
from eventlet import greenio

from savoryspar import platform
from savoryspar.platform import standin
from savoryspar.soak import layout, raw_http
from savoryspar.standins import fault_proxy

STREAM_EVENTS = 12
EVENT_INTERVAL_S = 0.04
RUN_TIME_S = 0.02
LONG_RUN_S = (0.5, 2.5)
LONG_SHARE = 0.03
LONG_PATHS = ("/order/", "/lookup/")
"""Range and share of long runs, which meet more stops; not of probes."""
MAX_BODY_BYTES = 600
PARTS_SHARE = 0.2
PART_BYTES = 200
PART_INTERVAL_S = 0.02
"""Share of plain answers that are sent in parts."""
FRAMINGS = {
    "stream": (raw_http.CHUNKED, raw_http.CLOSED, raw_http.LENGTH),
    "plain": (raw_http.LENGTH, raw_http.CHUNKED, raw_http.CLOSED),
}
FRAMING_WEIGHTS = (14, 5, 1)
REFUSED_SHARE = 0.02
"""Share of requests that a server refuses as full while faults are injected."""


class ServerOptions:
    """What a server is, and what faults change; attributes are JSON fields.

    Attributes:
        name, service, host, seed: Identity of the server, and its address.
        network, zones: Layout of the soak.
        records: Path of the file of records.
        is_refusing: Whether it refuses ``REFUSED_SHARE`` of the requests.
        limit_per_s: Rate limit that it names, None for none.
        period: Number of the period in which it names this limit.
        copy_percent: Percentage of answers that are sent again, late.
        copy_closed_percent: The same for answers that end with their
            connection; the copy then comes before this end.
    """

    __slots__ = (
        "copy_closed_percent",
        "copy_percent",
        "host",
        "is_refusing",
        "limit_per_s",
        "name",
        "network",
        "period",
        "records",
        "seed",
        "service",
        "zones",
    )

    def __init__(self, values: dict[str, Any]):
        self.is_refusing = True
        self.limit_per_s: float | None = None
        self.period = 0
        self.copy_percent = 0.0
        self.copy_closed_percent = 0.0
        self.change(values)

    def change(self, values: dict[str, Any]) -> None:
        """Replaces the given values."""
        for name, value in values.items():
            setattr(self, name, value)


class Server:
    """Answers the requests of one process."""

    def __init__(self, options: ServerOptions):
        self._options = options
        # A process that is started again must not make the same stamps.
        self._rng = random.Random(f"{options.seed} {time.time_ns()}")
        self._records = os.open(
            options.records, os.O_WRONLY | os.O_APPEND | os.O_CREAT
        )

    def record(self, kind: str, *values: Any) -> None:
        """Appends a line to the file of records."""
        os.write(self._records, json.dumps([kind, *values]).encode() + b"\n")

    def answer(self, environ: dict[str, Any]) -> raw_http.Answer:
        """Returns the answer to a request."""
        self.record("arrival", time.monotonic())
        answer = self._answer(standin.Send(environ))
        if self._options.limit_per_s is not None:
            self.record("named", self._options.period, time.monotonic())
            answer.fields += standin.encode_limit(self._options.limit_per_s)
        is_closed = answer.framing == raw_http.CLOSED
        percent = (
            self._options.copy_closed_percent
            if is_closed
            else self._options.copy_percent
        )
        answer.is_copied = self._rng.random() * 100.0 < percent
        answer.copy_delay_s = self._rng.choice(
            (None, self._rng.random() * raw_http.MAX_COPY_DELAY_S)
        )
        return answer

    def _answer(self, send: standin.Send) -> raw_http.Answer:
        if send.expected_server not in ("", self._options.name):
            return raw_http.Answer("421 Misdirected Request")
        if send.path in (platform.STAGE_RUN_PATH, platform.STAGE_FREE_PATH):
            body, count = standin.serve_stage_call(
                send.body, lambda *piece: "-".join(map(str, piece))
            )
            eventlet.sleep(0.03 + 0.002 * count)
            return self._success(
                [("Content-Type", "application/json")], "plain", [(0.0, body)]
            )
        fields = standin.encode_attempt_id(send.attempt_id)
        if self._options.is_refusing and self._rng.random() < REFUSED_SHARE:
            answer = raw_http.Answer("503 Service Unavailable")
            answer.fields = [*fields, *standin.encode_not_run()]
            return answer
        self.record("send", send.attempt_id)
        fields += standin.encode_seal(seal := new_seal(self._rng))
        if self._options.service == "engines":
            fields.append(("Content-Type", "text/event-stream"))
            answer = self._success(fields, "stream", self._events(send))
            self._record_answer(send, seal, answer, None)
            return answer
        body = f"{send.attempt_id}:{self._options.name}:".encode()
        body += self._rng.randbytes(self._rng.randrange(MAX_BODY_BYTES))
        eventlet.sleep(self._run_time_s(send.path))
        answer = self._success(fields, "plain", self._parts(body))
        self._record_answer(send, seal, answer, body)
        return answer

    def _record_answer(
        self,
        send: standin.Send,
        seal: str,
        answer: raw_http.Answer,
        body: bytes | None,
    ) -> None:
        text = None if body is None else base64.b64encode(body).decode()
        self.record(
            *("answer", send.attempt_id, seal, text),
            *(send.resume_after >= 0, answer.framing),
        )

    def _success(
        self,
        fields: list[tuple[str, str]],
        kind: str,
        parts: list[tuple[float, bytes]],
    ) -> raw_http.Answer:
        answer = raw_http.Answer("200 OK")
        (answer.framing,) = self._rng.choices(FRAMINGS[kind], FRAMING_WEIGHTS)
        answer.fields = fields
        answer.parts = parts
        return answer

    def _parts(self, body: bytes) -> list[tuple[float, bytes]]:
        """Returns a plain body in parts, with the pause before each."""
        if self._rng.random() >= PARTS_SHARE:
            return [(0.0, body)]
        return [
            (PART_INTERVAL_S if n else 0.0, body[n : n + PART_BYTES])
            for n in range(0, len(body), PART_BYTES)
        ]

    def _events(self, send: standin.Send) -> list[tuple[float, bytes]]:
        return [
            (
                EVENT_INTERVAL_S,
                f"id: {n}\ndata: {send.attempt_id}-{n}\n\n".encode(),
            )
            for n in range(send.resume_after + 1, STREAM_EVENTS)
        ]

    def _run_time_s(self, path: str) -> float:
        is_long = (
            path.startswith(LONG_PATHS) and self._rng.random() < LONG_SHARE
        )
        return self._rng.uniform(*LONG_RUN_S) if is_long else RUN_TIME_S


def new_seal(rng: random.Random) -> str:
    """Returns a stamp of six fields, as the platform's servers make them."""
    return (
        f"{rng.getrandbits(16):04x}.{rng.getrandbits(8):02x}"
        f".{rng.getrandbits(12):03x}.{rng.randrange(1000)}.{rng.randrange(10)}"
        f".{rng.getrandbits(32):08x}"
    )


def _read_lines() -> Iterator[dict[str, Any]]:
    with greenio.GreenPipe(sys.stdin.fileno(), "rb") as file:
        while line := file.readline():
            yield json.loads(line)


def main(text: str) -> None:
    """Runs the server until the standard input ends."""
    options = ServerOptions(json.loads(text))
    server = Server(options)
    sock = eventlet.listen(("127.0.0.1", 0), backlog=1024)
    eventlet.spawn(raw_http.serve, sock, server.answer)
    zones = layout.Layout(options.zones, options.network)
    proxy = fault_proxy.FaultProxy(
        sock.getsockname(),
        options.seed,
        layout.SERVER_PORT,
        options.host,
        zones.delay_s,
    )
    for changes in _read_lines():
        faults = changes.pop("proxy", None)
        if faults is not None:
            proxy.change(faults, changes.pop("is_reset", False))
        options.change(changes)


if __name__ == "__main__":
    main(sys.argv[1])
