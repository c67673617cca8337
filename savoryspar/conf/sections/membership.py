"""Settings of the section ``[membership]``."""

from savoryspar.conf import converters, setting

SETTINGS: tuple[setting.Setting, ...] = (
    setting.Setting(
        "membership",
        "listen_address",
        converters.text,
        "127.0.0.1",
        "IP address of the listener for peers, which peers also connect to.",
    ),
    setting.Setting(
        "membership",
        "listen_port",
        converters.port,
        "0",
        "TCP port of the listener for peers; 0 picks a free one.",
    ),
    setting.Setting(
        "membership",
        "seeds",
        converters.words,
        "",
        "Peer addresses (IP:port) to try besides those of the VM list.",
    ),
    setting.Setting(
        "membership",
        "tls",
        converters.boolean,
        "yes",
        "Whether links use mutual TLS; no means plain TCP.",
    ),
    setting.Setting(
        "membership",
        "certificate_file",
        converters.optional_text,
        "",
        "PEM certificate of this process; reloaded when it changes.",
    ),
    setting.Setting(
        "membership",
        "key_file",
        converters.optional_text,
        "",
        "PEM private key of the certificate; reloaded when it changes.",
    ),
    setting.Setting(
        "membership",
        "ca_file",
        converters.optional_text,
        "",
        "PEM certificates of the CA that signs peers' certificates.",
    ),
    setting.Setting(
        "membership",
        "topology",
        converters.choice("ring", "mesh", "probe"),
        "ring",
        "Links in a zone: ring, mesh (all pairs) or probe (random, changing).",
    ),
    setting.Setting(
        "membership",
        "heartbeat_s",
        converters.seconds,
        "1",
        "Maximum time between two heartbeats on a link.",
    ),
    setting.Setting(
        "membership",
        "pause_limit_s",
        converters.seconds,
        "1",
        "Delay of a periodic check above which the process counts as paused.",
    ),
    setting.Setting(
        "membership",
        "fact_budget_bytes_per_s",
        converters.positive_int,
        "800",
        "Maximum traffic at a member for the facts of all members of its zone.",
    ),
    setting.Setting(
        "membership",
        "max_frame_bytes",
        converters.positive_int,
        "1048576",
        "Largest frame that is accepted from a peer.",
    ),
)
