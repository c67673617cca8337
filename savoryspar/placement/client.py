"""Reads the state of engines and sends them orders over HTTP."""

from collections.abc import Callable
import json

import urllib3

from savoryspar import backends
from savoryspar.backends import guarded
from savoryspar.placement import exceptions, model

TIMEOUT_S = 1.0


class EngineClient:
    """Calls the orders endpoint of any engine."""

    __slots__ = ("_pool",)

    def __init__(self, pool: urllib3.PoolManager):
        self._pool = pool

    def read(self, server: backends.Server, now: float) -> model.EngineState:
        """Returns the state of an engine.

        Raises:
            OrderFailedError: The engine did not report it.
        """
        resp = self._request("GET", server, "/models", None)
        try:
            document = json.loads(resp.data)
            return model.decode_state(server.name, server.pool, document, now)
        except (ValueError, KeyError, TypeError) as exc:
            raise _failed(
                server, f"its models cannot be read: {exc!r}"
            ) from exc

    def send(
        self,
        server: backends.Server,
        action: object,
        fencing_number: int,
        before_send: Callable[[], None],
    ) -> None:
        """Sends an order.

        Args:
            server: The engine.
            action: The order.
            fencing_number: Number of the order.
            before_send: Called after connecting, right before the first byte
                leaves; nothing is sent when it raises.

        Raises:
            OrderFailedError: The engine did not take the order.
        """
        body = {
            **model.order_body(action),
            "fencing_number": fencing_number,
        }
        with guarded.before_first_byte(before_send):
            resp = self._request("POST", server, "/orders", body)
        if resp.status == 409:
            raise exceptions.OrderFailedError(
                f"engine {server.name} has seen a higher number than"
                f" {fencing_number}",
                "another process sends its orders; the next plan decides",
                _reported_number(resp.data),
            )
        if resp.status not in (200, 202):
            raise _failed(server, f"it answered {resp.status}")

    def _request(
        self,
        method: str,
        server: backends.Server,
        path: str,
        body: dict | None,
    ) -> urllib3.BaseHTTPResponse:
        try:
            return self._pool.request(
                method,
                f"http://{server.address}{path}",
                body=None if body is None else json.dumps(body).encode(),
                timeout=TIMEOUT_S,
                retries=False,
            )
        except urllib3.exceptions.HTTPError as exc:
            raise _failed(server, f"no answer: {exc}") from exc


def _failed(
    server: backends.Server, reason: str
) -> exceptions.OrderFailedError:
    return exceptions.OrderFailedError(
        f"engine {server.name} took no order: {reason}", "check the engine"
    )


def _reported_number(data: bytes) -> int:
    try:
        return int(json.loads(data)["fencing_number"])
    except (ValueError, KeyError, TypeError):
        return 0


def new_engine_client() -> EngineClient:
    """Returns a client with connections of its own."""
    return EngineClient(guarded.new_pool_manager(num_pools=256, maxsize=1))
