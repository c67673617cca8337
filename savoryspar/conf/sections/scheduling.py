"""Settings of the section ``[scheduling]``."""

from savoryspar.conf import converters, setting

SETTINGS: tuple[setting.Setting, ...] = (
    setting.Setting(
        "scheduling",
        "policy",
        converters.choice("fair", "fifo", "round_robin"),
        "fair",
        "Order of waiting jobs: fair, fifo or round_robin.",
    ),
    setting.Setting(
        "scheduling",
        "order",
        converters.choice("deadline", "fifo"),
        "deadline",
        "Order of the jobs of one workspace under the fair policy.",
    ),
    setting.Setting(
        "scheduling",
        "admission",
        converters.choice("deadline", "none"),
        "deadline",
        "Whether work that cannot meet its deadline is refused.",
    ),
    setting.Setting(
        "scheduling",
        "max_queue",
        converters.positive_int,
        "4096",
        "Maximum jobs waiting for one pool; ignored if admission is none.",
    ),
    setting.Setting(
        "scheduling",
        "floor_window_s",
        converters.seconds,
        "5",
        "Window in which the service of a rank is compared with its floor.",
    ),
)
