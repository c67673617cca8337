"""Backend servers, calls to them and their results."""

from collections.abc import Callable
from typing import Any


class Server:
    """A backend server.

    Attributes:
        name: Unique name.
        address: ``IP:port``.
        region, zone: Location of the server.
        pool: Name of its pool.
        version: Versions of its software and models, empty if unknown.
    """

    __slots__ = ("address", "name", "pool", "region", "version", "zone")

    def __init__(
        self,
        name: str,
        address: str,
        region: str,
        zone: str,
        pool: str,
        version: str = "",
    ):
        self.name = name
        self.address = address
        self.region = region
        self.zone = zone
        self.pool = pool
        self.version = version

    @property
    def key(self) -> tuple[str, str]:
        """Name and address, the key of its connections and reports."""
        return (self.name, self.address)


class StageCall:
    """One attempt to run a stage.

    Attributes:
        attempt_id: Unique ID of the attempt; the answer must repeat it.
        request_id: Request that the attempt belongs to.
        path: Path of the endpoint.
        body: Body, sent as JSON.
        timeout_s: Time left for the call.
        rank_priority: Priority at the engine; 0 is the most urgent.
        idempotency_key: Key for services that accept one, otherwise empty.
        before_send: Called right before the first byte is sent; if it raises,
            the call is not sent.
    """

    __slots__ = (
        "attempt_id",
        "before_send",
        "body",
        "idempotency_key",
        "path",
        "rank_priority",
        "request_id",
        "timeout_s",
    )

    def __init__(
        self,
        attempt_id: str,
        request_id: str,
        path: str,
        body: dict[str, Any],
        timeout_s: float,
        rank_priority: int,
        idempotency_key: str = "",
        before_send: Callable[[], None] | None = None,
    ):
        self.attempt_id = attempt_id
        self.request_id = request_id
        self.path = path
        self.body = body
        self.timeout_s = timeout_s
        self.rank_priority = rank_priority
        self.idempotency_key = idempotency_key
        self.before_send = before_send


class StageResult:
    """The answer to one attempt to run a stage.

    Attributes:
        output: Decoded JSON answer.
        load: Requests queued and running at the server, -1 when not reported.
        is_leaving: Whether the server reported that it is leaving.
    """

    __slots__ = ("is_leaving", "load", "output")

    def __init__(self, output: dict[str, Any], load: int, is_leaving: bool):
        self.output = output
        self.load = load
        self.is_leaving = is_leaving
