"""Settings of the section ``[routing]``.

Costs and benefits are percentages: 100 equals the difference in score between
an idle server and one at its concurrency limit.
"""

from savoryspar.conf import converters, setting

_ROWS = (
    (
        "policy",
        converters.choice("scored", "least_in_flight", "round_robin"),
        "scored",
        "How a server is chosen: scored, least_in_flight or round_robin.",
    ),
    (
        "prefix_entries",
        converters.positive_int,
        "32768",
        "Maximum prompt blocks in the prefix index, with LRU eviction.",
    ),
    (
        "affinity_percent",
        converters.percent,
        "80",
        "Benefit of a server whose prefix cache holds the whole prompt.",
    ),
    (
        "home_percent",
        converters.percent,
        "15",
        "Benefit of the server that the hash of a new prefix points to.",
    ),
    (
        "zone_cost_percent",
        converters.percent,
        "20",
        "Cost of another availability zone in the same region.",
    ),
    (
        "region_cost_percent",
        converters.positive_int,
        "150",
        "Cost of another region.",
    ),
    (
        "region_bytes_per_s",
        converters.positive_int,
        "2000000",
        "Maximum traffic of this process to other regions.",
    ),
    (
        "region_spill_percent",
        converters.percent,
        "10",
        "Maximum calls to other regions, as a share of this region's capacity.",
    ),
    (
        "subset_size",
        converters.positive_int,
        "24",
        "Servers of a pool in its zone that this process uses.",
    ),
    (
        "limit",
        converters.choice("gradient", "fixed"),
        "gradient",
        "Concurrency limit of a server: gradient, or fixed at initial_limit.",
    ),
    (
        "initial_limit",
        converters.positive_int,
        "8",
        "Concurrent calls to a server before its latency is known.",
    ),
    (
        "hard_limit",
        converters.positive_int,
        "64",
        "Highest concurrency limit of a server.",
    ),
    (
        "max_ejected_percent",
        converters.percent,
        "34",
        "Maximum share of a pool that may be ejected as outliers.",
    ),
    (
        "retry_percent",
        converters.percent,
        "8",
        "Maximum retries as a share of a pool's calls, besides retry_reserve.",
    ),
    (
        "retry_reserve",
        converters.positive_int,
        "3",
        "Retries allowed for a pool before its first calls.",
    ),
    (
        "crash_suspects",
        converters.boolean,
        "yes",
        "Whether requests that crash servers are detected and refused.",
    ),
    (
        "report_interval_s",
        converters.seconds,
        "2",
        "Time between two reads of an engine's load and cache events.",
    ),
    (
        "report_reads_per_s",
        converters.positive_int,
        "2",
        "Maximum such reads per second; many engines are each read less often.",
    ),
)

SETTINGS: tuple[setting.Setting, ...] = tuple(
    setting.Setting("routing", *row) for row in _ROWS
)
