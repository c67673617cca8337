"""Settings of the section ``[http]``."""

from savoryspar.conf import converters, setting

SETTINGS: tuple[setting.Setting, ...] = (
    setting.Setting(
        "http",
        "max_body_bytes",
        converters.positive_int,
        "1048576",
        "Largest request body that is accepted.",
    ),
    setting.Setting(
        "http",
        "max_connections",
        converters.positive_int,
        "4096",
        "Maximum open connections of callers per process.",
    ),
    setting.Setting(
        "http",
        "read_timeout_s",
        converters.seconds,
        "10",
        "Timeout for a caller to send its request.",
    ),
    setting.Setting(
        "http",
        "relay_mode",
        converters.choice("hub", "thread"),
        "hub",
        "Where streams are relayed: in the hub's loop or in green threads.",
    ),
)
