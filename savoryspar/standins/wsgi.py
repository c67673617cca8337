"""What the HTTP stand-ins share: routing, JSON and serving."""

from collections.abc import Callable, Iterable
import json
import socket
from typing import Any
from urllib import parse

import eventlet
from eventlet import wsgi


class Exchange:
    """One request to a stand-in."""

    __slots__ = ("_start_response", "environ", "path", "query")

    def __init__(self, environ: dict[str, Any], start_response: Callable):
        self.environ = environ
        self.path = environ["PATH_INFO"]
        self.query = dict(parse.parse_qsl(environ.get("QUERY_STRING", "")))
        self._start_response = start_response

    def header(self, name: str) -> str:
        """Returns a request header, or an empty text."""
        return self.environ.get("HTTP_" + name.upper().replace("-", "_"), "")

    def read_json(self) -> Any:
        """Returns the decoded body, or an empty object."""
        length = int(self.environ.get("CONTENT_LENGTH") or 0)
        raw = self.environ["wsgi.input"].read(length)
        return json.loads(raw) if raw else {}

    def start(self, status: str, headers: Iterable[tuple[str, str]]) -> None:
        """Sends the status and headers with the attempt ID repeated."""
        attempt = self.header("X-Attempt-Id")
        repeated = [("X-Attempt-Id", attempt)] if attempt else []
        self._start_response(status, [*headers, *repeated])

    def answer(
        self,
        document: Any,
        status: str = "200 OK",
        headers: Iterable[tuple[str, str]] = (),
    ) -> list[bytes]:
        """Answers with a JSON document."""
        self.start(status, [("Content-Type", "application/json"), *headers])
        return [json.dumps(document).encode()]

    def drop(self) -> list[bytes]:
        """Cuts the connection without an answer."""
        sock = self.environ["eventlet.input"].get_socket()
        sock.shutdown(socket.SHUT_RDWR)
        wsgi.WSGI_LOCAL.already_handled = True
        return []

    def answer_text(self, text: str) -> list[bytes]:
        """Answers with plain text."""
        self.start("200 OK", [("Content-Type", "text/plain")])
        return [text.encode()]


Handler = Callable[[Exchange], Iterable[bytes]]


def serve(
    address: str, port: int, handler: Handler, label: str = "listening"
) -> None:
    """Serves the handler until the process ends; prints the port first."""
    sock = eventlet.listen((address, port), backlog=1024)
    # Headers and body are two writes; Nagle's algorithm would delay the second
    # one by 40 ms.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    print(f"{label} {sock.getsockname()[1]}", flush=True)

    def app(environ: dict[str, Any], start_response: Callable) -> Any:
        return handler(Exchange(environ, start_response))

    wsgi.server(
        sock,
        app,
        log_output=False,
        minimum_chunk_size=0,
        debug=False,
        max_size=8192,
    )
