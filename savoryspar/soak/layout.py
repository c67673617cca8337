"""Availability zones of a soak, and the loopback addresses in them.

Each VM and each backend server has an IP address of its own, so that all can
use the same ports, and that a connection shows between which zones it is.
"""

import os

from savoryspar.soak import ports

CALLERS_PORT = 20_001
READY_PORT = 20_002
PEERS_PORT = 20_003
METRICS_PORT = 20_004
SERVER_PORT = 20_005
PEERS_RELAY_PORT = 20_006
"""Outside the range of outgoing connections, see ``ports``."""
MAX_ZONES = 99
MAX_HOSTS = 254
SERVER_OFFSET = 100
"""Added to the number of a zone in the addresses of its servers."""
ZONES_PER_REGION = 2
ZONE_DELAY_S = 0.0009
REGION_DELAY_S = 0.02
"""One-way delays between two zones of a region, and between regions."""


class Layout:
    """The zones and regions of one soak.

    Attributes:
        network: First two bytes of all addresses.
        zone_regions: Region by zone. Neighbouring numbers are in different
            regions.
    """

    __slots__ = ("network", "zone_regions")

    def __init__(self, zones: int, network: str):
        regions = max(1, zones // ZONES_PER_REGION)
        self.network = network
        self.zone_regions = {
            f"z{n + 1}": f"r{n % regions + 1}" for n in range(zones)
        }

    def zone(self, index: int) -> str:
        """Returns the zone of the VM or server with a number."""
        return [*self.zone_regions][index % len(self.zone_regions)]

    def vm_host(self, index: int) -> str:
        """Returns the IP address of a VM."""
        return self._host(index, 0)

    def server_host(self, index: int) -> str:
        """Returns the IP address of a backend server."""
        return self._host(index, SERVER_OFFSET)

    def _host(self, index: int, offset: int) -> str:
        number, zone = divmod(index, len(self.zone_regions))
        if number >= MAX_HOSTS:
            raise ValueError(f"a zone has more than {MAX_HOSTS} addresses")
        return f"{self.network}.{zone + offset}.{number + 1}"

    def delay_s(self, *hosts: str) -> float:
        """Returns the one-way delay between two IP addresses, in seconds.

        There is none for addresses that are not of the layout.
        """
        prefix = self.network + "."
        if not all(host.startswith(prefix) for host in hosts):
            return 0.0
        numbers = [int(h.split(".")[2]) % SERVER_OFFSET for h in hosts]
        regions = {self.zone_regions[self.zone(n)] for n in numbers}
        if len(regions) > 1:
            return REGION_DELAY_S
        return ZONE_DELAY_S if len({*numbers}) > 1 else 0.0


def new_layout(zones: int) -> Layout:
    """Returns a layout whose addresses no other process has.

    Raises:
        ValueError: There are too many zones, or none.
    """
    if not 1 <= zones <= MAX_ZONES:
        raise ValueError(f"{zones} zones; use 1 to {MAX_ZONES}")
    number = ports.reserve_number(os.getpid())
    # 127.0.0.0/16 has the addresses that other programs use.
    return Layout(zones, f"127.{number + 1}")
