"""The operators' side: status, drain and recent decisions."""

from collections.abc import Callable, Iterable
import json
from typing import Any
from urllib import parse

import eventlet
from eventlet import wsgi

from savoryspar import log

ENDPOINTS = {
    ("GET", "/status"): "State of this process: sheet in force, peers, faults.",
    ("GET", "/decisions"): "The last decisions; a query filters by field.",
    ("POST", "/drain"): "Lets the process finish its requests and exit.",
}


class OperatorApp:
    """A WSGI application on a port of its own."""

    __slots__ = ("_decisions", "_drain", "_status")

    def __init__(
        self,
        status: Callable[[], dict[str, Any]],
        drain: Callable[[], None],
        decisions: log.DecisionLog,
    ):
        self._status = status
        self._drain = drain
        self._decisions = decisions

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Answers one request (PEP 3333)."""
        place = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        if place == ("GET", "/status"):
            return _answer(start_response, "200 OK", self._status())
        if place == ("POST", "/drain"):
            self._drain()
            return _answer(start_response, "202 Accepted", {"draining": True})
        if place == ("GET", "/decisions"):
            query = dict(parse.parse_qsl(environ.get("QUERY_STRING", "")))
            found = self._decisions.recent(query)
            return _answer(start_response, "200 OK", {"decisions": found})
        return _answer(
            start_response,
            "404 Not Found",
            {"error": "use GET /status, GET /decisions or POST /drain"},
        )


def _answer(
    start_response: Callable, status: str, document: dict[str, Any]
) -> list[bytes]:
    start_response(status, [("Content-Type", "application/json")])
    return [json.dumps(document).encode()]


def serve_operators(app: OperatorApp, address: str, port: int) -> int:
    """Serves operators in a green thread and returns the port."""
    sock = eventlet.listen((address, port))
    eventlet.spawn(wsgi.server, sock, app, log_output=False, debug=False)
    return sock.getsockname()[1]
