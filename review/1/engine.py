"""An engine in a process of its own, which may send bytes without end.

Arguments: its ID, its port, and a path. While a file exists at the path, the
body of each answer to a stream goes on without end, until the caller closes.
"""

import pathlib
import socket
import sys
import threading
import time

EVENTS = 20
GAP_S = 0.03
ENDLESS = b"1\r\nx\r\n" * 8192
"""Chunks of one byte each, which never make an event."""


def read_request(conn: socket.socket) -> tuple[str, dict[str, str]]:
    """Reads a request; returns its method, empty at the end, and its fields."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = conn.recv(65536)
        if not part:
            return "", {}
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    fields = {name.lower(): value.strip() for name, _, value in pairs}
    left = int(fields.get("content-length", "0")) - len(body)
    while left > 0:
        left -= len(conn.recv(min(left, 65536)))
    return first.partition(" ")[0], fields


def serve(conn: socket.socket, name: str, trouble: pathlib.Path) -> None:
    """Answers the requests of a connection."""
    while True:
        method, fields = read_request(conn)
        if not method:
            return
        if fields.get("savoryspar-expect-instance", name) != name:
            conn.sendall(
                b"HTTP/1.1 421 Misdirected Request\r\n"
                b"Savoryspar-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            )
            continue
        attempt = fields.get("savoryspar-attempt-id", "")
        conn.sendall(
            f"HTTP/1.1 200 OK\r\nSavoryspar-Attempt-Id: {attempt}\r\n"
            "Savoryspar-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(EVENTS):
            while trouble.exists():
                conn.sendall(ENDLESS)
            time.sleep(GAP_S)
            event = f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
            conn.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        conn.sendall(b"0\r\n\r\n")


def run(conn: socket.socket, name: str, trouble: pathlib.Path) -> None:
    """Serves a connection until its peer closes it."""
    with conn:
        try:
            serve(conn, name, trouble)
        except OSError:
            return


def main(name: str, port: str, path: str) -> None:
    """Accepts connections."""
    trouble = pathlib.Path(path)
    with socket.create_server(("127.0.0.1", int(port)), backlog=1024) as sock:
        while True:
            conn, _ = sock.accept()
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=run, args=(conn, name, trouble), daemon=True
            ).start()


if __name__ == "__main__":
    main(*sys.argv[1:])
