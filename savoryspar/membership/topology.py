"""Selects which members keep links to each other.

Every member computes the same topology from the same list of members.
"""

from collections.abc import Iterable, Mapping, Sequence
import functools
import hashlib
import itertools
import math

MESH_LIMIT = 6
"""Largest size of a zone whose members form a full mesh."""

ZONE_MESH_LIMIT = 5
"""Largest number of zones whose relays form a full mesh."""

MAX_FAST_ZONES = 3
"""Largest number of zones at which relays do not slow down their heartbeats."""

ZONE_OFFSETS = (1, 3)
RELAYS_PER_ZONE = 2
PROBES_PER_PERIOD = 2


def rendezvous(names: Iterable[str], key: str) -> list[str]:
    """Returns the names by rendezvous hash with the key, lowest hash first."""

    def weight(name: str) -> bytes:
        return hashlib.sha256(f"{key}/{name}".encode()).digest()

    return sorted(names, key=weight)


def relays(zone: str, members: Iterable[str]) -> list[str]:
    """Returns the members that hold the zone's links to other zones."""
    return rendezvous(members, f"relay/{zone}")[:RELAYS_PER_ZONE]


def ring_hops(size: int) -> int:
    """Returns the number of hops needed to reach every member of a ring."""
    return max(1, math.ceil((math.sqrt(2 * size - 1) - 1) / 2))


def ring_offsets(size: int) -> tuple[int, int]:
    """Returns the distances on the ring at which members are linked.

    Distances k and k + 1 reach 2k(k + 1) + 1 members in k hops, the maximum
    for four links per member. Distances 1 and the square root of the size
    need 1.5 times as many hops.
    """
    hops = ring_hops(size)
    return hops, hops + 1


@functools.singledispatch
def zone_neighbours(
    policy: object, own: str, members: Sequence[str], period: int
) -> set[str]:
    """Returns the members of the own zone that a member keeps links to.

    Args:
        policy: Instance of one of the policy classes below.
        own: Incarnation of this process.
        members: Sorted incarnations of the zone, including ``own``.
        period: Number of the current heartbeat period.
    """
    raise TypeError(f"unknown policy {policy!r}")


class Mesh:
    """Full mesh: links between all members; a baseline for comparison."""

    __slots__ = ()


class Ring:
    """Ring with chords, four links per member; a full mesh in small zones."""

    __slots__ = ()


class Probe:
    """Links to random members, which change every period, as in SWIM."""

    __slots__ = ()


@zone_neighbours.register
def _(policy: Mesh, own: str, members: Sequence[str], period: int) -> set[str]:
    del policy, period
    return {member for member in members if member != own}


@zone_neighbours.register
def _(policy: Ring, own: str, members: Sequence[str], period: int) -> set[str]:
    del policy
    size = len(members)
    if size <= MESH_LIMIT:
        return zone_neighbours(Mesh(), own, members, period)
    position = members.index(own)
    return {
        members[(position + sign * offset) % size]
        for offset in ring_offsets(size)
        for sign in (-1, 1)
    } - {own}


@zone_neighbours.register
def _(policy: Probe, own: str, members: Sequence[str], period: int) -> set[str]:
    del policy
    others = [member for member in members if member != own]
    return set(rendezvous(others, f"probe/{own}/{period}")[:PROBES_PER_PERIOD])


POLICIES = {"ring": Ring, "mesh": Mesh, "probe": Probe}


def linked_zones(own: str, zones: Sequence[str]) -> set[str]:
    """Returns the zones whose relays are linked to those of the own zone."""
    size = len(zones)
    if size <= ZONE_MESH_LIMIT:
        return set(zones) - {own}
    position = zones.index(own)
    return {
        zones[(position + sign * offset) % size]
        for offset in ZONE_OFFSETS
        for sign in (-1, 1)
    } - {own}


def relay_neighbours(
    own: str, own_zone: str, members_by_zone: Mapping[str, Sequence[str]]
) -> set[str]:
    """Returns the relays of other zones that this process keeps links to."""
    own_relays = relays(own_zone, members_by_zone[own_zone])
    if own not in own_relays:
        return set()
    neighbours = set()
    for zone in linked_zones(own_zone, sorted(members_by_zone)):
        other_relays = relays(zone, members_by_zone[zone])
        pairs = itertools.islice(
            zip(itertools.cycle(own_relays), itertools.cycle(other_relays)),
            max(len(own_relays), len(other_relays)),
        )
        neighbours |= {
            other_relay for own_relay, other_relay in pairs if own_relay == own
        }
    return neighbours


def zone_hops(size: int) -> int:
    """Returns how often evidence is forwarded to cross a zone."""
    if size <= 2:
        return 0
    return 1 if size <= MESH_LIMIT else ring_hops(size)


def slow_zone_hops(zones: int) -> int:
    """Returns how many slow links between zones evidence crosses."""
    if zones <= MAX_FAST_ZONES:
        return 0
    return 1 if zones <= ZONE_MESH_LIMIT else 3
