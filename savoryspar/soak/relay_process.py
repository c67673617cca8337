"""Process that delays the links between VMs of different zones.

The argument is a JSON object: the network and the number of zones of the
layout, and the IP addresses of the VMs. VMs dial its port in place of that of
their peers, see ``launcher``. The process ends with its standard input.
"""

import json
import sys

from eventlet import greenio

from savoryspar.soak import layout
from savoryspar.standins import fault_proxy


def main(text: str) -> None:
    """Forwards connections until the standard input ends."""
    options = json.loads(text)
    zones = layout.Layout(options["zones"], options["network"])
    _ = [
        fault_proxy.FaultProxy(
            *((host, layout.PEERS_PORT), 0),
            *(layout.PEERS_RELAY_PORT, host, zones.delay_s),
        )
        for host in options["hosts"]
    ]
    with greenio.GreenPipe(sys.stdin.fileno(), "rb") as file:
        file.read()


if __name__ == "__main__":
    main(sys.argv[1])
