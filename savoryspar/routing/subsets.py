"""The subset of a pool's servers that one entry process uses.

Every process computes the same assignment from the same lists, so no process
has to tell another which servers it uses.
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

    In each round every entry process takes the server with its highest weight
    that is not full. The bound of a round is the mean number of entry
    processes on a server after it, rounded up, so the last bound holds the
    fullest server below the mean plus one. The last round fills the servers
    that are below the mean first, so that none is left out.

    Args:
        entries: Names of the entry processes.
        servers: Names of the servers.
        size: Servers for each process; raised so that every server is used.
    """
    size = min(len(servers), max(size, -(-len(servers) // len(entries))))
    used = dict.fromkeys(servers, 0)
    left = {
        entry: sorted(
            servers, key=functools.partial(weight, entry), reverse=True
        )
        for entry in sorted(entries)
    }
    assigned: dict[str, list[str]] = {entry: [] for entry in left}
    for number in range(1, size + 1):
        mean = number * len(entries) / len(servers)
        bounds = [math.ceil(mean)]
        if number == size:
            bounds.insert(0, math.floor(mean))
        for entry, names in left.items():
            taken = _first_below(names, used, bounds)
            names.remove(taken)
            assigned[entry].append(taken)
            used[taken] += 1
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
    """Returns the servers that the own entry process uses."""
    if len(servers) <= size:
        return frozenset(servers)
    return frozenset(assign(sorted({own, *entries}), servers, size)[own])
