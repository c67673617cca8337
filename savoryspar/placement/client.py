"""HTTP client that reads the state of engines and sends actions to them."""

from collections.abc import Callable
import json

import urllib3

from savoryspar import backends, decoding, log
from savoryspar.backends import guarded
from savoryspar.placement import exceptions, model

TIMEOUT_S = 1.0
MAX_STATE_BYTES = 1 << 20

logger = log.new_logger("placement")


class EngineClient:
    """Client of the ``/models`` and ``/orders`` endpoints of all engines."""

    __slots__ = ("_pool",)

    def __init__(self, pool: urllib3.PoolManager):
        self._pool = pool

    def read(self, server: backends.Server, now: float) -> model.EngineState:
        """Returns the state of an engine.

        Raises:
            EngineRequestError: The engine did not return a valid state.
        """
        resp = self._request("GET", server, "/models", None)
        try:
            document = decoding.decode_json(resp.data, MAX_STATE_BYTES)
            return model.decode_state(server.name, server.pool, document, now)
        except decoding.DecodingError as exc:
            raise _request_error(
                server, f"its models cannot be decoded: {exc}"
            ) from exc

    def send(
        self,
        server: backends.Server,
        action: object,
        fencing_number: int,
        before_send: Callable[[], None],
    ) -> None:
        """Sends an action to an engine.

        Args:
            server: The engine.
            action: The action.
            fencing_number: Fencing number of the action.
            before_send: Called after connecting, right before the first byte
                is sent; nothing is sent if it raises an exception.

        Raises:
            EngineRequestError: The engine did not accept the action.
        """
        body = {
            **model.action_body(action),
            "fencing_number": fencing_number,
        }
        with guarded.before_first_byte(before_send):
            resp = self._request("POST", server, "/orders", body)
        if resp.status == 409:
            raise exceptions.EngineRequestError(
                f"engine {server.name} has seen a higher fencing number than"
                f" {fencing_number}",
                "nothing to do; another process sends the engine's actions",
                _reported_number(resp.data),
            )
        if resp.status not in (200, 202):
            raise _request_error(
                server, f"the response has status {resp.status}"
            )

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
            raise _request_error(server, f"no response: {exc}") from exc


def _request_error(
    server: backends.Server, reason: str
) -> exceptions.EngineRequestError:
    return exceptions.EngineRequestError(
        f"request to engine {server.name} failed: {reason}", "check the engine"
    )


def _reported_number(data: bytes) -> int:
    try:
        with decoding.reading("an answer"):
            document = decoding.decode_json(data, MAX_STATE_BYTES)
            return decoding.integer(document["fencing_number"], 0)
    except decoding.DecodingError as exc:
        logger.debug(f"An engine reported no fencing number. {exc}")
        return 0


def new_engine_client() -> EngineClient:
    """Returns a client with its own connection pool."""
    return EngineClient(guarded.new_pool_manager(num_pools=256, maxsize=1))
