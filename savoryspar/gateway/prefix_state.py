"""Revisions of the store that a VM has applied, and that its peers told."""


class PrefixState:
    """What a VM knows of the changes under one key prefix.

    Attributes:
        prefix: The key prefix.
        applied: Revision up to which all changes are applied, 0 before the
            first read.
        newest_change: Revision of the newest applied change. It is told to
            peers, as ``applied`` rises with each read even without changes.
        told: Highest revision of a change that a peer told.
        told_by: Incarnation of the first peer that told it, empty before.
        behind_since: Monotonic time since which a told change is not applied,
            None if all are.
        is_reported: Whether the log tells that this VM is behind.
        is_connected: Whether the last call to the store succeeded.
        last_heard_at: Monotonic time of the last successful call.
        changes: Number of changes that the store reported.
    """

    __slots__ = (
        "applied",
        "behind_since",
        "changes",
        "is_connected",
        "is_reported",
        "last_heard_at",
        "newest_change",
        "prefix",
        "told",
        "told_by",
    )

    def __init__(self, prefix: str):
        self.prefix = prefix
        self.applied = 0
        self.newest_change = 0
        self.told = 0
        self.told_by = ""
        self.behind_since: float | None = None
        self.is_reported = False
        self.is_connected = False
        self.last_heard_at = 0.0
        self.changes = 0

    @property
    def is_behind(self) -> bool:
        """Whether a peer told a change that is not applied."""
        return self.told > self.applied

    def behind_s(self, now: float) -> float:
        """Returns for how long a told change has not been applied."""
        return 0.0 if self.behind_since is None else now - self.behind_since

    def record_told(self, revision: int, peer: str, now: float) -> None:
        """Records the revision of the newest change that a peer knows."""
        if revision <= self.told:
            return
        self.told, self.told_by = revision, peer
        if self.behind_since is None and self.is_behind:
            self.behind_since = now

    def record_applied(self, revision: int) -> None:
        """Records that all changes up to a revision are applied."""
        self.applied = max(self.applied, revision)
        if not self.is_behind:
            self.behind_since = None
            self.is_reported = False

    def describe_told(self, now: float) -> dict[str, object]:
        """Returns what log lines tell of the revision that peers told."""
        if self.behind_since is None:
            return {}
        return {
            "applied": self.applied,
            "told": self.told,
            "told_by": self.told_by,
            "told_s_ago": round(self.behind_s(now), 2),
        }
