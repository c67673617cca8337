"""Which members keep links to each other, derived alike by every member."""

from collections.abc import Iterable, Mapping, Sequence
import functools
import hashlib
import itertools
import math

MESH_LIMIT = 6
"""Largest zone whose members are all linked to each other."""

ZONE_MESH_LIMIT = 5
"""Largest number of zones whose relays are all linked to each other."""

FEW_ZONES = 3
"""Largest number of zones whose relays speak as often as inside a zone."""

ZONE_OFFSETS = (1, 3)
RELAYS_PER_ZONE = 2
PROBES = 2


def rendezvous(names: Iterable[str], key: str) -> list[str]:
    """Returns the names ordered by their hash with the key, lowest first."""

    def weight(name: str) -> bytes:
        return hashlib.sha256(f"{key}/{name}".encode()).digest()

    return sorted(names, key=weight)


def relays(zone: str, members: Iterable[str]) -> list[str]:
    """Returns the members that keep the zone's links to other zones."""
    return rendezvous(members, f"relay/{zone}")[:RELAYS_PER_ZONE]


def ring_hops(size: int) -> int:
    """Returns the hops that cross a ring linked at ``ring_offsets``."""
    return max(1, math.ceil((math.sqrt(2 * size - 1) - 1) / 2))


def ring_offsets(size: int) -> tuple[int, int]:
    """Returns the distances on the ring at which members are linked.

    Distances k and k + 1 reach 2k(k + 1) + 1 members in k hops, the most
    that four links a member allow; 1 and the square root of the size need
    half as many hops again.
    """
    hops = ring_hops(size)
    return hops, hops + 1


@functools.singledispatch
def zone_neighbours(
    policy: object, own: str, members: Sequence[str], period: int
) -> set[str]:
    """Returns the members of the own zone to keep links to.

    Args:
        policy: How links are chosen; see the classes below.
        own: The own incarnation.
        members: Incarnations of the zone, sorted, the own one among them.
        period: Number of the current heartbeat period.
    """
    raise TypeError(f"unknown policy {policy!r}")


class Mesh:
    """Links between all members; the baseline."""

    __slots__ = ()


class Ring:
    """Links to few members on a ring with chords, a mesh in small zones."""

    __slots__ = ()


class Probe:
    """Links to random members that change every period, as in SWIM."""

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
    place = members.index(own)
    return {
        members[(place + sign * offset) % size]
        for offset in ring_offsets(size)
        for sign in (-1, 1)
    } - {own}


@zone_neighbours.register
def _(policy: Probe, own: str, members: Sequence[str], period: int) -> set[str]:
    del policy
    others = [member for member in members if member != own]
    return set(rendezvous(others, f"probe/{own}/{period}")[:PROBES])


POLICIES = {"ring": Ring, "mesh": Mesh, "probe": Probe}


def linked_zones(own: str, zones: Sequence[str]) -> set[str]:
    """Returns the zones whose relays are linked to those of the own zone."""
    size = len(zones)
    if size <= ZONE_MESH_LIMIT:
        return set(zones) - {own}
    place = zones.index(own)
    return {
        zones[(place + sign * offset) % size]
        for offset in ZONE_OFFSETS
        for sign in (-1, 1)
    } - {own}


def relay_neighbours(
    own: str, own_zone: str, members_by_zone: Mapping[str, Sequence[str]]
) -> set[str]:
    """Returns the relays of other zones that the own process links to."""
    ours = relays(own_zone, members_by_zone[own_zone])
    if own not in ours:
        return set()
    neighbours = set()
    for zone in linked_zones(own_zone, sorted(members_by_zone)):
        theirs = relays(zone, members_by_zone[zone])
        pairs = itertools.islice(
            zip(itertools.cycle(ours), itertools.cycle(theirs)),
            max(len(ours), len(theirs)),
        )
        neighbours |= {their for our, their in pairs if our == own}
    return neighbours


def zone_hops(size: int) -> int:
    """Returns how often evidence is passed on inside a zone."""
    if size <= 2:
        return 0
    return 1 if size <= MESH_LIMIT else ring_hops(size)


def slow_hops(zones: int) -> int:
    """Returns how many links between zones with slow heartbeats it passes."""
    if zones <= FEW_ZONES:
        return 0
    return 1 if zones <= ZONE_MESH_LIMIT else 3
