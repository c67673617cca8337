"""Selection of the gatherer of a stage pool in a zone.

The gatherer is the entry VM that batches the pieces for the pool's servers.
Every VM computes the same gatherer from the live members, so no election is
needed. While membership views differ, two VMs may gather for the same pool,
which only makes their batches smaller.
"""

from collections.abc import Iterable, Sequence
import hashlib

from savoryspar import membership


def choose_gatherer(
    pool: str,
    zone: str,
    members: Iterable[membership.Record],
    excluded: frozenset[str] = frozenset(),
) -> membership.Record | None:
    """Returns the gatherer, or None if there is no usable member.

    Members in the zone of the servers are preferred.

    Args:
        pool: Stage pool.
        zone: Availability zone of the pool's servers.
        members: Live members, this process included.
        excluded: Incarnations that did not respond.
    """
    usable = [
        member
        for member in members
        if not member.is_leaving and member.incarnation not in excluded
    ]
    near: Sequence[membership.Record] = [m for m in usable if m.zone == zone]
    return max(
        near or usable,
        key=lambda m: rendezvous(m.incarnation, pool),
        default=None,
    )


class GathererCache:
    """Caches the chosen gatherers until the members change.

    With a hundred members in several zones, computing the choice costs more
    than sending a message to the gatherer.
    """

    __slots__ = ("_gatherers", "_members")

    def __init__(self) -> None:
        self._members: Sequence[membership.Record] = ()
        self._gatherers: dict[
            tuple[str, str, frozenset[str]], membership.Record | None
        ] = {}

    def choose(
        self,
        pool: str,
        zone: str,
        members: Sequence[membership.Record],
        excluded: frozenset[str] = frozenset(),
    ) -> membership.Record | None:
        """Returns the cached result of ``choose_gatherer``.

        Args:
            pool: Stage pool.
            zone: Availability zone of the pool's servers.
            members: Live members; must be the same object until they change.
            excluded: Incarnations that did not respond.
        """
        if members is not self._members:
            self._members = members
            self._gatherers = {}
        key = (pool, zone, excluded)
        if key not in self._gatherers:
            self._gatherers[key] = choose_gatherer(
                pool, zone, members, excluded
            )
        return self._gatherers[key]


def rendezvous(candidate: str, key: str) -> bytes:
    """Returns the rendezvous weight of a candidate; the highest is chosen."""
    text = f"{key}/{candidate}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
