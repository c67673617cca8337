"""An order on its way to the process that may run it."""

import hashlib
import json
from typing import Any


class Order:
    """One send of an order; a resend is another one with the same ticket.

    Attributes:
        send_id: Unique ID of the send.
        ticket: Text of the ticket.
        workspace: Name of the authenticated workspace.
        pipeline: Name of the pipeline.
        rank: Rank of the work.
        body: Decoded JSON body.
        key_digest: SHA-256 of the Idempotency-Key, or empty.
        timeout_s: Time left until the caller's deadline.
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
        """Returns the digest of what is to run."""
        text = json.dumps([self.pipeline, self.body], sort_keys=True)
        return hashlib.sha256(text.encode()).hexdigest()

    def to_message(self) -> dict[str, Any]:
        """Returns the order as the body of a message between processes."""
        return {name: getattr(self, name) for name in self.__slots__}


def from_message(message: dict[str, Any]) -> Order:
    """Returns the order of a message; raises ``KeyError`` or ``TypeError``."""
    return Order(**{name: message[name] for name in Order.__slots__})
