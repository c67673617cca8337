"""The platform's store of a soak, and what backend servers recorded."""

import collections
from collections.abc import Mapping, Sequence
import time

import eventlet
from eventlet import event

from savoryspar import platform

MAX_HISTORY = 400
"""Number of changes that the store keeps."""


class StoreCopy:
    """A copy of the store's contents, from which it can be restored."""

    __slots__ = ("history", "items", "revision")

    def __init__(
        self,
        items: Mapping[str, platform.Item],
        history: Sequence[platform.Item],
        revision: int,
    ):
        self.items = items
        self.history = history
        self.revision = revision


class Store:
    """Contents of the platform's store, which can be down, slow or compacted.

    Attributes:
        revision: Revision of the last change.
        era: Number of times that it was restored, counted from 1; 0 if it does
            not tell.
        is_down: Whether it answers every request with 503.
        delay_s: Delay before each answer, in seconds.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.era = 1
        self.is_down = False
        self.delay_s = 0.0
        self._items: dict[str, platform.Item] = {}
        self._history: collections.deque[platform.Item] = collections.deque(
            maxlen=MAX_HISTORY
        )
        self._compacted_revision = 0
        self._changed = event.Event()

    def write(self, key: str, value: bytes | None) -> None:
        """Writes a key, or removes it."""
        self.revision += 1
        item = platform.Item(key, value, self.revision)
        if value is None:
            self._items.pop(key, None)
        else:
            self._items[key] = item
        self._history.append(item)
        self._notify()

    def compact_history(self) -> None:
        """Drops the history; watches from an older revision then get None."""
        self._history.clear()
        self._compacted_revision = self.revision

    def copy(self) -> StoreCopy:
        """Returns a copy of the contents."""
        return StoreCopy({**self._items}, [*self._history], self.revision)

    def restore(self, copy: StoreCopy) -> None:
        """Replaces the contents by a copy; later revisions are given again."""
        self._items = {**copy.items}
        self._history = collections.deque(copy.history, MAX_HISTORY)
        self._compacted_revision = min(self._compacted_revision, copy.revision)
        self.revision = copy.revision
        self.era += self.era > 0
        self._notify()

    def changed_since(self, copy: StoreCopy) -> dict[str, bytes | None]:
        """Returns the keys that a copy has otherwise, with their values."""
        return {
            key: self._items[key].value if key in self._items else None
            for key in sorted(self._items.keys() | copy.items.keys())
            if self._items.get(key) is not copy.items.get(key)
        }

    def rewrite(
        self, copy: StoreCopy, lost: Mapping[str, bytes | None], prefix: str
    ) -> None:
        """Writes lost keys under a prefix unless they were written since.

        Args:
            copy: The copy that the store was restored from.
            lost: Values by key before the loss; None for removed keys.
            prefix: Key prefix.
        """
        for key, value in lost.items():
            is_as_copied = self._items.get(key) is copy.items.get(key)
            if key.startswith(prefix) and is_as_copied:
                self.write(key, value)

    def _notify(self) -> None:
        changed, self._changed = self._changed, event.Event()
        changed.send(None)

    def read(self, prefix: str) -> Sequence[platform.Item]:
        """Returns the items whose keys begin with a prefix, ordered."""
        return [
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(prefix)
        ]

    def wait(
        self, prefix: str, after: int, wait_s: float
    ) -> Sequence[platform.Item] | None:
        """Waits for changes after a revision.

        Returns:
            The changes, which may be none at the end of the wait; None if the
            store is down, or does not have the changes after the revision.
        """
        ends_at = time.monotonic() + wait_s
        while (
            self._compacted_revision <= after <= self.revision
            and not self.is_down
        ):
            changes = [
                item
                for item in self._history
                if item.revision > after and item.key.startswith(prefix)
            ]
            remaining_s = ends_at - time.monotonic()
            if changes or remaining_s <= 0.0:
                return changes
            with eventlet.Timeout(min(remaining_s, 0.5), False):
                self._changed.wait()
        return None


class Run:
    """Answer with status 200 that a backend server made for an attempt.

    Attributes:
        service: Service of the server.
        seal: Stamp of the answer.
        body: Body of the answer, None for a stream.
        is_resumed: Whether it is the rest of a stream.
        server: Name of the server.
        framing: How the end of the body was told.
    """

    __slots__ = (
        "body",
        "framing",
        "is_resumed",
        "seal",
        "server",
        "service",
    )

    def __init__(
        self, service: str, seal: str, body: bytes | None, is_resumed: bool
    ):
        self.service = service
        self.seal = seal
        self.body = body
        self.is_resumed = is_resumed
        self.server = ""
        self.framing = ""


class RunRecords:
    """Runs and sends that backend servers recorded, for the checker.

    Attributes:
        runs: Number of runs of orders by attempt.
        sends: Number of requests of any route that a server accepted, by
            attempt.
        answers: Answers that servers made, by attempt.
    """

    def __init__(self) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        self.sends: collections.Counter[str] = collections.Counter()
        self.answers: dict[str, list[Run]] = collections.defaultdict(list)
