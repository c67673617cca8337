"""Servers and callers that send without end, in processes of their own.

Run as a program with ``serve PORT``, it answers each request without end, as
the last part of its path tells. With ``call PORT COUNT TARGET``, it sends equal
requests at the same time; those to targets that end with ``/upload`` have a
body in chunks of one byte. With ``link PORT COUNT SHAPE``, it sends on links
between VMs without end. It prints the status and the latency of each answer
as JSON.
"""

import itertools
import json
import pathlib
import socket
import subprocess
import sys
import threading
import time

from savoryspar import membership
from savoryspar.membership import frames

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEADLINE_S = 2.0
START_TIMEOUT_S = 20.0
BLOCK_BYTES = 1 << 16
SEAL = b"Savoryspar-Seal: s1\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n" + SEAL
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ONE_BYTE = b"1\r\nx\r\n"
UPGRADE = (
    b"GET / HTTP/1.1\r\nHost: vm\r\nUpgrade: websocket\r\n"
    b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
    b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
)
UPLOAD = ONE_BYTE * 20000 + b"0\r\n\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def numbered_events():
    """Yields chunks of events whose IDs increase."""
    for start in itertools.count(1, 1000):
        yield chunk(
            b"".join(b"id:%d\n\n" % n for n in range(start, start + 999))
        )


def block(data):
    return data * (BLOCK_BYTES // len(data) + 1)


SHAPES = {
    "chunks": (CHUNKED, block(ONE_BYTE)),
    "extensions": (CHUNKED, block(b"1;a=b\r\nx\r\n")),
    "comments": (CHUNKED, block(chunk(b":\n\n"))),
    "many-comments": (CHUNKED, block(chunk(b":\n\n" * 2000))),
    "numbered": (CHUNKED, numbered_events),
    "large": (CHUNKED, block(chunk(b"x" * BLOCK_BYTES))),
    "body": (HEAD + b"\r\n", block(b"x")),
    "line": (b"HTTP/1.1 200 OK\r\nX-More: ", block(b"y")),
    "one-event": (CHUNKED, block(chunk(b"x" * 4096))),
    "unframed": (HEAD + b"\r\n", block(b"HTTP/1.1 200 OK\r\n")),
    "trailers": (CHUNKED + b"0\r\n", block(b"a:b\r\n")),
    "interim": (b"", block(b"HTTP/1.1 100 Continue\r\n\r\n")),
    "lines": (b"HTTP/1.1 200 OK\r\n", block(b"a:b\r\n")),
}
"""Bytes that begin an answer, and a block that is repeated or a function that
returns the blocks that follow."""


class PeerProcess:
    """A process of this module."""

    def __init__(self, *args):
        self._process = subprocess.Popen(
            [sys.executable, "-m", "tests.gateway.endless_peers", *args],
            cwd=ROOT,
            stdout=subprocess.PIPE,
        )

    @property
    def is_running(self):
        return self._process.poll() is None

    def results(self):
        """Returns what callers saw, after their end."""
        return json.loads(self._process.stdout.read())

    def await_listening(self, port):
        """Waits until the process has taken its port.

        Until then another server of the test could choose the same one.
        """
        ends_at = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < ends_at:
            try:
                socket.create_connection(("127.0.0.1", port), 1.0).close()
            except OSError:
                time.sleep(0.02)
            else:
                return
        raise TimeoutError(f"port {port} is not served")

    def end(self):
        self._process.kill()
        self._process.wait()
        self._process.stdout.close()


def serve(port):
    with socket.create_server(("127.0.0.1", port), backlog=1024) as sock:
        while True:
            conn, _ = sock.accept()
            threading.Thread(target=answer, args=(conn,), daemon=True).start()


def answer(conn):
    with conn:
        try:
            head = b""
            while b"\r\n\r\n" not in head:
                part = conn.recv(65536)
                if not part:
                    return
                head += part
            path = head.split(b" ")[1].decode()
            start, more = SHAPES.get(path.split("/")[-1], SHAPES["chunks"])
            conn.sendall(start)
            blocks = more() if callable(more) else itertools.repeat(more)
            for data in blocks:
                conn.sendall(data)
        except OSError:
            # The VM has closed the connection.
            return


def call(port, count, target):
    results = []
    threads = [
        threading.Thread(target=request, args=(port, target, n, results))
        for n in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(json.dumps(results))


def request(port, target, number, results):
    started_at = time.monotonic()
    has_body = target.endswith("/upload")
    framing = "Transfer-Encoding: chunked" if has_body else "Content-Length: 0"
    head = (
        f"POST {target} HTTP/1.1\r\nHost: h.example\r\n"
        "Savoryspar-Key: key-1\r\n"
        f"Savoryspar-Attempt-Id: a{number}{target.replace('/', '-')}\r\n"
        f"Savoryspar-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n"
        f"Savoryspar-Pieces: {'1' if 'stages' in target else '0'}\r\n"
        f"Connection: close\r\n{framing}\r\n\r\n"
    )
    status = ""
    with socket.create_connection(("127.0.0.1", port)) as sock:
        sock.settimeout(DEADLINE_S + 5.0)
        try:
            sock.sendall(head.encode() + (UPLOAD if has_body else b""))
        except OSError:
            # The VM has answered before the end of the body.
            pass
        try:
            status = sock.recv(15).decode()[9:12]
            while sock.recv(65536):
                pass
        except OSError:
            # A response that is cut ends with a reset.
            pass
    results.append([status, time.monotonic() - started_at])


def ws_frame(opcode, data):
    """Returns a WebSocket frame of a client, masked with zeros."""
    return bytes([0x80 | opcode, 0x80 | len(data)]) + bytes(4) + data


def hello():
    """Returns the first frame of a link."""
    own = membership.Record("peer-1", "vm-9", "r1", "z1", "127.0.0.1:1")
    return ws_frame(2, frames.encode("hello", "peer-1", 1, own.to_body()))


LINK_SHAPES = {
    "head": (b"GET / HTTP/1.1\r\n", block(b"a:b\r\n")),
    "pings": (UPGRADE, block(ws_frame(9, b""))),
    "fragments": (UPGRADE, block(ws_frame(0, b"x"))),
    "linked-pings": (UPGRADE + hello(), block(ws_frame(9, b""))),
    "linked-frames": (UPGRADE + hello(), block(ws_frame(2, b"x"))),
}
"""Bytes that begin a link, and a block that is repeated."""


def flood_links(port, count, shape):
    """Sends on links without end, opened again when they are closed."""
    ends_at = time.monotonic() + DEADLINE_S
    threads = [
        threading.Thread(target=flood_link, args=(port, shape, ends_at))
        for _ in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print("[]")


def flood_link(port, shape, ends_at):
    start, more = LINK_SHAPES[shape]
    while time.monotonic() < ends_at:
        try:
            with socket.create_connection(("127.0.0.1", port), 1.0) as sock:
                sock.settimeout(0.2)
                sock.sendall(start)
                while time.monotonic() < ends_at:
                    sock.sendall(more)
        except OSError:
            # The VM has closed the link, or reads it no faster.
            time.sleep(0.05)


def main(command, port, *args):
    if command == "serve":
        serve(int(port))
    elif command == "link":
        flood_links(int(port), int(args[0]), args[1])
    else:
        call(int(port), int(args[0]), args[1])


if __name__ == "__main__":
    main(*sys.argv[1:])
