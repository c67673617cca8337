"""Settings of the section ``[platform]``."""

from savoryspar.conf import converters, setting

SETTINGS: tuple[setting.Setting, ...] = (
    setting.Setting(
        "platform",
        "config_url",
        converters.text,
        None,
        "Base URL of the configuration service.",
    ),
    setting.Setting(
        "platform",
        "vm_list_url",
        converters.text,
        None,
        "Base URL of the VM list.",
    ),
    setting.Setting(
        "platform",
        "vm_list_interval_s",
        converters.seconds,
        "1",
        "Time between two reads of the VM list.",
    ),
    setting.Setting(
        "platform",
        "watch_timeout_s",
        converters.seconds,
        "20",
        "Timeout of one long poll of the configuration service.",
    ),
    setting.Setting(
        "platform",
        "config_calls_per_s",
        converters.positive_int,
        "50",
        "Maximum calls per second of a process to the configuration service;"
        " two watchers in each of 10 zones use half of the service's limit.",
    ),
    setting.Setting(
        "platform",
        "config_burst_calls",
        converters.positive_int,
        "600",
        "Maximum burst of such calls after an idle period; reading all keys"
        " takes 257.",
    ),
)
