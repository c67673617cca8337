"""An order, as it is sent to the process that may run it."""

import hashlib
import json
from typing import Any


class Order:
    """One attempt to send an order; a retry has the same ticket.

    Attributes:
        send_id: Unique ID of the attempt.
        ticket: Text of the ticket.
        workspace: Name of the authenticated workspace.
        pipeline: Name of the pipeline.
        rank: Scheduling rank of the work.
        body: Decoded JSON body.
        key_digest: SHA-256 of the Idempotency-Key, or empty.
        timeout_s: Seconds left until the caller's deadline.
    """

    __slots__ = (
        "body",
        "key_digest",
        "pipeline",
        "rank",
        "send_id",
        "ticket",
        "timeout_s",
        "workspace",
    )

    def __init__(
        self,
        send_id: str,
        ticket: str,
        workspace: str,
        pipeline: str,
        rank: str,
        body: dict[str, Any],
        key_digest: str,
        timeout_s: float,
    ):
        self.send_id = send_id
        self.ticket = ticket
        self.workspace = workspace
        self.pipeline = pipeline
        self.rank = rank
        self.body = body
        self.key_digest = key_digest
        self.timeout_s = timeout_s

    def digest(self) -> str:
        """Returns the SHA-256 of the pipeline and the body."""
        text = json.dumps([self.pipeline, self.body], sort_keys=True)
        return hashlib.sha256(text.encode()).hexdigest()

    def to_message(self) -> dict[str, Any]:
        """Returns the order as a message to another process."""
        return {name: getattr(self, name) for name in self.__slots__}


def from_message(message: dict[str, Any]) -> Order:
    """Decodes a message; raises ``KeyError`` or ``TypeError``."""
    return Order(**{name: message[name] for name in Order.__slots__})
