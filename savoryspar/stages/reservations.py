"""Memory for results that admitted groups will need.

A group reserves the memory of all its results at its admission. Each result
that is stored uses its part, and the rest is released when the group ends for
any reason. Ending a group again releases nothing.
"""

from collections.abc import Collection

from savoryspar.stages import model


class Reservations:
    """Reserved memory by group.

    Attributes:
        total_bytes: Memory that is reserved and not used yet.
    """

    __slots__ = ("_known_owners", "_reserved", "total_bytes")

    def __init__(self) -> None:
        # Owners of groups that have been live; a VM that has just joined may
        # submit before its record arrives.
        self._known_owners: frozenset[str] = frozenset()
        self._reserved: dict[model.Group, int] = {}
        self.total_bytes = 0

    def reserve(self, group: model.Group, live: Collection[str] = ()) -> None:
        """Reserves the memory of a group's results, once.

        Args:
            group: The group.
            live: Incarnations of the live VMs.
        """
        if group.owner in live:
            self._known_owners |= {group.owner}
        if group not in self._reserved:
            self._reserved[group] = group.pieces * group.result_bytes
            self.total_bytes += self._reserved[group]

    def use(self, group: model.Group) -> None:
        """Records that one result of a group is stored on a server."""
        if group in self._reserved:
            used = min(group.result_bytes, self._reserved[group])
            self._reserved[group] -= used
            self.total_bytes -= used

    def release(self, group: model.Group) -> None:
        """Releases what a group has not used; nothing if it has ended."""
        self.total_bytes -= self._reserved.pop(group, 0)

    def abandoned(self, live: Collection[str]) -> list[model.Group]:
        """Returns the groups whose owners were live and are gone.

        Args:
            live: Incarnations of the live VMs. This VM has no name as owner.
        """
        owners = {group.owner for group in self._reserved if group.owner}
        known = frozenset(
            owner
            for owner in owners
            if owner in live or owner in self._known_owners
        )
        self._known_owners = known
        gone = known.difference(live)
        return [group for group in self._reserved if group.owner in gone]


def new_reservations() -> Reservations:
    """Returns an empty set of reservations."""
    return Reservations()
