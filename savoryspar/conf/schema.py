"""The settings that exist, with their types, defaults and descriptions."""

from collections.abc import Callable, Mapping
from typing import Any

from savoryspar.conf import converters


class Setting:
    """One setting of the INI file.

    Attributes:
        section: Name of the INI section.
        key: Name of the key; a unit ends it (``_s``, ``_ms``, ``_bytes``).
        convert: Turns the text of the file into a value; raises ``ValueError``.
        default: Value when the key is absent; None means that it is required.
        description: One line for the reference page.
    """

    __slots__ = ("convert", "default", "description", "key", "section")

    def __init__(
        self,
        section: str,
        key: str,
        convert: Callable[[str], Any],
        default: str | None,
        description: str,
    ):
        self.section = section
        self.key = key
        self.convert = convert
        self.default = default
        self.description = description


class Section:
    """The values of one INI section, read as attributes."""

    __slots__ = ("_values",)

    def __init__(self, values: Mapping[str, Any]):
        object.__setattr__(self, "_values", dict(values))

    def __getattr__(self, key: str) -> Any:
        try:
            return self._values[key]
        except KeyError:
            raise AttributeError(key) from None


class Settings:
    """All sections, read as attributes: ``cfg.entry.listen_port``."""

    __slots__ = ("_sections",)

    def __init__(self, sections: Mapping[str, Section]):
        object.__setattr__(self, "_sections", dict(sections))

    def __getattr__(self, name: str) -> Section:
        try:
            return self._sections[name]
        except KeyError:
            raise AttributeError(name) from None


SETTINGS: tuple[Setting, ...] = (
    Setting("entry", "name", converters.text, None, "Name of the entry VM."),
    Setting("entry", "region", converters.text, None, "Region of the VM."),
    Setting(
        "entry", "zone", converters.text, None, "Availability zone of the VM."
    ),
    Setting(
        "entry",
        "listen_address",
        converters.text,
        "127.0.0.1",
        "IP address on which callers are served.",
    ),
    Setting(
        "entry",
        "listen_port",
        converters.port,
        None,
        "TCP port on which callers are served.",
    ),
    Setting(
        "entry",
        "operator_port",
        converters.port,
        "0",
        "TCP port for operators (/status, /drain); 0 picks a free one.",
    ),
    Setting(
        "entry",
        "drain_notice_s",
        converters.seconds,
        "3",
        "Time between not ready and closing the listener, for the balancer.",
    ),
    Setting(
        "http",
        "max_body_bytes",
        converters.size,
        "1048576",
        "Largest request body.",
    ),
    Setting(
        "http",
        "max_connections",
        converters.size,
        "4096",
        "Open caller connections per process.",
    ),
    Setting(
        "http",
        "read_timeout_s",
        converters.seconds,
        "10",
        "Longest wait for a caller to send its request.",
    ),
    Setting(
        "platform",
        "config_url",
        converters.text,
        None,
        "Base URL of the configuration service.",
    ),
    Setting(
        "platform",
        "vm_list_url",
        converters.text,
        None,
        "Base URL of the VM list.",
    ),
    Setting(
        "platform",
        "vm_list_interval_s",
        converters.seconds,
        "1",
        "Time between two reads of the VM list.",
    ),
    Setting(
        "platform",
        "watch_timeout_s",
        converters.seconds,
        "20",
        "Longest wait of one long poll at the configuration service.",
    ),
    Setting(
        "log",
        "format",
        converters.choice("plain", "json"),
        "plain",
        "Format of log lines: plain or json.",
    ),
    Setting(
        "log",
        "level",
        converters.choice("debug", "info", "notice", "warning", "error"),
        "info",
        "Lowest level that is written.",
    ),
    Setting(
        "log",
        "decision_sample_percent",
        converters.percent,
        "100",
        "Share of requests whose decisions are logged.",
    ),
)
