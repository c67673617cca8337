"""HTTP server that frames answers in each way, and may send them twice."""

from collections.abc import Callable, Mapping, Sequence
import contextlib
from http import client
import io
from typing import Any

import eventlet
from eventlet import semaphore

LENGTH = "length"
CHUNKED = "chunked"
CLOSED = "closed"
"""Ways in which the end of a body is told; ``CLOSED`` is the end of the
connection."""
MAX_COPY_DELAY_S = 0.3


class Answer:
    """One answer.

    Attributes:
        status: Status code and reason.
        fields: Header fields, without those of the framing.
        framing: How the end of the body is told.
        parts: Parts of the body, each with the pause before it in seconds.
        is_copied: Whether the answer is sent a second time.
        copy_delay_s: Delay of the copy; None to send it where the next answer
            is due.
    """

    __slots__ = (
        "copy_delay_s",
        "fields",
        "framing",
        "is_copied",
        "parts",
        "status",
    )

    def __init__(self, status: str):
        self.status = status
        self.fields: list[tuple[str, str]] = []
        self.framing = LENGTH
        self.parts: Sequence[tuple[float, bytes]] = ()
        self.is_copied = False
        self.copy_delay_s: float | None = None

    def pieces(self) -> list[tuple[float, bytes]]:
        """Returns what is sent, each with the pause before it."""
        frame, end = _FRAMES[self.framing]
        size = sum(len(data) for _, data in self.parts)
        fields = {
            LENGTH: [("Content-Length", str(size))],
            CHUNKED: [("Transfer-Encoding", "chunked")],
            CLOSED: [],
        }[self.framing]
        head = f"HTTP/1.1 {self.status}\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in [*self.fields, *fields]
        )
        parts = [(pause_s, frame(data)) for pause_s, data in self.parts if data]
        return [(0.0, head.encode() + b"\r\n"), *parts, (0.0, end)]


_FRAMES: dict[str, tuple[Callable[[bytes], bytes], bytes]] = {
    LENGTH: (bytes, b""),
    CHUNKED: (lambda data: b"%x\r\n%s\r\n" % (len(data), data), b"0\r\n\r\n"),
    CLOSED: (bytes, b""),
}


class _Connection:
    """One connection, on which one request is answered at a time."""

    def __init__(self, sock: Any, answer: Callable[[dict[str, Any]], Answer]):
        self._sock = sock
        self._answer = answer
        self._file = sock.makefile("rb")
        self._lock = semaphore.Semaphore()
        self._due_copy = b""

    def run(self) -> None:
        """Answers requests until the connection ends."""
        # The peer may end or reset the connection at any time.
        with contextlib.suppress(OSError):
            is_open = True
            while is_open and (environ := read_request(self._file)):
                is_open = self._send(self._answer(environ))
        self._file.close()
        self._sock.close()

    def _send(self, answer: Answer) -> bool:
        """Sends an answer; returns whether the connection stays open."""
        sent = []
        with self._lock:
            if self._due_copy:
                self._sock.sendall(self._due_copy)
                self._due_copy = b""
            for pause_s, data in _joined(answer.pieces()):
                eventlet.sleep(pause_s)
                self._sock.sendall(data)
                sent.append(data)
        if answer.framing == CLOSED:
            if answer.is_copied:
                self._sock.sendall(b"".join(sent))
            return False
        if answer.is_copied and answer.copy_delay_s is None:
            self._due_copy = b"".join(sent)
        elif answer.is_copied:
            eventlet.spawn_after(
                answer.copy_delay_s, self._send_copy, b"".join(sent)
            )
        return True

    def _send_copy(self, data: bytes) -> None:
        # The peer may have ended the connection.
        with self._lock, contextlib.suppress(OSError):
            self._sock.sendall(data)


def _joined(pieces: Sequence[tuple[float, bytes]]) -> list[tuple[float, bytes]]:
    """Joins what is sent without a pause."""
    joined: list[tuple[float, bytes]] = []
    for pause_s, data in pieces:
        if joined and not pause_s:
            joined[-1] = (joined[-1][0], joined[-1][1] + data)
        else:
            joined.append((pause_s, data))
    return joined


def read_request(file: io.BufferedReader) -> dict[str, Any] | None:
    """Reads a request as a WSGI environment, None at the end of the file."""
    words = file.readline(65536).split()
    if len(words) != 3:
        return None
    fields = client.parse_headers(file)
    body = _read_body(file, fields)
    path, _, query = words[1].decode("latin-1").partition("?")
    environ = {
        "HTTP_" + name.upper().replace("-", "_"): value
        for name, value in fields.items()
    }
    return {
        **environ,
        "REQUEST_METHOD": words[0].decode("latin-1"),
        "PATH_INFO": path,
        "QUERY_STRING": query,
        "wsgi.input": io.BytesIO(body),
    }


def _read_body(file: io.BufferedReader, fields: Mapping[str, str]) -> bytes:
    if fields.get("Transfer-Encoding", "").lower() != "chunked":
        return file.read(int(fields.get("Content-Length") or 0))
    body = b""
    while size := int(file.readline(65536).partition(b";")[0] or b"0", 16):
        body += file.read(size)
        file.readline(65536)
    client.parse_headers(file)
    return body


def serve(listener: Any, answer: Callable[[dict[str, Any]], Answer]) -> None:
    """Serves connections; ``answer`` returns the answer to a request."""
    while True:
        sock, _ = listener.accept()
        eventlet.spawn(_Connection(sock, answer).run)
