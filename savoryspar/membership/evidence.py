"""Exchange of evidence ages between peers, and confirmation of the view.

Ages are accepted only on links that work in both directions. A path of such
links carries evidence both ways, so the two sides of a one-way network fault
cannot both count the same majority.
"""

from collections.abc import Sequence
import math
import zlib

from savoryspar.membership import table

AGE_UNIT_S = 0.1
MAX_AGE_UNITS = 255


def order_checksum(members: Sequence[str], zones: Sequence[str]) -> int:
    """Returns a checksum of the names, in the order in which ages are sent."""
    return zlib.crc32("\n".join([*members, "", *zones]).encode())


def render_ages(
    records: table.MemberTable, zone: str, now: float
) -> tuple[int, bytes]:
    """Returns the order checksum and the ages, one byte each.

    Args:
        records: Table that holds the evidence.
        zone: Zone of the peer; peers in other zones get only ages of zones.
        now: Monotonic time in seconds.
    """
    members, zones = _ordered_names(records, zone)
    times = [
        now if member == records.own else records.contact_at.get(member, 0.0)
        for member in members
    ]
    times += [
        now if other == records.zone else records.zone_last_heard_at(other)
        for other in zones
    ]
    return order_checksum(members, zones), bytes(
        math.ceil(min(MAX_AGE_UNITS, max(0.0, (now - seen_at) / AGE_UNIT_S)))
        for seen_at in times
    )


def apply_ages(
    records: table.MemberTable,
    zone: str,
    checksum: int,
    ages: bytes,
    now: float,
) -> None:
    """Records the ages from a peer whose link works in both directions.

    Args:
        records: Table that holds the evidence.
        zone: Zone of the peer; peers in other zones send only ages of zones.
        checksum: Order checksum of the peer; ages in another order are ignored.
        ages: Ages as returned by ``render_ages``.
        now: Monotonic time in seconds.
    """
    members, zones = _ordered_names(records, zone)
    if checksum != order_checksum(members, zones):
        return
    if len(ages) != len(members) + len(zones):
        return
    for member, age in zip(members, ages, strict=False):
        if age < MAX_AGE_UNITS and member != records.own:
            records.record_contact(member, now - age * AGE_UNIT_S)
    for other, age in zip(zones, ages[len(members) :], strict=True):
        if age < MAX_AGE_UNITS and other != records.zone:
            records.record_zone_evidence(other, now - age * AGE_UNIT_S)


def _ordered_names(
    records: table.MemberTable, zone: str
) -> tuple[Sequence[str], Sequence[str]]:
    by_zone = records.members_by_zone()
    return by_zone[zone] if zone == records.zone else (), list(by_zone)


def is_confirmed(
    records: table.MemberTable, paused_at: float, now: float
) -> bool:
    """Returns whether a majority of the zone's known members is in contact.

    Args:
        records: The members and the evidence.
        paused_at: When this process last resumed; older contact is ignored.
        now: Monotonic time in seconds.
    """
    known = records.quorum_members()
    since = max(now - records.evidence_limit_s(), paused_at)
    reached = sum(
        records.contact_at.get(member, float("-inf")) > since
        for member in known
        if member != records.own and records.records[member].is_live()
    )
    if len(known) > 1:
        return 2 * (reached + 1) > len(known)
    if paused_at == float("-inf") or len(records.records) == 1:
        return True
    # In a zone of one member, contact with any member since the pause
    # suffices.
    return any(seen_at > paused_at for seen_at in records.contact_at.values())
