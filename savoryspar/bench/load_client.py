"""A small HTTP client that records the arrival time of stream events."""

from collections.abc import Callable
import json
import socket
from typing import Any

RECEIVE_BYTES = 65536
EVENT_END = b"\n\n"
DONE = b"data: [DONE]\n\n"


class AnswerError(Exception):
    """The answer ended early or its framing is invalid."""


class Answer:
    """The answer to one request.

    Attributes:
        status: HTTP status.
        headers: Headers by lower-case name.
        body: Body without the chunked transfer coding.
        event_times: Arrival time of each event of a stream, in seconds of the
            clock of the connection.
    """

    __slots__ = ("body", "event_times", "headers", "status")

    def __init__(self, status: int, headers: dict[str, str]):
        self.status = status
        self.headers = headers
        self.body = b""
        self.event_times: list[float] = []

    @property
    def is_stream(self) -> bool:
        """Whether the answer is an event stream."""
        kind = self.headers.get("content-type", "")
        return kind.startswith("text/event-stream")

    @property
    def is_whole(self) -> bool:
        """Whether the answer is complete and successful."""
        if self.is_stream:
            return self.body.endswith(DONE)
        return self.status == 200

    @property
    def run_state(self) -> str:
        """Run state in the problem document, empty if there is none."""
        problem = self.body
        if self.is_stream:
            problem = problem.rstrip().rpartition(b"data: ")[2]
        try:
            document = json.loads(problem)
        except ValueError:
            return ""
        if not isinstance(document, dict):
            return ""
        return str(document.get("run_state", ""))

    def json(self) -> Any:
        """Returns the decoded JSON body."""
        return json.loads(self.body)

    def text(self) -> str:
        """Returns the generated text of a stream."""
        return "".join(
            choice["delta"].get("content") or ""
            for line in self.body.split(b"\n")
            if line.startswith(b"data: {")
            for choice in json.loads(line[6:]).get("choices", ())
        )


class Connection:
    """A connection that sends requests one after another.

    Attributes:
        is_reusable: Whether the connection can carry another request.
    """

    __slots__ = ("_buffer", "_clock", "_sock", "is_reusable")

    def __init__(self, sock: socket.socket, clock: Callable[[], float]):
        self._sock = sock
        self._clock = clock
        self._buffer = b""
        self.is_reusable = True

    def send(self, request: bytes) -> None:
        """Sends a complete request."""
        self._sock.sendall(request)

    def receive(self) -> Answer:
        """Waits for the complete answer.

        Raises:
            AnswerError: The answer ended early or its framing is invalid.
            OSError: The connection broke or timed out.
        """
        head = self._read_until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in head[1:])
        }
        answer = Answer(int(head[0].split(" ", 2)[1]), headers)
        if headers.get("transfer-encoding") == "chunked":
            self._receive_chunks(answer)
        else:
            answer.body = self._read_exactly(int(headers["content-length"]))
        self.is_reusable = headers.get("connection") != "close"
        return answer

    def close(self) -> None:
        """Closes the connection."""
        self._sock.close()

    def _receive_chunks(self, answer: Answer) -> None:
        parts: list[bytes] = []
        while True:
            line = self._read_until(b"\r\n")
            try:
                size = int(line, 16)
            except ValueError:
                raise AnswerError(f"invalid chunk size {line[:40]!r}") from None
            data = self._read_exactly(size + 2)
            if not data.endswith(b"\r\n"):
                raise AnswerError(f"invalid chunk terminator {data[-2:]!r}")
            if not size:
                break
            data = data[:-2]
            parts.append(data)
            if ends := data.count(EVENT_END):
                answer.event_times += [self._clock()] * ends
        answer.body = b"".join(parts)

    def _read_until(self, end: bytes) -> bytes:
        while (at := self._buffer.find(end)) < 0:
            self._receive_more()
        found = self._buffer[:at]
        self._buffer = self._buffer[at + len(end) :]
        return found

    def _read_exactly(self, size: int) -> bytes:
        while len(self._buffer) < size:
            self._receive_more()
        found, self._buffer = self._buffer[:size], self._buffer[size:]
        return found

    def _receive_more(self) -> None:
        data = self._sock.recv(RECEIVE_BYTES)
        if not data:
            raise AnswerError("connection closed before the end of the answer")
        self._buffer += data


def connect(
    address: str, timeout_s: float, clock: Callable[[], float]
) -> Connection:
    """Connects to ``IP:port``; the time-out also bounds each later read."""
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return Connection(sock, clock)


def render_request(
    method: str, path: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Returns an HTTP/1.1 request as bytes."""
    lines = [f"{method} {path} HTTP/1.1", "Host: entry"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body
