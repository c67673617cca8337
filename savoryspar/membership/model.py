"""Members, their replicated records and the view of live members."""

from collections.abc import Sequence
import enum
import functools
import hashlib
from typing import Any

from savoryspar import decoding

RECORD_CACHE_SIZE = 2048
"""Size of the cache of decoded records.

While a fleet starts, each record arrives from many peers: one of 126 members
received 7,799 records and spent a quarter of its work on decoding them.
"""


MAX_VERSION = 1 << 32
"""Limit for versions, which rise by 1 for each refuted suspicion."""


class State(enum.IntEnum):
    """State of a member; for equal versions, the higher state wins a merge."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Record:
    """The replicated description of one member.

    Records of one incarnation are totally ordered by ``precedence``, so
    the result of merging them does not depend on their order of arrival.

    Attributes:
        incarnation: Unique identifier of one start of one process.
        name: Name of the entry VM.
        region, zone: Location of the entry VM.
        address: ``IP:port`` at which peers connect.
        version: Incremented only by the member itself, to refute a suspicion.
        state: Liveness state of the member.
        is_leaving: Whether the member announced that it drains.
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
        """Returns the sort key that orders records of one incarnation."""
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
        """Returns a copy with the given fields replaced."""
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

    def is_live(self) -> bool:
        """Returns whether the member counts as live, which a suspect does."""
        return self.state in (State.ALIVE, State.SUSPECT)

    def digest(self) -> int:
        """Returns a 64-bit hash of the record."""
        if not self._digest:
            text = repr((self.incarnation, self.precedence()))
            raw = hashlib.blake2b(text.encode(), digest_size=8).digest()
            self._digest = int.from_bytes(raw, "big")
        return self._digest

    def to_body(self) -> list:
        """Returns the record as the list that is sent to peers."""
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
    """Decodes a record; raises ``ValueError`` if the body is invalid."""
    if not isinstance(body, list | tuple) or len(body) != 8:
        raise ValueError(
            f"a record must be a list of 8 items, not {body!r:.80}"
        )
    return _decode(tuple(body))


@functools.lru_cache(RECORD_CACHE_SIZE)
def _decode(body: tuple) -> Record:
    texts, version, state, is_leaving = body[:5], body[5], body[6], body[7]
    names = map(decoding.text, texts[:4])
    address = decoding.address(texts[4])
    decoding.integer(version, 0, MAX_VERSION)
    return Record(*names, address, version, State(state), bool(is_leaving))


class Member:
    """A live member, as returned in a view.

    Attributes:
        name, incarnation, region, zone, address: As in ``Record``.
        last_heard_at: Time of the newest evidence of the member, direct or
            through peers.
        is_leaving: Whether the member drains.
        revision: Sheet revision that the member last reported, 0 if none.
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
    """Snapshot of the live members.

    Attributes:
        own: This process.
        members: Live peers, without this process.
        is_confirmed: Whether this process recently had two-way contact with a
            majority of the zone's known members, and has not been paused since
            its last pause check.
    """

    __slots__ = ("is_confirmed", "members", "own")

    def __init__(
        self, own: Member, members: tuple[Member, ...], is_confirmed: bool
    ):
        self.own = own
        self.members = members
        self.is_confirmed = is_confirmed
