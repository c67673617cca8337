"""Settings of the section ``[routing]``.

Costs are given in percent of a full server: a cost of 100 weighs as much as
the difference between an idle server and one at its concurrency limit.
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
        converters.size,
        "32768",
        "Prompt blocks in the prefix index; the least recently used go first.",
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
        "Cost of another availability zone of the own region.",
    ),
    (
        "region_cost_percent",
        converters.size,
        "150",
        "Cost of another region.",
    ),
    (
        "region_bytes_per_s",
        converters.size,
        "2000000",
        "Cap on traffic of this process to other regions.",
    ),
    (
        "region_spill_percent",
        converters.percent,
        "10",
        "Calls to other regions as a share of the own region's capacity.",
    ),
    (
        "subset_size",
        converters.size,
        "24",
        "Servers of a pool in the own zone that this process uses.",
    ),
    (
        "limit",
        converters.choice("gradient", "fixed"),
        "gradient",
        "Concurrency limit of a server: gradient, or fixed at initial_limit.",
    ),
    (
        "initial_limit",
        converters.size,
        "8",
        "Concurrent calls to a server before its latency is known.",
    ),
    (
        "hard_limit",
        converters.size,
        "64",
        "Highest concurrency limit of a server.",
    ),
    (
        "max_ejected_percent",
        converters.percent,
        "34",
        "Largest share of a pool that is ejected as outliers.",
    ),
    (
        "retry_percent",
        converters.percent,
        "8",
        "Retries as a share of a pool's calls, besides retry_reserve.",
    ),
    (
        "retry_reserve",
        converters.size,
        "3",
        "Retries that a pool has before its first calls.",
    ),
    (
        "crash_suspects",
        converters.boolean,
        "yes",
        "Whether requests that crash servers are looked for and refused.",
    ),
    (
        "report_interval_s",
        converters.seconds,
        "2",
        "Time between two reads of an engine's load and cache events.",
    ),
    (
        "report_reads_per_s",
        converters.size,
        "2",
        "Most such reads a second; many engines are each read less often.",
    ),
)

SETTINGS: tuple[setting.Setting, ...] = tuple(
    setting.Setting("routing", *row) for row in _ROWS
)
