"""Ages of evidence, passed on between peers, and the confirmed view.

Ages travel only on links whose both directions work. A path of such links
carries evidence both ways, so two sides of a one-way cut cannot both count
the same majority.
"""

from collections.abc import Sequence
import math
import zlib

from savoryspar.membership import table

UNIT_S = 0.1
MAX_AGE = 255


def names_key(members: Sequence[str], zones: Sequence[str]) -> int:
    """Returns a checksum of the order in which ages are sent."""
    return zlib.crc32("\n".join([*members, "", *zones]).encode())


def render_ages(
    records: table.MemberTable, zone: str, now: float
) -> tuple[int, bytes]:
    """Returns the checksum of the order and the ages, one byte each.

    Args:
        records: Where the evidence is kept.
        zone: Zone of the peer; one of another zone gets ages of zones only.
        now: Monotonic time in seconds.
    """
    members, zones = _names(records, zone)
    times = [
        now if member == records.own else records.contact_at.get(member, 0.0)
        for member in members
    ]
    times += [
        now if other == records.zone else records.zone_heard_at(other)
        for other in zones
    ]
    return names_key(members, zones), bytes(
        math.ceil(min(MAX_AGE, max(0.0, (now - at) / UNIT_S))) for at in times
    )


def apply_ages(
    records: table.MemberTable,
    zone: str,
    key: int,
    ages: bytes,
    now: float,
) -> None:
    """Takes the ages of a peer whose link works both ways.

    Args:
        records: Where the evidence is kept.
        zone: Zone of the peer; one of another zone knows of zones only.
        key: Checksum of the order; ages in another order are skipped.
        ages: As ``render_ages`` returned them.
        now: Monotonic time in seconds.
    """
    members, zones = _names(records, zone)
    if key != names_key(members, zones):
        return
    if len(ages) != len(members) + len(zones):
        return
    for member, age in zip(members, ages, strict=False):
        if age < MAX_AGE and member != records.own:
            records.record_contact(member, now - age * UNIT_S)
    for other, age in zip(zones, ages[len(members) :], strict=True):
        if age < MAX_AGE and other != records.zone:
            records.note_zone(other, now - age * UNIT_S)


def _names(
    records: table.MemberTable, zone: str
) -> tuple[Sequence[str], Sequence[str]]:
    by_zone = records.members_by_zone()
    return by_zone[zone] if zone == records.zone else (), list(by_zone)


def is_confirmed(
    records: table.MemberTable, paused_at: float, now: float
) -> bool:
    """Tells whether a majority of the zone's known members is in contact.

    Args:
        records: The members and the evidence.
        paused_at: When this process last resumed; older contact is void.
        now: Monotonic time in seconds.
    """
    known = records.known_in_zone()
    since = max(now - records.evidence_limit_s(), paused_at)
    reached = sum(
        records.contact_at.get(member, float("-inf")) > since
        for member in known
        if member != records.own and records.records[member].is_counted()
    )
    if len(known) > 1:
        return 2 * (reached + 1) > len(known)
    if paused_at == float("-inf") or len(records.records) == 1:
        return True
    # A zone of one member proves that it is current by any other member.
    return any(at > paused_at for at in records.contact_at.values())
