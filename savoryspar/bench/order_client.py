"""A client that sends orders, for tests and benchmarks."""

import json
from typing import Any

import urllib3

from savoryspar.bench import fleet as fleet_lib

TIMEOUT_S = 10.0
BROKEN = 0
"""Status in place of an HTTP status when the connection broke."""


class Reply:
    """The answer to one request.

    Attributes:
        status: HTTP status, ``BROKEN`` when the connection broke.
        document: Decoded JSON answer, or an empty object.
        headers: Headers of the answer.
    """

    __slots__ = ("document", "headers", "status")

    def __init__(
        self, status: int, document: dict[str, Any], headers: dict[str, str]
    ):
        self.status = status
        self.document = document
        self.headers = headers

    @property
    def run_state(self) -> str:
        """Run state in the answer, empty if it holds none."""
        return self.document.get("run_state", "")


class OrderClient:
    """Sends the orders of one workspace to any entry process."""

    __slots__ = ("_http", "_key", "pipeline")

    def __init__(self, key: str, pipeline: str, connections: int = 64):
        self._http = urllib3.PoolManager(maxsize=connections, retries=False)
        self._key = key
        self.pipeline = pipeline

    def ticket(self, entry: fleet_lib.Process) -> str:
        """Requests a new ticket and returns it, empty if none was issued."""
        body = {"pipeline": self.pipeline}
        reply = self._request("POST", f"{entry.url}/v1/tickets", body, {})
        return reply.document.get("ticket", "")

    def send(
        self,
        entry: fleet_lib.Process,
        body: dict[str, Any],
        ticket: str = "",
        idempotency_key: str = "",
    ) -> Reply:
        """Sends an order with its ticket or idempotency key."""
        headers = {"Order-Ticket": ticket, "Idempotency-Key": idempotency_key}
        sent = {name: value for name, value in headers.items() if value}
        url = f"{entry.url}/v1/pipelines/{self.pipeline}"
        return self._request("POST", url, body, sent)

    def state(self, entry: fleet_lib.Process, ticket: str) -> Reply:
        """Requests the state of an order."""
        return self._request("GET", f"{entry.url}/v1/orders/{ticket}", None, {})

    def _request(
        self,
        method: str,
        url: str,
        body: dict[str, Any] | None,
        headers: dict[str, str],
    ) -> Reply:
        raw = None if body is None else json.dumps(body).encode()
        try:
            resp = self._http.request(
                method,
                url,
                body=raw,
                headers={"Authorization": f"Bearer {self._key}", **headers},
                timeout=TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError:
            return Reply(BROKEN, {}, {})
        return Reply(resp.status, json.loads(resp.data), dict(resp.headers))
