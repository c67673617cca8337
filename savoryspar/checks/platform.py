"""Checks of the section ``[platform]``."""

from collections.abc import Iterable
from urllib import parse

from savoryspar import conf
from savoryspar.checks import entry, registry


@registry.register("platform.E001")
def check_urls(cfg: conf.Settings) -> Iterable[registry.CheckMessage]:
    """The platform's URLs must use IP addresses."""
    for key in ("config_url", "vm_list_url"):
        url = getattr(cfg.platform, key)
        parts = parse.urlsplit(url)
        if parts.scheme not in ("http", "https") or not entry.is_ip_address(
            parts.hostname or ""
        ):
            yield registry.error(
                "platform.E001",
                f"[platform] {key} is {url!r}",
                "set it to a URL such as http://10.0.0.1:8080",
            )


@registry.register("platform.W001")
def check_vm_list_interval(
    cfg: conf.Settings,
) -> Iterable[registry.CheckMessage]:
    """Infrequent reads of the VM list delay the detection of leaving VMs."""
    if cfg.platform.vm_list_interval_s > 2.0:
        yield registry.warning(
            "platform.W001",
            f"[platform] vm_list_interval_s is"
            f" {cfg.platform.vm_list_interval_s:g}",
            "set it to 2 or less, or a leaving backend server gets new work"
            " for longer than 3 s",
        )
