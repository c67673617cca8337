"""Members, their records and the view of them."""

from collections.abc import Sequence
import enum
import functools
import hashlib
from typing import Any

KEPT_RECORDS = 2048
"""Decoded records that are kept. While a fleet starts, each record comes from
many peers: 7,799 to one of 126 members; a quarter of its work was to decode
them."""


class State(enum.IntEnum):
    """What is believed of a member; of two beliefs the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Record:
    """What is spread about one member.

    Records of one incarnation are totally ordered by ``precedence``, so
    merging them gives one result in whatever order they arrive.

    Attributes:
        incarnation: Unique to one start of one process.
        name: Name of the entry VM.
        region, zone: Where it is.
        address: ``IP:port`` for peers.
        version: Raised by the member itself only, to refute a suspicion.
        state: What is believed of it.
        is_leaving: Whether it announced that it drains.
    """

    __slots__ = (
        "_digest",
        "address",
        "incarnation",
        "is_leaving",
        "name",
        "region",
        "state",
        "version",
        "zone",
    )

    def __init__(
        self,
        incarnation: str,
        name: str,
        region: str,
        zone: str,
        address: str,
        version: int = 0,
        state: State = State.ALIVE,
        is_leaving: bool = False,
    ):
        self.incarnation = incarnation
        self.name = name
        self.region = region
        self.zone = zone
        self.address = address
        self.version = version
        self.state = state
        self.is_leaving = is_leaving
        self._digest = 0

    def precedence(self) -> tuple:
        """Returns the key that orders records of one incarnation."""
        return (
            self.state == State.LEFT,
            self.version,
            self.state,
            self.is_leaving,
            self.address,
            self.name,
            self.region,
            self.zone,
        )

    def changed(
        self,
        state: State | None = None,
        version: int | None = None,
        is_leaving: bool | None = None,
    ) -> "Record":
        """Returns a copy with other beliefs."""
        return Record(
            self.incarnation,
            self.name,
            self.region,
            self.zone,
            self.address,
            self.version if version is None else version,
            self.state if state is None else state,
            self.is_leaving if is_leaving is None else is_leaving,
        )

    def is_counted(self) -> bool:
        """Tells whether the member counts as live."""
        return self.state in (State.ALIVE, State.SUSPECT)

    def digest(self) -> int:
        """Returns a number of 64 bits that stands for the record."""
        if not self._digest:
            text = repr((self.incarnation, self.precedence()))
            raw = hashlib.blake2b(text.encode(), digest_size=8).digest()
            self._digest = int.from_bytes(raw, "big")
        return self._digest

    def to_body(self) -> list:
        """Returns the record as it is sent."""
        return [
            self.incarnation,
            self.name,
            self.region,
            self.zone,
            self.address,
            self.version,
            int(self.state),
            self.is_leaving,
        ]


def decode_record(body: Sequence[Any]) -> Record:
    """Decodes a record; raises ``ValueError`` when it is not one."""
    if not isinstance(body, list | tuple) or len(body) != 8:
        raise ValueError(f"a record has 8 items, not {body!r:.80}")
    return _decode(tuple(body))


@functools.lru_cache(KEPT_RECORDS)
def _decode(body: tuple) -> Record:
    texts, version, state, is_leaving = body[:5], body[5], body[6], body[7]
    if not all(isinstance(text, str) and text for text in texts):
        raise ValueError(f"a record starts with 5 texts, not {texts!r:.80}")
    if not isinstance(version, int) or version < 0:
        raise ValueError(f"the version {version!r} is not a whole number")
    return Record(*texts, version, State(state), bool(is_leaving))


class Member:
    """A live member as other parts see it.

    Attributes:
        name, incarnation, region, zone, address: As in its record.
        last_heard_at: Newest evidence of it, directly or through peers.
        is_leaving: Whether it drains.
        revision: Revision of the sheet that it last reported, 0 if none.
    """

    __slots__ = (
        "address",
        "incarnation",
        "is_leaving",
        "last_heard_at",
        "name",
        "region",
        "revision",
        "zone",
    )

    def __init__(self, record: Record, last_heard_at: float, revision: int):
        self.name = record.name
        self.incarnation = record.incarnation
        self.region = record.region
        self.zone = record.zone
        self.address = record.address
        self.last_heard_at = last_heard_at
        self.is_leaving = record.is_leaving
        self.revision = revision


class View:
    """The live members at one time.

    Attributes:
        own: This process.
        members: Live peers without the own process.
        is_confirmed: Whether a majority of the zone's known members was in
            contact both ways lately and no pause went unnoticed.
    """

    __slots__ = ("is_confirmed", "members", "own")

    def __init__(
        self, own: Member, members: tuple[Member, ...], is_confirmed: bool
    ):
        self.own = own
        self.members = members
        self.is_confirmed = is_confirmed
