"""Settings of the section ``[idempotency]``."""

from savoryspar.conf import converters, setting

MIN_KEY_BYTES = 32


def ticket_keys(value: str) -> tuple[tuple[str, bytes], ...]:
    """Returns (ID, secret) of each key; the first one signs."""
    expected = (
        "keys as ID:HEX with different IDs of letters and digits and at"
        f" least {MIN_KEY_BYTES} bytes each"
    )
    keys = []
    for word in converters.words(value):
        key_id, _, digits = word.partition(":")
        try:
            secret = bytes.fromhex(digits)
        except ValueError:
            raise ValueError(expected) from None
        if not key_id.isalnum() or len(secret) < MIN_KEY_BYTES:
            raise ValueError(expected)
        keys.append((key_id, secret))
    if len(dict(keys)) != len(keys):
        raise ValueError(expected)
    return tuple(keys)


SETTINGS: tuple[setting.Setting, ...] = (
    setting.Setting(
        "idempotency",
        "ticket_keys",
        ticket_keys,
        "",
        "HMAC keys of tickets as ID:HEX, the same on all entry VMs; the first"
        " signs, all verify. Without a key no ticket is issued.",
    ),
    setting.Setting(
        "idempotency",
        "ticket_ttl_s",
        converters.seconds,
        "600",
        "Time from the issue of a ticket to its expiry.",
    ),
    setting.Setting(
        "idempotency",
        "ledger_max_entries",
        converters.size,
        "20000",
        "Tickets that a process may have issued and not yet expired.",
    ),
    setting.Setting(
        "idempotency",
        "ledger_workspace_percent",
        converters.percent,
        "25",
        "Share of the ledger that one workspace may hold.",
    ),
    setting.Setting(
        "idempotency",
        "ledger_max_result_bytes",
        converters.size,
        "16777216",
        "Results of finished orders that a process keeps.",
    ),
    setting.Setting(
        "idempotency",
        "handover_timeout_s",
        converters.seconds,
        "5",
        "Longest time that a graceful shutdown spends on the hand-over.",
    ),
)
