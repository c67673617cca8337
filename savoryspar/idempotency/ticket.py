"""Signed tickets, each naming the only incarnation that may run the order."""

import base64
import binascii
from collections.abc import Sequence
import hashlib
import hmac
import json
import secrets

from savoryspar.idempotency import clocks, exceptions

VERSION = "t1"
MAX_TICKET_CHARS = 2048


class Ticket:
    """Permission to run one order once.

    Attributes:
        incarnation: The only incarnation that may run the order.
        workspace: Workspace that the ticket was issued to.
        pipeline: Pipeline that the ticket is valid for.
        nonce: Unique ID.
        issued_at, expires_at: Seconds since the Unix epoch.
        key_digest: SHA-256 of the caller's Idempotency-Key, or empty.
        text: The signed text.
    """

    __slots__ = (
        "expires_at",
        "incarnation",
        "issued_at",
        "key_digest",
        "nonce",
        "pipeline",
        "text",
        "workspace",
    )

    def __init__(
        self,
        incarnation: str,
        workspace: str,
        pipeline: str,
        nonce: str,
        issued_at: float,
        expires_at: float,
        key_digest: str,
        text: str,
    ):
        self.incarnation = incarnation
        self.workspace = workspace
        self.pipeline = pipeline
        self.nonce = nonce
        self.issued_at = issued_at
        self.expires_at = expires_at
        self.key_digest = key_digest
        self.text = text


class TicketSigner:
    """Issues and verifies tickets with HMAC-SHA-256."""

    __slots__ = ("_keys", "_signing_key", "_ttl_s")

    def __init__(self, keys: Sequence[tuple[str, bytes]], ttl_s: float):
        self._keys = dict(keys)
        self._signing_key = keys[0][0] if keys else ""
        self._ttl_s = ttl_s

    def issue(
        self,
        incarnation: str,
        workspace: str,
        pipeline: str,
        key_digest: str,
        now: clocks.ClockReading,
    ) -> Ticket:
        """Returns a new ticket.

        Raises:
            LedgerFullError: The settings contain no key.
        """
        if not self._signing_key:
            raise exceptions.LedgerFullError(
                "this entry VM has no key for tickets",
                "set [idempotency] ticket_keys",
                self._ttl_s,
            )
        fields = [
            incarnation,
            workspace,
            pipeline,
            secrets.token_hex(16),
            round(now.wall_s, 3),
            round(now.wall_s + self._ttl_s, 3),
            key_digest,
        ]
        payload = _encode(json.dumps(fields, separators=(",", ":")).encode())
        head = f"{VERSION}.{self._signing_key}.{payload}"
        return Ticket(*fields, f"{head}.{self._mac(self._signing_key, head)}")

    def verify(self, text: str) -> Ticket:
        """Returns the ticket if one of the keys signed it.

        Raises:
            TicketError: The text is not a ticket, or no known key signed it.
        """
        head, _, mac = text.rpartition(".")
        parts = head.split(".")
        if (
            len(text) > MAX_TICKET_CHARS
            or not text.isascii()
            or len(parts) != 3
            or parts[0] != VERSION
            or parts[1] not in self._keys
            or not hmac.compare_digest(mac, self._mac(parts[1], head))
        ):
            raise exceptions.TicketError
        try:
            return Ticket(*json.loads(_decode(parts[2])), text)
        except (ValueError, TypeError, binascii.Error) as exc:
            raise exceptions.TicketError from exc

    def _mac(self, key_id: str, head: str) -> str:
        mac = hmac.new(self._keys[key_id], head.encode(), hashlib.sha256)
        return _encode(mac.digest())


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode(text: str) -> bytes:
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))


def new_ticket_signer(
    keys: Sequence[tuple[str, bytes]], ttl_s: float
) -> TicketSigner:
    """Returns a signer; the first key signs, and all keys verify."""
    return TicketSigner(keys, ttl_s)
