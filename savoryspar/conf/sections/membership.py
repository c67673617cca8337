"""Settings of the section ``[membership]``."""

from savoryspar.conf import converters, setting

SETTINGS: tuple[setting.Setting, ...] = (
    setting.Setting(
        "membership",
        "listen_address",
        converters.text,
        "127.0.0.1",
        "IP address on which peers are served and under which they reach it.",
    ),
    setting.Setting(
        "membership",
        "listen_port",
        converters.port,
        "0",
        "TCP port on which peers are served; 0 picks a free one.",
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
        "Links inside a zone: ring, mesh (all) or probe (random, changing).",
    ),
    setting.Setting(
        "membership",
        "heartbeat_s",
        converters.seconds,
        "1",
        "Longest time between two heartbeats on a link.",
    ),
    setting.Setting(
        "membership",
        "pause_limit_s",
        converters.seconds,
        "1",
        "Time by which a check may be late before it counts as a pause.",
    ),
    setting.Setting(
        "membership",
        "fact_budget_bytes_per_s",
        converters.size,
        "800",
        "Traffic that the facts of all the zone's members may cause a member.",
    ),
    setting.Setting(
        "membership",
        "max_frame_bytes",
        converters.size,
        "1048576",
        "Largest frame that is accepted from a peer.",
    ),
)
