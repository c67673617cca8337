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
        "Longest wait of one long poll at the configuration service.",
    ),
    setting.Setting(
        "platform",
        "config_calls_per_s",
        converters.size,
        "50",
        "Calls at the configuration service that a process may make a second;"
        " two watchers in each of 10 zones use half of the service's rate.",
    ),
    setting.Setting(
        "platform",
        "config_burst_calls",
        converters.size,
        "600",
        "Calls that it may make at once after a quiet time; a whole read"
        " takes 257.",
    ),
)
