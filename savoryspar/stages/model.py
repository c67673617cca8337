"""Pieces of a stage and the groups in which they are submitted.

The result of a piece stays on the server that produced it until it is freed or
expires. Servers that use the result fetch it by its handle.
"""

from collections.abc import Sequence
import enum
import math
from typing import Any

from savoryspar import decoding

MAX_PIECES = 4096
"""Maximum pieces of one stage; requests on the platform have fewer than 100."""
MAX_RESULT_BYTES = 1e15
MAX_WORKSPACE_CHARS = 256
"""Longest name of a workspace that a peer may state."""


class Failure(enum.Enum):
    """Why a piece has no result.

    Members:
        LATE: It cannot be done before its deadline.
        INPUT_GONE: A result that it uses as input is no longer stored.
        NO_ROOM: The server had no memory for its result.
        FAILED: The server reported an error, or the calls failed.
        NO_SERVER: The pool has no usable server in the zone.
        NO_SERVER_AT_HOME: The pool has no usable server in the home regions of
            the request. It is not sent to peers.
    """

    LATE = "late"
    INPUT_GONE = "input_gone"
    NO_ROOM = "no_room"
    FAILED = "failed"
    NO_SERVER = "no_server"
    NO_SERVER_AT_HOME = "no_server_at_home"


class Piece:
    """One unit of work of a stage of a request.

    A call to a stage server runs a batch of pieces, usually of several
    requests.

    Attributes:
        request_id: ID of the attempt that the piece belongs to.
        stage: Number of the stage in the route.
        number: Number of the piece in the stage.
        key: Identifies the content, for stages without inputs.
        inputs: Handles of the results used as inputs.
        deadline_at: Time after which the result is no longer needed;
            monotonic seconds.
    """

    __slots__ = (
        "deadline_at",
        "inputs",
        "key",
        "number",
        "request_id",
        "stage",
    )

    def __init__(
        self,
        request_id: str,
        stage: int,
        number: int,
        key: str,
        inputs: Sequence[str],
        deadline_at: float,
    ):
        self.request_id = request_id
        self.stage = stage
        self.number = number
        self.key = key
        self.inputs = inputs
        self.deadline_at = deadline_at


class Group:
    """All pieces of one stage of a request, submitted to a gatherer together.

    Their results are useful only when all pieces are done.

    Attributes:
        pool: Pool that runs the stage.
        rank: Rank of the request; 0 is the most urgent.
        objective_at: When the results should be available for the request to
            meet its objective; monotonic seconds.
        result_bytes: Expected size of the result of one piece.
        home_regions: Regions in which the pieces may run, None for all. The VM
            that took the request keeps to them when it chooses the zone, so
            that gatherers need not know them.
        waiting: Pieces that are not in a call yet.
        results: Handles of the results by piece number.
        failed_calls: Number of failed calls.
        owner: Incarnation of the VM that submitted it, empty for this VM.
        submission: Number of its submission, unique at the owner; 0 if the
            owner's build states none.
        workspace: Workspace of the request, empty without one or if the
            owner's build states none.
    """

    __slots__ = (
        "deadline_at",
        "failed_calls",
        "home_regions",
        "inputs",
        "key",
        "objective_at",
        "owner",
        "pieces",
        "pool",
        "rank",
        "request_id",
        "result_bytes",
        "results",
        "stage",
        "submission",
        "waiting",
        "workspace",
    )

    def __init__(
        self,
        request_id: str,
        pool: str,
        stage: int,
        pieces: int,
        key: str,
        inputs: Sequence[str],
        rank: int,
        objective_at: float,
        deadline_at: float,
        result_bytes: int,
        home_regions: frozenset[str] | None = None,
    ):
        self.request_id = request_id
        self.home_regions = home_regions
        self.pool = pool
        self.stage = stage
        self.pieces = pieces
        self.key = key
        self.inputs = tuple(inputs)
        self.rank = rank
        self.objective_at = objective_at
        self.deadline_at = deadline_at
        self.result_bytes = result_bytes
        self.failed_calls = 0
        self.owner = ""
        self.submission = 0
        self.workspace = ""
        self.results: dict[int, str] = {}
        self.waiting = [
            Piece(request_id, stage, number, key, self.inputs, deadline_at)
            for number in range(pieces)
        ]

    @property
    def is_done(self) -> bool:
        """Whether every piece has a result."""
        return len(self.results) == self.pieces

    def handles(self) -> list[str]:
        """Returns the handles of the results in piece order."""
        return [self.results[number] for number in sorted(self.results)]

    def to_body(self, now: float) -> list[Any]:
        """Encodes the group for a peer, with times relative to ``now``.

        Earlier builds accept exactly these items, so the submission and the
        workspace are sent beside them.
        """
        return [
            self.request_id,
            self.pool,
            self.stage,
            self.pieces,
            self.key,
            [*self.inputs],
            self.rank,
            self.objective_at - now,
            self.deadline_at - now,
            self.result_bytes,
        ]


def decode_group(body: Sequence[Any], now: float) -> Group:
    """Decodes a group that a peer sent.

    Raises:
        ValueError, TypeError: The body is malformed. An object is created for
            each piece, so a large number would exhaust the memory.
    """
    (
        request_id,
        pool,
        stage,
        pieces,
        key,
        inputs,
        rank,
        objective_s,
        deadline_s,
        result_bytes,
    ) = body
    return Group(
        str(request_id),
        str(pool),
        decoding.integer(stage, 0),
        decoding.integer(pieces, 0, MAX_PIECES),
        str(key),
        [str(handle) for handle in inputs],
        decoding.integer(rank, -decoding.MAX_INTEGER),
        now + decoding.number(objective_s, -math.inf, math.inf),
        now + decoding.number(deadline_s, -math.inf, math.inf),
        int(decoding.number(result_bytes, 0, MAX_RESULT_BYTES)),
    )
