"""The requests that an entry VM is serving, with what is known of each."""

from collections.abc import Callable, Iterable
from typing import Any

from savoryspar import http
from savoryspar.gateway import model

READING = "reading"
"""Kind of a request whose body has not been read yet."""


class ActiveRequest:
    """A request that is being served.

    Attributes:
        received_at: When its head was read, in monotonic seconds.
        attempt_id: Attempt ID; empty until the request has been read.
        job: The admitted request, None until then.
        is_head_sent: Whether the head of a relayed response was sent.
        upload: The count of its body, None until the body has been read.
        share_bytes: What it counts toward the share of its pool, 0 until it
            is admitted.
    """

    __slots__ = (
        "_start_response",
        "attempt_id",
        "is_head_sent",
        "job",
        "received_at",
        "share_bytes",
        "upload",
    )

    def __init__(self, start_response: model.StartResponse, received_at: float):
        self._start_response = start_response
        self.received_at = received_at
        self.attempt_id = ""
        self.job: model.Job | None = None
        self.is_head_sent = False
        self.upload: http.Upload | None = None
        self.share_bytes = 0

    @property
    def route(self) -> str:
        """Name of the route, empty until the request is admitted."""
        return self.job.route.name if self.job else ""

    @property
    def kind(self) -> str:
        """Kind of the route, or ``READING``."""
        return self.job.route.kind.value if self.job else READING

    @property
    def answer_end(self) -> str:
        """How the last server's answer ended, empty without one."""
        return self.job.answer_end if self.job else ""

    @property
    def end_evidence(self) -> str:
        """What shows whether that answer is complete, empty if not needed."""
        return self.job.end_evidence if self.job else ""

    @property
    def may_have_run(self) -> bool:
        """Whether a backend server may have run the request."""
        return bool(self.job and (self.job.sends or self.job.is_sending))

    def start(
        self, status: str, fields: list[tuple[str, str]]
    ) -> Callable[[bytes], Any]:
        """Sends the status and headers as ``start_response`` does."""
        self.is_head_sent = True
        return self._start_response(status, fields)


def describe(
    requests: Iterable[ActiveRequest], now: float
) -> dict[str, dict[str, float]]:
    """Returns the number and the greatest age of the requests of each kind.

    Args:
        requests: The requests.
        now: Monotonic time in seconds.
    """
    kinds: dict[str, dict[str, float]] = {}
    for req in requests:
        kind = kinds.setdefault(req.kind, {"count": 0, "oldest_s": 0.0})
        kind["count"] += 1
        age_s = round(now - req.received_at, 3)
        kind["oldest_s"] = max(kind["oldest_s"], age_s)
    return kinds
