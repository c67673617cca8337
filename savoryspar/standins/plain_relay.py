"""Baseline relay for the bench.

It passes the chunks that urllib3 reads to the WSGI server, as a minimal proxy
does.
"""

from typing import Any

import urllib3

from savoryspar.standins import wsgi


class PlainRelay:
    """Relays each request to one engine."""

    __slots__ = ("_http", "_url")

    def __init__(self, target: str):
        self._url = f"http://{target}"
        self._http = urllib3.PoolManager(maxsize=1024, block=False)

    def handle(self, exchange: wsgi.Exchange) -> Any:
        """Answers one request with the chunks that the engine sends."""
        environ = exchange.environ
        length = int(environ.get("CONTENT_LENGTH") or 0)
        resp = self._http.request(
            "POST",
            self._url + exchange.path,
            body=environ["wsgi.input"].read(length),
            headers={"X-Attempt-Id": "plain", "X-Request-Id": "plain"},
            preload_content=False,
            retries=False,
            timeout=600.0,
        )
        exchange.start("200 OK", [("Content-Type", "text/event-stream")])
        return resp.read_chunked()


def new_plain_relay(target: str) -> PlainRelay:
    """Returns a relay to the engine at ``IP:port``."""
    return PlainRelay(target)
