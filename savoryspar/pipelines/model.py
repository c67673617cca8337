"""A caller's request on its way through a pipeline."""

from typing import Any

from savoryspar import routing, sheet


class Request:
    """A request and what has happened to it so far.

    Attributes:
        request_id: Unique ID.
        workspace: Workspace that is charged.
        pipeline: Pipeline to run.
        rank: Rank of the work, or a lower one that the caller asked for.
        deadline_at: Monotonic time in seconds of the end-to-end deadline.
        body: Decoded JSON body.
        idempotency_key: Key passed to services that accept one, or empty.
        outputs: Output of each finished stage by stage name.
        has_sent: Whether a byte of any stage call may have left.
        fingerprint: What equal requests of the workspace share.
        is_suspect: Whether it may crash the servers that run it.
    """

    __slots__ = (
        "body",
        "deadline_at",
        "fingerprint",
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
    ):
        self.request_id = request_id
        self.workspace = workspace
        self.pipeline = pipeline
        self.rank = rank
        self.deadline_at = deadline_at
        self.body = body
        self.idempotency_key = idempotency_key
        self.outputs: dict[str, dict[str, Any]] = {}
        self.has_sent = False
        self.fingerprint = routing.fingerprint(
            workspace.name, pipeline.name, body
        )
        self.is_suspect = False
