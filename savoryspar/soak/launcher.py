"""Runs the command line with outgoing connections from a given IP address.

Arguments are the IP address, the port of peers, that of relays which delay
their links, and the arguments of ``savoryspar``. The code that runs is
that of the working directory, which may be of another build than this file.
"""

import os
import runpy
import socket
import sys
from typing import Any

from eventlet.greenio import base

ANY_HOST = "0.0.0.0"
IP_BIND_ADDRESS_NO_PORT = 24
"""Linux option that leaves the port to the connection, so that connections to
different addresses can share one; Python's socket module does not name it."""


def bind_outgoing(host: str, peers_port: int, relay_port: int) -> None:
    """Makes TCP connections that this process opens come from an address.

    Connections to peers in other zones are opened to the relays.
    """
    connect = base.socket_connect

    def connect_from_host(sock: Any, address: Any) -> Any:
        if sock.family == socket.AF_INET:
            if sock.getsockname()[0] == ANY_HOST:
                sock.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
                sock.bind((host, 0))
            if address[1] == peers_port and _zone(address[0]) != _zone(host):
                address = (address[0], relay_port)
        return connect(sock, address)

    base.socket_connect = connect_from_host


def _zone(host: str) -> str:
    return host.split(".")[2]


if __name__ == "__main__":
    # Python has put the directory of this file there.
    sys.path[0] = os.getcwd()
    own_host, *own_ports = (sys.argv.pop(1) for _ in range(3))
    bind_outgoing(own_host, *map(int, own_ports))
    runpy.run_module("savoryspar", run_name="__main__", alter_sys=True)
