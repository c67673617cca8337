"""Subsetting: assigns each entry process a subset of a pool's servers.

Every process computes the same assignment from the same lists, so no
coordination is needed.
"""

from collections.abc import Mapping, Sequence
import functools
import hashlib
import math


def weight(entry: str, server: str) -> int:
    """Returns the rendezvous weight of a server for an entry process."""
    digest = hashlib.blake2b(f"{entry}/{server}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def assign(
    entries: Sequence[str], servers: Sequence[str], size: int
) -> dict[str, tuple[str, ...]]:
    """Returns the servers of each entry process.

    In each round, every entry process is assigned its highest-weighted server
    that is not full. The bound of a round is the mean number of entry
    processes per server after that round, rounded up, so the last bound keeps
    the fullest server below the mean plus one. The last round fills servers
    below the mean first, so that every server is used.

    Args:
        entries: Names of the entry processes.
        servers: Names of the servers.
        size: Servers per process; raised if needed to use every server.
    """
    size = min(len(servers), max(size, -(-len(servers) // len(entries))))
    used = dict.fromkeys(servers, 0)
    remaining = {
        entry: sorted(
            servers, key=functools.partial(weight, entry), reverse=True
        )
        for entry in sorted(entries)
    }
    assigned: dict[str, list[str]] = {entry: [] for entry in remaining}
    for number in range(1, size + 1):
        mean = number * len(entries) / len(servers)
        bounds = [math.ceil(mean)]
        if number == size:
            bounds.insert(0, math.floor(mean))
        for entry, names in remaining.items():
            chosen = _first_below(names, used, bounds)
            names.remove(chosen)
            assigned[entry].append(chosen)
            used[chosen] += 1
    return {entry: tuple(names) for entry, names in assigned.items()}


def _first_below(
    names: Sequence[str], used: Mapping[str, int], bounds: Sequence[int]
) -> str:
    for bound in bounds:
        for name in names:
            if used[name] < bound:
                return name
    return min(names, key=used.__getitem__)


def subset(
    own: str, entries: Sequence[str], servers: Sequence[str], size: int
) -> frozenset[str]:
    """Returns the servers that entry process ``own`` uses."""
    if len(servers) <= size:
        return frozenset(servers)
    return frozenset(assign(sorted({own, *entries}), servers, size)[own])
