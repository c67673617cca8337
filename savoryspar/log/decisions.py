"""One log line for each routing or placement decision."""

import zlib

from savoryspar.log import setup


class Decision:
    """What was decided for one request, and why."""

    __slots__ = (
        "candidates",
        "choice",
        "part",
        "rank",
        "reason",
        "request_id",
        "stage",
        "workspace",
    )

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


class DecisionLog:
    """Writes decisions, all lines of a sampled request or none."""

    __slots__ = ("_loggers", "_threshold")

    def __init__(self, sample_percent: float):
        self._threshold = sample_percent / 100.0 * 2**32
        self._loggers = {part: setup.new_logger(part) for part in setup.PARTS}

    def is_sampled(self, request_id: str) -> bool:
        """Tells whether the decisions of the request are written."""
        return zlib.crc32(request_id.encode()) < self._threshold

    def record(self, decision: Decision) -> None:
        """Writes the decision if its request is sampled."""
        if self.is_sampled(decision.request_id):
            self._loggers[decision.part].info(decision.line())


def new_decision_log(sample_percent: float) -> DecisionLog:
    """Returns a log that writes the share of requests given in percent."""
    return DecisionLog(sample_percent)
