"""Settings of the section ``[placement]``."""

from savoryspar.conf import converters, setting

SETTINGS: tuple[setting.Setting, ...] = (
    setting.Setting(
        "placement",
        "interval_s",
        converters.seconds,
        "10",
        "Time between two plans; 0 sends no orders to engines.",
    ),
    setting.Setting(
        "placement",
        "copy_capacity",
        converters.size,
        "16",
        "Requests that one copy of a model serves at a time.",
    ),
    setting.Setting(
        "placement",
        "grow_percent",
        converters.percent,
        "80",
        "Use of a model's copies above which another one is loaded.",
    ),
    setting.Setting(
        "placement",
        "shrink_percent",
        converters.percent,
        "40",
        "Use that may remain on the fewer copies when one is unloaded.",
    ),
    setting.Setting(
        "placement",
        "dwell_s",
        converters.seconds,
        "300",
        "Time that a copy stays before it may be unloaded.",
    ),
    setting.Setting(
        "placement",
        "retry_s",
        converters.seconds,
        "60",
        "Time before a failed load is ordered again on the same engine.",
    ),
    setting.Setting(
        "placement",
        "weight_loads_per_min",
        converters.size,
        "60",
        "Loads that the weight store allows over all zones.",
    ),
)
