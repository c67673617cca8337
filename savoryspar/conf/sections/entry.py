"""Settings of the section ``[entry]``."""

from savoryspar.conf import converters, setting

SETTINGS: tuple[setting.Setting, ...] = (
    setting.Setting(
        "entry", "name", converters.text, None, "Name of the entry VM."
    ),
    setting.Setting(
        "entry", "region", converters.text, None, "Region of the VM."
    ),
    setting.Setting(
        "entry", "zone", converters.text, None, "Availability zone of the VM."
    ),
    setting.Setting(
        "entry",
        "listen_address",
        converters.text,
        "127.0.0.1",
        "IP address of the listener for callers.",
    ),
    setting.Setting(
        "entry",
        "listen_port",
        converters.port,
        None,
        "TCP port of the listener for callers.",
    ),
    setting.Setting(
        "entry",
        "operator_address",
        converters.text,
        "127.0.0.1",
        "IP address of the listener for operators.",
    ),
    setting.Setting(
        "entry",
        "operator_port",
        converters.port,
        "0",
        "TCP port for operators (/status, /drain); 0 picks a free one.",
    ),
    setting.Setting(
        "entry",
        "drain_notice_s",
        converters.seconds,
        "3",
        "Time between not ready and closing the listener, for the balancer.",
    ),
)
