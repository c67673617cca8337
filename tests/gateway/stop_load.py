"""Callers and stand-ins that record what happens while an entry VM stops."""

import itertools
import json
import time

import eventlet
from eventlet import wsgi

from savoryspar import platform
from savoryspar.platform import standin
from savoryspar.soak import environment, store_ports

PIECE_S = 0.1
"""Time between the events of a stream, and of a call to a stage server."""
ANSWER_TIMEOUT_S = 20.0
HANDLING_S = 0.5
"""Time from SIGTERM until all that a VM passed on before it has arrived."""
PROMISE = ("408", "421", "429", "503")
"""Status codes that promise that a request did not run."""


def route(name, kind, service, **changes):
    """Returns a route for the paths below ``/NAME/``."""
    return {
        "name": name,
        "host": "h.example",
        "prefix": f"/{name}/",
        "route-kind": kind,
        "timeout-ms": 9000,
        "goal-ms": 300,
        "gap-goal-ms": 300,
        "priority": 1,
        "attempts": 1,
        "service": service,
        "public": True,
        **changes,
    }


ROUTES = (
    route("order", "unsafe", "desk"),
    route("lookup", "safe", "desk"),
    route("chat", "stream", "lm"),
    route("resume", "stream", "lm", resumable=True, attempts=2),
    route(
        "staged",
        "stream",
        "lm",
        phases=[{"service": "prep", "after": [], "data": 1000}],
    ),
)
SERVICES = (
    {"name": "desk", "max-conns": 500},
    {"name": "lm", "max-conns": 500, "engine": {"slots": 64, "kv-cap": 99999}},
    {
        "name": "prep",
        "max-conns": 500,
        "segments": {
            "slots": 4,
            "queue": 8,
            "batch": 4,
            "call-ms": 100.0,
            "item-ms": 1.0,
            "room-mb": 50.0,
            "handle-ttl-s": 4.0,
        },
    },
)


class Run:
    """A request that a backend server ran.

    Attributes:
        started_at: Monotonic time in seconds.
        works_until: Monotonic time at which its work ends.
    """

    def __init__(self, started_at, works_until):
        self.started_at = started_at
        self.works_until = works_until


class WorkPlatform:
    """A store, and a server for each service that works as long as asked.

    The last part of a path is the duration of the work in milliseconds. A
    server stops at the deadline that it was given.

    Attributes:
        store: The store.
        addresses: ``IP:port`` of the store and of each server.
        runs: Runs by attempt ID.
    """

    servers = ("desk-1", "desk-2", "lm-1", "lm-2", "prep-1")

    def __init__(self):
        self.runs = {}
        self.store = environment.Store()
        port = store_ports.StorePort(self.store)
        self.addresses = {"store": port.address}
        self._versions = itertools.count(1)
        self.publish(ROUTES)
        for name in self.servers:
            sock = eventlet.listen(("127.0.0.1", 0))
            eventlet.spawn(
                wsgi.server,
                sock,
                self._serve,
                log_output=False,
                minimum_chunk_size=0,
            )
            address = f"127.0.0.1:{sock.getsockname()[1]}"
            entry = {
                "service": name.partition("-")[0],
                "addr": address,
                "zone": "z1",
                "slots": 64,
                "state": "ready",
            }
            self.store.write(f"servers/i-{name}", json.dumps(entry).encode())

    def publish(self, routes):
        """Writes a configuration with the given routes to the store."""
        document = {
            "version": next(self._versions),
            "routes": list(routes),
            "services": list(SERVICES),
            "limits": {},
        }
        self.store.write("op/config", json.dumps(document).encode())

    def _serve(self, environ, start_response):
        send = standin.Send(environ)
        if send.path in (platform.STAGE_RUN_PATH, platform.STAGE_FREE_PATH):
            body, _ = standin.serve_stage_call(
                send.body, lambda *piece: "-".join(map(str, piece))
            )
            eventlet.sleep(PIECE_S)
            start_response("200 OK", [("Content-Type", "application/json")])
            return [body]
        limit_s = int(environ["HTTP_SAVORYSPAR_DEADLINE_MS"]) / 1000.0
        work_s = int(send.path.rpartition("/")[2]) / 1000.0
        now = time.monotonic()
        run = Run(now, now + min(work_s, limit_s))
        self.runs.setdefault(send.attempt_id, []).append(run)
        seal = standin.encode_seal(send.attempt_id)
        if not send.path.startswith(("/chat", "/resume", "/staged")):
            eventlet.sleep(min(work_s, limit_s))
            status = "200 OK" if work_s <= limit_s else "504 Gateway Timeout"
            start_response(status, seal)
            return [send.body]
        start_response("200 OK", [("Content-Type", "text/event-stream"), *seal])
        return self._stream(send, max(1, round(work_s / PIECE_S)))

    def _stream(self, send, count):
        for number in range(send.resume_after + 1, count):
            yield f"id: {number}\ndata: {send.attempt_id}\n\n".encode()
            eventlet.sleep(PIECE_S)


class Call:
    """A caller's request and what came of it.

    Attributes:
        path, attempt_id: Of the request.
        deadline_s: Deadline that the caller states.
        sent_at: When its first byte was sent.
        written_at: When its last byte was sent, None before.
        ended_at: When its answer or connection ended.
        status: Status code, empty without a head.
        is_complete: Whether the whole answer arrived.
        end: How the connection ended if it did, for messages.
    """

    def __init__(self, path, attempt_id, deadline_s):
        self.path = path
        self.attempt_id = attempt_id
        self.deadline_s = deadline_s
        self.sent_at = time.monotonic()
        self.written_at = None
        self.ended_at = None
        self.status = ""
        self.fields = {}
        self.is_complete = False
        self.end = ""

    @property
    def is_expired(self):
        """Whether it ended because of its deadline."""
        return self.ended_at - self.sent_at > self.deadline_s - 0.1

    def __repr__(self):
        return (
            f"{self.attempt_id} {self.path} status={self.status or None}"
            f" complete={self.is_complete} {self.end}"
        )


class Callers:
    """Sends requests and records their answers.

    Attributes:
        calls: All requests.
    """

    def __init__(self):
        self.calls = []
        self._numbers = itertools.count()

    def connect(self, port):
        """Returns a connection, or None if it is refused."""
        try:
            sock = eventlet.connect(("127.0.0.1", port))
        except OSError:
            return None
        sock.settimeout(ANSWER_TIMEOUT_S)
        return sock

    def new_call(self, path, deadline_s):
        """Returns a request with an attempt ID of its own."""
        return Call(path, f"a{next(self._numbers)}", deadline_s)

    def request(
        self,
        sock,
        path,
        deadline_s=9.0,
        body_delay_s=0.0,
        body=b"body",
        next_request=b"",
        **more,
    ):
        """Sends a request on a connection and waits for its answer.

        Args:
            sock: The connection, None if it was refused.
            path: Path of the request.
            deadline_s: Deadline that the caller states.
            body_delay_s: Time between the head and the body.
            body: The body, None if it is never sent.
            next_request: Bytes of another request, sent with this one.
            more: Further header fields.
        """
        call = self.new_call(path, deadline_s)
        self.calls.append(call)
        if sock is None:
            call.end = "no connection"
            return call
        head = self.head(call, 4 if body is None else len(body))
        for name, value in more.items():
            head += f"{name}: {value}\r\n".encode()
        try:
            if body_delay_s or body is None:
                sock.sendall(head + b"\r\n")
                eventlet.sleep(body_delay_s)
                sock.sendall(body or b"")
            else:
                sock.sendall(head + b"\r\n" + body + next_request)
            if body is not None:
                call.written_at = time.monotonic()
            self._read(sock, call)
        except OSError as exc:
            call.end = repr(exc)
        call.ended_at = time.monotonic()
        return call

    def head(self, call, length):
        """Returns the head of a request without its last CRLF."""
        text = (
            f"POST {call.path} HTTP/1.1\r\nHost: h.example\r\n"
            f"Content-Length: {length}\r\n"
            f"Savoryspar-Attempt-Id: {call.attempt_id}\r\n"
            f"Savoryspar-Deadline-Ms: {round(call.deadline_s * 1000)}\r\n"
            "Savoryspar-Pieces: 2\r\nSavoryspar-Piece-Key: k\r\n"
            "Savoryspar-Token-Count: 10,10\r\nSavoryspar-Model: m\r\n"
        )
        return text.encode()

    def _read(self, sock, call):
        text = b""
        while b"\r\n\r\n" not in text:
            data = sock.recv(65536)
            if not data:
                call.end = "closed"
                return
            text += data
            if text.startswith(b"HTTP/1.1 100"):
                text = text.partition(b"\r\n\r\n")[2]
        head, _, body = text.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        call.status = lines[0].split()[1]
        call.fields = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:])
        }
        while not _is_whole(call.fields, body):
            data = sock.recv(65536)
            if not data:
                call.end = "closed"
                return
            body += data
        call.is_complete = True


def _is_whole(fields, body):
    if "content-length" in fields:
        return len(body) >= int(fields["content-length"])
    return body.endswith(b"0\r\n\r\n")


def is_unsafe(call):
    """Returns whether a request must run at most once."""
    return call.path.startswith(("/order", "/chat", "/staged"))


def faults(calls, runs, stopped_at, ends_at):
    """Returns a line for each broken rule.

    Args:
        calls: The requests.
        runs: Runs by attempt ID.
        stopped_at: When the VM was told to stop, in monotonic seconds.
        ends_at: When its grace period ended, in monotonic seconds.
    """
    lines = []
    exempt_from = ends_at - (ends_at - stopped_at) / 6.0
    for call in calls:
        own_runs = runs.get(call.attempt_id, [])
        if call.status in PROMISE and own_runs:
            lines.append(f"REFUSED, but ran: {call}")
        if is_unsafe(call) and len(own_runs) > 1:
            lines.append(f"TWICE: {call}")
        if call.written_at is None or call.is_complete or call.is_expired:
            continue
        is_held = call.ended_at - call.written_at > 0.2
        is_early = call.written_at <= stopped_at + 3.0
        if is_early and any(r.works_until > exempt_from for r in own_runs):
            continue
        if own_runs or is_held:
            after_s = call.written_at - stopped_at
            lines.append(f"LOST: {call}, sent {after_s:.2f} s after SIGTERM")
    return lines


def cut_work(calls, runs, stopped_at):
    """Returns the requests taken while draining that got no good answer.

    A request sent before SIGTERM may have been passed on before the VM handled
    the signal, and reach its server after it.
    """
    return [
        call
        for call in calls
        if runs.get(call.attempt_id)
        and runs[call.attempt_id][0].started_at
        > stopped_at + (HANDLING_S if call.sent_at < stopped_at else 0.0)
        and (not call.is_complete or call.status != "200")
        and not call.is_expired
    ]


def count(calls):
    """Returns the number of requests by path prefix, status and end."""
    counts = {}
    for call in calls:
        key = (
            call.path.split("/")[1],
            call.status or call.end[:24],
            "whole" if call.is_complete else "cut",
        )
        counts[key] = counts.get(key, 0) + 1
    return counts
