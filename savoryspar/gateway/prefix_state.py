"""What a VM knows of one key prefix of the store, and when it reads it.

A change arrives by the open watch, by a message of a peer, or by a read. The
watch may be left unanswered, or answered without changes that it missed, so
reads do not wait for it: they begin as soon as a peer has told a change that
the watch does not deliver, or the watch is overdue.
"""

from collections.abc import Mapping
import contextlib
import math

from eventlet import queue

WATCH_SHARE = 0.6
"""Wait of a watch as a share of the time in which a change must be in force. A
watch that does not report a change hides it until the end of its wait."""
MIN_WATCH_S = 0.25
OVERDUE_S = 0.2
"""Time after the end of a watch's wait in which its answer must arrive."""
BEHIND_GRACE_S = 0.5
"""Time in which the own watch may deliver a change that a peer has told; each
VM would read each change otherwise. More than ``CHANGE_BATCH_DELAY_S``."""
GAP_GRACE_S = 0.1
"""Time in which messages of peers may close a gap, for VMs that do not watch:
the messages take different paths."""
CHANGE_BATCH_DELAY_S = 0.25
"""Delay between a change and the next watch, to batch changes; a tenth of the
2.5 s in which a change must be in force. Without it, each watch returned one
server while all servers registered, which made two thirds of a VM's calls to
the store."""
READ_PATIENCE_S = 0.3
"""Time after which a read counts as unanswered; answers usually take 4 ms."""
RETRY_S = 0.4
"""Delay after a failed call, doubled up to ``MAX_RETRY_S``, with jitter."""
MAX_RETRY_S = 1.6
"""Short enough for a configuration to be in force 2.5 s after the store is
reachable again."""
REFUTED_RETRY_S = 2.0
"""Delay before a revision is believed again that the store did not have. A peer
that tells a wrong one does so in each heartbeat."""
MISSING_RETRY_S = 0.3
"""Delay before a key that does not exist yet is read again."""


class PrefixState:
    """State of one key prefix; construct with ``new_prefix_state``.

    Attributes:
        prefix: The key prefix.
        bound_s: Time in which a change must be in force.
        reads_all: Whether reads list all keys under the prefix, rather than
            get the configuration only.
        era: Era of the store in which ``applied``, ``listed_until`` and
            ``newest_change`` are revisions: the number of times that it came
            back from a copy, 0 if it does not tell. Revisions of two eras
            cannot be compared, as the store gives them out again.
        applied: Revision up to which all changes are applied, 0 before the
            first read.
        listed_until: Revision as of which the last page of a list was read.
            Until it is applied, servers may be missing whose removal is later
            than ``applied``.
        newest_change: Revision of the newest applied change. It is told to
            peers, as ``applied`` rises with each read even without changes.
        told_era, told: Highest revision of a change that a peer told, in the
            highest era.
        told_by: Incarnation of the first peer that told it, empty before.
        behind_since: Monotonic time since which a told change is not applied,
            None if all are.
        is_reported: Whether the log tells that this VM is behind.
        is_watching: Whether this VM has to watch the store.
        has_read: Whether the store has answered a read.
        must_read: Whether all keys must be read, as changes may be missing.
        is_refused: Whether the last read failed.
        is_connected: Whether the last call to the store succeeded.
        last_heard_at: Monotonic time of the last successful call.
        changes: Number of changes that the store reported.
    """

    __slots__ = (
        "_expected_at",
        "_read_began_at",
        "_refuted",
        "_refuted_until",
        "_retry_at",
        "_retry_s",
        "_told_at",
        "_wakeups",
        "applied",
        "behind_since",
        "bound_s",
        "changes",
        "era",
        "has_read",
        "is_connected",
        "is_refused",
        "is_reported",
        "is_watching",
        "last_heard_at",
        "listed_until",
        "must_read",
        "newest_change",
        "prefix",
        "reads_all",
        "told",
        "told_by",
        "told_era",
    )

    def __init__(self, prefix: str, bound_s: float):
        self.prefix = prefix
        self.bound_s = bound_s
        self.reads_all = True
        self.era = 0
        self.applied = 0
        self.listed_until = 0
        self.newest_change = 0
        self.told_era = 0
        self.told = 0
        self.told_by = ""
        self.behind_since: float | None = None
        self.is_reported = False
        self.is_watching = False
        self.has_read = False
        self.must_read = True
        self.is_refused = False
        self.is_connected = False
        self.last_heard_at = 0.0
        self.changes = 0
        self._expected_at = 0.0
        self._read_began_at: float | None = None
        self._refuted = (0, 0)
        self._refuted_until = -math.inf
        self._retry_at = -math.inf
        self._retry_s = RETRY_S
        self._told_at = -math.inf
        self._wakeups: queue.LightQueue = queue.LightQueue(1)

    @property
    def watch_wait_s(self) -> float:
        """Time for which a watch waits for changes."""
        return watch_wait_s(self.bound_s)

    @property
    def is_behind(self) -> bool:
        """Whether a peer told a change that is not applied."""
        return (self.told_era, self.told) > (self.era, self.applied)

    def behind_s(self, now: float) -> float:
        """Returns for how long a told change has not been applied."""
        return 0.0 if self.behind_since is None else now - self.behind_since

    def told_s(self, now: float) -> float:
        """Returns how long ago the newest change was told."""
        return now - self._told_at

    def unanswered_s(self, now: float) -> float:
        """Returns for how long the read in progress has not been answered."""
        return 0.0 if self._read_began_at is None else now - self._read_began_at

    def is_new(self, revision: int, now: float, era: int = 0) -> bool:
        """Returns whether a revision was neither told nor just refuted."""
        is_refuted = (era, revision) == self._refuted
        return (era, revision) > (self.told_era, self.told) and not (
            is_refuted and now < self._refuted_until
        )

    def record_told(
        self, revision: int, peer: str, now: float, era: int = 0
    ) -> None:
        """Records the revision of the newest change that a peer knows."""
        if not self.is_new(revision, now, era):
            return
        self.told_era, self.told = era, revision
        self.told_by, self._told_at = peer, now
        if self.behind_since is None and self.is_behind:
            self.behind_since = now
            self.wake()

    def begin_era(self, era: int) -> bool:
        """Prepares for the store's contents of an era.

        Returns:
            Whether it is a later era, in which nothing is applied yet.
        """
        if era <= self.era:
            return False
        self.era = era
        self.applied = self.listed_until = self.newest_change = 0
        return True

    def record_applied(self, revision: int) -> None:
        """Records that all changes up to a revision are applied."""
        self.applied = max(self.applied, revision)
        if not self.is_behind:
            if self.told_era == self.era:
                self.newest_change = max(self.newest_change, self.told)
            self.behind_since = None
            self.is_reported = False

    def record_listed(self, revision: int) -> None:
        """Records as of which revision the last page of a list was read."""
        self.listed_until = max(self.listed_until, revision)

    @property
    def is_exact(self) -> bool:
        """Whether exactly the changes up to ``applied`` are applied."""
        return self.listed_until <= self.applied

    def set_watching(self, is_watching: bool, now: float) -> None:
        """Sets whether this VM has to watch the store."""
        self.is_watching = is_watching
        self._expect_answer(now)
        self.wake()

    def require_read(self) -> None:
        """Has all keys read, as changes may be missing."""
        self.must_read = True
        self.wake()

    def record_answer(self, has_changes: bool, now: float) -> None:
        """Records an answer of the store to any call."""
        self.is_connected = True
        self.last_heard_at = now
        self._expect_answer(now + CHANGE_BATCH_DELAY_S * has_changes)

    def begin_read(self, now: float) -> None:
        """Records that a read begins."""
        self._read_began_at = now

    def record_read(self, revision: int, now: float) -> None:
        """Records the revision of the store as of which all keys were read."""
        began_at, self._read_began_at = self._read_began_at, None
        self.is_refused = False
        self.has_read = True
        self.must_read = not revision
        self._retry_s = RETRY_S
        self._retry_at = now + (
            CHANGE_BATCH_DELAY_S if revision else MISSING_RETRY_S
        )
        if self.behind_since is not None and began_at >= self._told_at:
            # Answers are linearizable, so there is no later change.
            newest = (self.era, max(revision, self.applied))
            if (self.told_era, self.told) > newest:
                self._refuted = (self.told_era, self.told)
                self._refuted_until = now + REFUTED_RETRY_S
                self.told_era, self.told = newest
        self.record_applied(revision)

    def record_failed_read(self, jitter: float, now: float) -> None:
        """Records that a read failed, and when the next one may begin.

        Args:
            jitter: Share of the delay to wait.
            now: Monotonic time in seconds.
        """
        began_at, self._read_began_at = self._read_began_at, None
        self.is_refused = True
        self._retry_at = max(now, (began_at or now) + self._retry_s * jitter)
        self._retry_s = min(2.0 * self._retry_s, MAX_RETRY_S)

    def read_due_at(self) -> float:
        """Returns the monotonic time of the next read, infinity if none is."""
        if self.must_read or self.is_refused:
            return self._retry_at
        due_at = self._expected_at if self.is_watching else math.inf
        if self.behind_since is not None:
            grace_s = BEHIND_GRACE_S if self.is_watching else GAP_GRACE_S
            due_at = min(due_at, self.behind_since + grace_s)
        return max(due_at, self._retry_at)

    def needs_peers(self, now: float) -> bool:
        """Returns whether peers must be asked, as the store does not answer."""
        return (
            self.is_refused
            or self.unanswered_s(now) >= READ_PATIENCE_S
            or self.behind_s(now) >= BEHIND_GRACE_S + READ_PATIENCE_S
        )

    def wait(self, timeout_s: float) -> None:
        """Waits until ``wake`` is called, at most for a timeout."""
        limit_s = None if math.isinf(timeout_s) else timeout_s
        with contextlib.suppress(queue.Empty):
            self._wakeups.get(timeout=limit_s)

    def wake(self) -> None:
        """Ends ``wait``, as the time of the next read may have changed."""
        with contextlib.suppress(queue.Full):
            self._wakeups.put_nowait(None)

    def describe_told(self, now: float) -> Mapping[str, object]:
        """Returns what log lines tell of the revision that peers told."""
        if self.behind_since is None:
            return {}
        return {
            "era": self.era,
            "applied": self.applied,
            "told_era": self.told_era,
            "told": self.told,
            "told_by": self.told_by,
            "told_s_ago": round(self.behind_s(now), 2),
        }

    def _expect_answer(self, now: float) -> None:
        self._expected_at = now + self.watch_wait_s + OVERDUE_S


def watch_wait_s(bound_s: float) -> float:
    """Returns for how long a watch waits for changes.

    Args:
        bound_s: Time in which a change must be in force.
    """
    return max(MIN_WATCH_S, WATCH_SHARE * bound_s)


def new_prefix_state(prefix: str, bound_s: float) -> PrefixState:
    """Returns the state of a prefix that has not been read.

    Args:
        prefix: The key prefix.
        bound_s: Time in which a change must be in force.
    """
    return PrefixState(prefix, bound_s)
