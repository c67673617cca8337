"""Settings of the section ``[gateway]``: an entry VM on the users' platform."""

from savoryspar.conf import converters, setting


def _setting(key, convert, default, description):
    return setting.Setting("gateway", key, convert, default, description)


SETTINGS: tuple[setting.Setting, ...] = (
    _setting("name", converters.text, None, "Name of the entry VM."),
    _setting("region", converters.text, None, "Region of the VM."),
    _setting("zone", converters.text, None, "Availability zone of the VM."),
    _setting(
        "zone_regions",
        converters.pairs,
        "",
        "Region of each availability zone, as ZONE:REGION words.",
    ),
    _setting(
        "callers_address",
        converters.address,
        None,
        "IP:port of the listener for callers.",
    ),
    _setting(
        "ready_address",
        converters.address,
        None,
        "IP:port of the balancer's readiness checks.",
    ),
    _setting(
        "peers_address",
        converters.address,
        None,
        "IP:port of the listener for other entry VMs.",
    ),
    _setting(
        "metrics_address",
        converters.address,
        None,
        "IP:port of the listener for metrics and status.",
    ),
    _setting("seeds", converters.words, "", "Peer addresses to try first."),
    _setting(
        "store_address",
        converters.address,
        None,
        "IP:port of the platform's store.",
    ),
    _setting(
        "memory_mb",
        converters.non_negative,
        "0",
        "Memory that the platform gives the VM, in MB; 0 if it is not known,"
        " which counts as 200. A quarter of it is the limit for the bodies of"
        " all callers, and another one that for their connections. Changes"
        " take effect at the next start.",
    ),
    _setting(
        "max_fds",
        converters.non_negative,
        "0",
        "Descriptors that the platform allows the process; 0 if not known. The"
        " limit of the process counts if it is lower. 40% of it is the limit"
        " for the connections of callers, at most 2,000. Changes take effect"
        " at the next start.",
    ),
    _setting(
        "drain_ms",
        converters.non_negative,
        "2500",
        "Time by which a draining backend server must get no new work.",
    ),
    _setting(
        "config_ms",
        converters.non_negative,
        "2500",
        "Time by which a new version of the configuration must be in force.",
    ),
    _setting(
        "evac_ms",
        converters.non_negative,
        "0",
        "Time by which nothing more is sent to an evacuated availability zone;"
        " 0 if the deployment does not use evacuations.",
    ),
    _setting(
        "grace_s",
        converters.seconds,
        "8",
        "Time between SIGTERM and SIGKILL of the process.",
    ),
    _setting(
        "retry_ratio",
        converters.ratio,
        "0.2",
        "Retries allowed per request to a pool, over all entry VMs.",
    ),
    _setting(
        "retry_slack",
        converters.non_negative,
        "20",
        "Retries per window beyond the ratio, over all entry VMs.",
    ),
    _setting(
        "retry_window_s",
        converters.seconds,
        "10",
        "Window in which retries are counted.",
    ),
    _setting(
        "cold_excess",
        converters.non_negative,
        "0",
        "Factor by which the requests to a cold server in one second may exceed"
        " its rate, 0 if not known.",
    ),
    _setting(
        "cold_slack",
        converters.non_negative,
        "0",
        "Requests to a cold server in one second beyond that.",
    ),
    _setting(
        "start_pacing",
        converters.choice("auto", "on", "off"),
        "auto",
        "Slow start of backend servers: on, off, or auto for the pools whose"
        " servers have a cold phase.",
    ),
)
