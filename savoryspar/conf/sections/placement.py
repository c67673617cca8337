"""Settings of the section ``[placement]``."""

from savoryspar.conf import converters, setting

SETTINGS: tuple[setting.Setting, ...] = (
    setting.Setting(
        "placement",
        "interval_s",
        converters.seconds,
        "10",
        "Time between two placement plans; 0 disables orders to engines.",
    ),
    setting.Setting(
        "placement",
        "copy_capacity",
        converters.positive_int,
        "16",
        "Concurrent requests that one copy of a model serves.",
    ),
    setting.Setting(
        "placement",
        "grow_percent",
        converters.percent,
        "80",
        "Utilization of a model's copies above which another one is loaded.",
    ),
    setting.Setting(
        "placement",
        "shrink_percent",
        converters.percent,
        "40",
        "Maximum utilization of the remaining copies after one is unloaded.",
    ),
    setting.Setting(
        "placement",
        "dwell_s",
        converters.seconds,
        "300",
        "Minimum time that a copy stays loaded.",
    ),
    setting.Setting(
        "placement",
        "retry_s",
        converters.seconds,
        "60",
        "Time before a failed load is retried on the same engine.",
    ),
    setting.Setting(
        "placement",
        "weight_loads_per_min",
        converters.positive_int,
        "60",
        "Loads per minute that the weight store allows over all zones.",
    ),
)
