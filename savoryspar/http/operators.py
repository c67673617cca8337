"""The operators' API: status, drain and recent decisions."""

from collections.abc import Callable, Iterable
import json
from typing import Any
from urllib import parse

import eventlet
from eventlet import wsgi

from savoryspar import eventloop, log

ENDPOINTS = {
    ("GET", "/status"): "State of this process: sheet in force, peers, faults.",
    ("GET", "/decisions"): "Recent decisions; a query filters by field.",
    ("POST", "/drain"): "Makes the process finish its requests and exit.",
}


class OperatorApp:
    """The WSGI application of the operators' API, on a separate port."""

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
        """Handles one request (PEP 3333)."""
        route = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        if route == ("GET", "/status"):
            return _respond(start_response, "200 OK", self._status())
        if route == ("POST", "/drain"):
            self._drain()
            return _respond(start_response, "202 Accepted", {"draining": True})
        if route == ("GET", "/decisions"):
            query = dict(parse.parse_qsl(environ.get("QUERY_STRING", "")))
            found = self._decisions.recent(query)
            return _respond(start_response, "200 OK", {"decisions": found})
        return _respond(
            start_response,
            "404 Not Found",
            {"error": "use GET /status, GET /decisions or POST /drain"},
        )


def _respond(
    start_response: Callable, status: str, document: dict[str, Any]
) -> list[bytes]:
    start_response(status, [("Content-Type", "application/json")])
    return [json.dumps(document).encode()]


def serve_operators(app: OperatorApp, address: str, port: int) -> int:
    """Serves the operators' API in a green thread and returns its port."""
    sock = eventloop.listen((address, port))
    eventlet.spawn(wsgi.server, sock, app, log_output=False, debug=False)
    return sock.getsockname()[1]
