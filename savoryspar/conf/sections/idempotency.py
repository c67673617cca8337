"""Settings of the section ``[idempotency]``."""

from savoryspar.conf import converters, setting

MIN_KEY_BYTES = 32


def ticket_keys(value: str) -> tuple[tuple[str, bytes], ...]:
    """Returns (ID, secret) of each key; the first key signs new tickets."""
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
        "HMAC keys of tickets as ID:HEX, the same on all entry VMs. The first"
        " signs, all verify; without a key no ticket is issued.",
    ),
    setting.Setting(
        "idempotency",
        "ticket_ttl_s",
        converters.seconds,
        "600",
        "Lifetime of a ticket.",
    ),
    setting.Setting(
        "idempotency",
        "ledger_max_entries",
        converters.positive_int,
        "20000",
        "Maximum unexpired tickets issued by a process.",
    ),
    setting.Setting(
        "idempotency",
        "ledger_workspace_percent",
        converters.percent,
        "25",
        "Maximum share of the ledger for one workspace.",
    ),
    setting.Setting(
        "idempotency",
        "ledger_max_result_bytes",
        converters.positive_int,
        "16777216",
        "Maximum total size of the results of finished orders that are kept.",
    ),
    setting.Setting(
        "idempotency",
        "handover_timeout_s",
        converters.seconds,
        "5",
        "Time limit for the handover of orders to peers on shutdown.",
    ),
)
