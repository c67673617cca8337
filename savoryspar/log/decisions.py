"""Log of scheduling, routing and placement decisions, one line each."""

import collections
from collections.abc import Mapping
import zlib

from savoryspar.log import setup

RECENT_DECISIONS = 1000
FIELDS = (
    "part",
    "request_id",
    "stage",
    "rank",
    "workspace",
    "candidates",
    "choice",
    "reason",
)


class Decision:
    """A decision on one request, with its reason."""

    __slots__ = FIELDS

    def __init__(
        self,
        part: str,
        request_id: str,
        stage: str,
        rank: str,
        workspace: str,
        candidates: int,
        choice: str,
        reason: str,
    ):
        self.part = part
        self.request_id = request_id
        self.stage = stage
        self.rank = rank
        self.workspace = workspace
        self.candidates = candidates
        self.choice = choice
        self.reason = reason

    def line(self) -> str:
        """Returns the decision as one short line."""
        return (
            f"request={self.request_id} stage={self.stage} rank={self.rank}"
            f" workspace={self.workspace} candidates={self.candidates}"
            f" choice={self.choice} reason={self.reason}"
        )

    def to_dict(self) -> dict[str, object]:
        """Returns the fields by name."""
        return {name: getattr(self, name) for name in FIELDS}


class DecisionLog:
    """Logs decisions, sampled by request: all lines of a request or none.

    The most recent decisions are also kept in memory, sampled or not, for
    operators to read, because an entry VM has no disk for a log.
    """

    __slots__ = ("_loggers", "_recent", "_threshold")

    def __init__(self, sample_percent: float):
        self._threshold = sample_percent / 100.0 * 2**32
        self._loggers = {part: setup.new_logger(part) for part in setup.PARTS}
        self._recent: collections.deque[Decision] = collections.deque(
            maxlen=RECENT_DECISIONS
        )

    def is_sampled(self, request_id: str) -> bool:
        """Returns whether the decisions of the request are logged."""
        return zlib.crc32(request_id.encode()) < self._threshold

    def record(self, decision: Decision) -> None:
        """Keeps the decision and logs it if its request is sampled."""
        self._recent.append(decision)
        if self.is_sampled(decision.request_id):
            self._loggers[decision.part].info(decision.line())

    def recent(self, query: Mapping[str, str]) -> list[dict[str, object]]:
        """Returns the recent decisions whose fields have the given values."""
        return [
            decision.to_dict()
            for decision in self._recent
            if all(
                str(getattr(decision, name, "")) == value
                for name, value in query.items()
            )
        ]


def new_decision_log(sample_percent: float) -> DecisionLog:
    """Returns a log that samples the given percentage of requests."""
    return DecisionLog(sample_percent)
