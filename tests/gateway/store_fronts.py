"""A store with an address for each VM, whose answers to one VM can fail."""

import collections
import json
import socket
import struct
import time

import eventlet

from savoryspar.platform import standin

WATCH_PATH = "/-/kv-watch"
REFUSALS = ("503 Service Unavailable", "429 Too Many Requests")
LINGER_RESET = struct.pack("ii", 1, 0)
"""Socket option with which a close resets the connection."""


class StoreFront:
    """The store as one VM sees it.

    Attributes:
        watch_mode, read_mode: How calls are answered: ``normal``; ``silent``,
            with no byte on a connection that stays open; ``cut``, by half of
            the answer; ``reset``; or one of ``REFUSALS``. A watch may also be
            ``deaf``, without changes at its end, if it began before them.
        delay_s: Delay before each answer, in seconds.
        calls: Path and monotonic time of each call.
        address: ``IP:port``.
    """

    def __init__(self, contents):
        self._contents = contents
        self.watch_mode = self.read_mode = "normal"
        self.delay_s = 0.0
        self.calls = collections.deque()
        self._sock = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        eventlet.spawn(self._listen)

    def set_mode(self, mode, read_mode=None):
        """Sets how watches, and unless given otherwise reads, are answered."""
        self.watch_mode = mode
        self.read_mode = mode if read_mode is None else read_mode

    def has_watched(self, within_s):
        """Returns whether a watch has begun lately."""
        since = time.monotonic() - within_s
        return any(path == WATCH_PATH and at > since for path, at in self.calls)

    def _listen(self):
        while True:
            sock, _ = self._sock.accept()
            eventlet.spawn(self._serve, sock)

    def _serve(self, sock):
        """Answers the calls on a connection until it has failed one."""
        received = b""
        try:
            while part := sock.recv(65536):
                received += part
                head, end, _ = received.partition(b"\r\n\r\n")
                if end:
                    received = b""
                    if not self._answer(sock, head.split()[1].decode()):
                        return
        except OSError:
            return
        finally:
            sock.close()

    def _mode(self, is_watch):
        return self.watch_mode if is_watch else self.read_mode

    def _answer(self, sock, target):
        path, _, query = target.partition("?")
        began_at = time.monotonic()
        self.calls.append((path, began_at))
        began_revision = self._contents.revision
        is_watch = path == WATCH_PATH
        status, fields, body = "", [], b""
        if self._mode(is_watch) not in ("silent", "reset", *REFUSALS):
            status, fields, body = standin.serve_store(
                self._contents, {"PATH_INFO": path, "QUERY_STRING": query}
            )
        eventlet.sleep(self.delay_s)
        mode = self._mode(is_watch)
        if mode == "silent":
            while sock.recv(65536):
                continue
            return False
        if mode == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            return False
        if mode == "deaf" and self._contents.revision > began_revision:
            fields = dict(item.split("=") for item in query.split("&"))
            wait_s = int(fields["wait-ms"]) / 1000.0
            eventlet.sleep(max(0.0, began_at + wait_s - time.monotonic()))
            as_of = self._contents.revision
            body = json.dumps({"events": [], "as-of": as_of}).encode()
        if mode in REFUSALS:
            status, body = mode, b"{}"
        answer = (
            f"HTTP/1.1 {status}\r\n"
            + "".join(f"{name}: {value}\r\n" for name, value in fields)
            + f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        is_cut = mode == "cut"
        sock.sendall(answer[: len(answer) // 2] if is_cut else answer)
        return not is_cut
