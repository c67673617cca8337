"""Checks of the sections ``[entry]`` and ``[http]``."""

from collections.abc import Iterable
import ipaddress

from savoryspar import conf
from savoryspar.checks import registry

MIN_DRAIN_NOTICE_S = 1.0


@registry.register("entry.E001")
def check_listen_address(
    cfg: conf.Settings,
) -> Iterable[registry.CheckMessage]:
    """The listening address must be an IP address of this VM."""
    if not is_ip_address(cfg.entry.listen_address):
        yield registry.error(
            "entry.E001",
            f"[entry] listen_address is {cfg.entry.listen_address!r}",
            "set it to an IP address; host names are not resolved",
        )


@registry.register("entry.E002")
def check_ports(cfg: conf.Settings) -> Iterable[registry.CheckMessage]:
    """Callers and operators must not share a port."""
    if cfg.entry.operator_port and (
        cfg.entry.operator_port == cfg.entry.listen_port
    ):
        yield registry.error(
            "entry.E002",
            f"callers and operators share port {cfg.entry.listen_port}",
            "set [entry] operator_port to a different port",
        )


@registry.register("entry.W001")
def check_drain_notice(cfg: conf.Settings) -> Iterable[registry.CheckMessage]:
    """The balancer needs time to notice that the VM is draining."""
    if cfg.entry.drain_notice_s < MIN_DRAIN_NOTICE_S:
        yield registry.warning(
            "entry.W001",
            f"[entry] drain_notice_s is {cfg.entry.drain_notice_s:g}",
            "set it to twice the interval of the balancer's readiness checks",
        )


def is_ip_address(address: str) -> bool:
    """Returns whether the text is an IP address."""
    try:
        ipaddress.ip_address(address)
    except ValueError:
        return False
    return True
