"""Chooses the TCP ports of VMs that run beside those of other processes."""

import functools
import itertools
import os
import random
import socket

HOST = "127.0.0.1"
PORTS = range(20_000, 32_000)
"""Ports of VMs; Linux uses 32768 and above for outgoing connections."""
SLICE = 200
"""Ports that one process chooses from."""


def free_ports(count: int) -> list[int]:
    """Returns unused TCP ports outside the range of outgoing connections.

    The ports of a killed VM are free until it starts again, and an outgoing
    connection of any process could take one of them.
    """
    ports, _ = _reserve_slice(os.getpid())
    candidates = random.SystemRandom().sample(ports, len(ports))
    return list(itertools.islice(filter(_is_free, candidates), count))


def reserve_number(pid: int) -> int:
    """Returns a number that no other process has until this one ends."""
    found, _ = _reserve_slice(pid)
    return (found.start - PORTS.start) // SLICE


@functools.lru_cache
def _reserve_slice(pid: int) -> tuple[range, socket.socket]:
    """Reserves a slice for a process until it ends.

    VMs share their ports with ``SO_REUSEPORT``, so two processes that chose
    from the same ports would get each other's requests.

    Returns:
        The ports, and the socket that reserves them by its own port.

    Raises:
        RuntimeError: All slices are reserved.
    """
    slices = len(PORTS) // SLICE
    for offset in range(slices):
        first = PORTS.start + (pid + offset) % slices * SLICE
        sock = socket.socket()
        try:
            sock.bind((HOST, first))
        except OSError:
            # Another process has reserved it.
            sock.close()
            continue
        return range(first + 1, first + SLICE), sock
    raise RuntimeError(f"all {slices} slices of ports are reserved")


def _is_free(port: int) -> bool:
    # A socket with SO_REUSEPORT would not notice the VM of another process.
    try:
        with socket.socket() as sock:
            sock.bind((HOST, port))
    except OSError:
        return False
    return True
