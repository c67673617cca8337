"""Shared HTTP handling of the stand-ins: requests, JSON answers, serving."""

from collections.abc import Callable, Iterable
import json
import socket
from typing import Any
from urllib import parse

import eventlet
from eventlet import wsgi


class Exchange:
    """One request to a stand-in and its answer."""

    __slots__ = ("_start_response", "environ", "path", "query")

    def __init__(self, environ: dict[str, Any], start_response: Callable):
        self.environ = environ
        self.path = environ["PATH_INFO"]
        self.query = dict(parse.parse_qsl(environ.get("QUERY_STRING", "")))
        self._start_response = start_response

    def header(self, name: str) -> str:
        """Returns a request header, or an empty string."""
        return self.environ.get("HTTP_" + name.upper().replace("-", "_"), "")

    def read_json(self) -> Any:
        """Returns the decoded body, or an empty object."""
        length = int(self.environ.get("CONTENT_LENGTH") or 0)
        raw = self.environ["wsgi.input"].read(length)
        return json.loads(raw) if raw else {}

    def start(self, status: str, headers: Iterable[tuple[str, str]]) -> None:
        """Sends the status and headers, and echoes the attempt ID."""
        attempt_id = self.header("X-Attempt-Id")
        echoed = [("X-Attempt-Id", attempt_id)] if attempt_id else []
        self._start_response(status, [*headers, *echoed])

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
        """Closes the connection without an answer."""
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
    """Prints ``label`` and the port, then serves until the process ends."""
    sock = eventlet.listen((address, port), backlog=1024)
    # Headers and body are two writes, of which Nagle's algorithm would delay
    # the second by 40 ms.
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
