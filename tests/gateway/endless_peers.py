"""Servers and callers that send without end, in processes of their own.

Run as a program with ``serve PORT``, it answers each request without end, as
the last part of its path tells. With ``call PORT COUNT TARGET``, it sends equal
requests at the same time; those to targets that end with ``/upload`` have a
body in chunks of one byte. It prints the status and the latency of each answer
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

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEADLINE_S = 2.0
BLOCK_BYTES = 1 << 16
SEAL = b"Savoryspar-Seal: s1\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n" + SEAL
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ONE_BYTE = b"1\r\nx\r\n"
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


def main(command, port, *args):
    if command == "serve":
        serve(int(port))
    else:
        call(int(port), int(args[0]), args[1])


if __name__ == "__main__":
    main(*sys.argv[1:])
