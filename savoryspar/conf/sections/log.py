"""Settings of the section ``[log]``."""

from savoryspar.conf import converters, setting

SETTINGS: tuple[setting.Setting, ...] = (
    setting.Setting(
        "log",
        "format",
        converters.choice("plain", "json"),
        "plain",
        "Format of log lines: plain or json.",
    ),
    setting.Setting(
        "log",
        "level",
        converters.choice("debug", "info", "notice", "warning", "error"),
        "info",
        "Lowest level of log lines that are written.",
    ),
    setting.Setting(
        "log",
        "decision_sample_percent",
        converters.percent,
        "100",
        "Share of requests whose decisions are logged.",
    ),
)
