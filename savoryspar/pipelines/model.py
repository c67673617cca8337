"""A caller's request and its state while it is processed."""

from collections.abc import Callable
from typing import Any

from savoryspar import routing, sheet


class Request:
    """A request to a pipeline, with its progress.

    Attributes:
        request_id: Unique ID.
        workspace: Workspace that is charged.
        pipeline: Pipeline to run.
        rank: Rank of the pipeline's work, or a lower one that the caller
            requested.
        deadline_at: Monotonic time of the end-to-end deadline in seconds.
        body: Decoded JSON body.
        idempotency_key: Key passed to services that accept one, or empty.
        outputs: Output of each completed stage by stage name.
        guard: Called before the first byte of each stage call; it raises an
            exception when the call must not be sent.
        has_sent: Whether a byte of any stage call may have been sent.
        fingerprint: Workspace and hash; the same for equal requests.
        is_suspect: Whether the request may crash the servers that run it.
    """

    __slots__ = (
        "body",
        "deadline_at",
        "fingerprint",
        "guard",
        "has_sent",
        "idempotency_key",
        "is_suspect",
        "outputs",
        "pipeline",
        "rank",
        "request_id",
        "workspace",
    )

    def __init__(
        self,
        request_id: str,
        workspace: sheet.Workspace,
        pipeline: sheet.Pipeline,
        rank: str,
        deadline_at: float,
        body: dict[str, Any],
        idempotency_key: str = "",
        guard: Callable[[], None] | None = None,
    ):
        self.request_id = request_id
        self.workspace = workspace
        self.pipeline = pipeline
        self.rank = rank
        self.deadline_at = deadline_at
        self.body = body
        self.idempotency_key = idempotency_key
        self.outputs: dict[str, dict[str, Any]] = {}
        self.guard = guard
        self.has_sent = False
        self.fingerprint = routing.fingerprint(
            workspace.name, pipeline.name, body
        )
        self.is_suspect = False

    def before_send(self) -> None:
        """Calls the guard and records that a byte is about to be sent."""
        if self.guard is not None:
            self.guard()
        self.has_sent = True
