"""Watches and reads the keys under one prefix of the platform's store.

One green thread watches and another one reads, each on its own connection, so
that a change which a peer has told does not wait for a watch that the store
does not answer. ``prefix_state`` decides when to read.
"""

from collections.abc import Sequence
import random
from typing import Protocol

import eventlet

from savoryspar import fleet, log, platform
from savoryspar.gateway import model, prefix_state

POLL_S = 0.25
"""Interval at which a VM that does not watch checks whether it has to."""


class Contents(Protocol):
    """What this VM keeps of the store."""

    def apply(
        self, prefix: str, items: Sequence[platform.Item], source: str
    ) -> None:
        """Applies changes under a prefix."""

    def apply_all(
        self, prefix: str, snapshot: platform.Snapshot
    ) -> list[platform.Item]:
        """Applies all keys under a prefix; returns those that are gone."""

    def propagate(
        self,
        prefix: str,
        era: int,
        since: int,
        until: int,
        items: Sequence[platform.Item] | None,
    ) -> None:
        """Tells changes to peers, or only their revision."""

    def must_watch(self, state: prefix_state.PrefixState) -> bool:
        """Returns whether this VM has to watch the store."""

    def record_contact(self) -> None:
        """Records that the store has answered."""

    def record_quiet_watch(self) -> None:
        """Records that a watch has ended without changes."""

    def ask_peers_if_due(self) -> None:
        """Asks peers for the store's contents if the store does not answer."""


def next_revision(revision: int, changes: platform.Snapshot) -> int:
    """Returns the revision after which the next watch starts.

    An empty answer does not advance it: a store that failed to report changes
    to its watches still answers with a newer revision. A watch from the old
    revision returns these changes, or an error that they are no longer kept.
    """
    return max(revision, changes.revision) if changes.items else revision


class StoreFollower:
    """Follows the keys under one prefix; construct it with ``new_follower``."""

    __slots__ = (
        "_clock",
        "_contents",
        "_events",
        "_read_client",
        "_rng",
        "_state",
        "_watch_client",
    )

    def __init__(
        self,
        state: prefix_state.PrefixState,
        contents: Contents,
        watch_client: platform.StoreClient,
        read_client: platform.StoreClient,
        events: log.EventLog,
        clock: model.Clock,
        rng: random.Random,
    ):
        self._state = state
        self._contents = contents
        self._watch_client = watch_client
        self._read_client = read_client
        self._events = events
        self._clock = clock
        self._rng = rng

    def calls(self) -> int:
        """Returns the number of calls made to the store."""
        return self._watch_client.calls + self._read_client.calls

    def watch(self) -> None:
        """Applies the changes that watches report; never returns."""
        state = self._state
        retry_s = prefix_state.RETRY_S
        while True:
            pause_s = POLL_S
            began_at = self._clock()
            try:
                # Reads go first after a failure.
                if self._contents.must_watch(state) and not (
                    state.must_read or state.is_refused
                ):
                    pause_s = self._watch_once()
                    retry_s = prefix_state.RETRY_S
            except fleet.HistoryGoneError as exc:
                self._events.state_change(
                    "store history gone",
                    self._clock(),
                    prefix=state.prefix,
                    revision=state.applied,
                    cause=str(exc),
                )
                state.require_read()
            except fleet.StoreError as exc:
                self._record_failure("watch", began_at, exc)
                pause_s = retry_s * self._rng.uniform(0.5, 1.0)
                retry_s = min(2.0 * retry_s, prefix_state.MAX_RETRY_S)
            except Exception as exc:
                # Without a retry, this VM would miss all further changes.
                self._record_unexpected("watch", exc)
                pause_s = prefix_state.MAX_RETRY_S
            eventlet.sleep(pause_s)

    def read(self) -> None:
        """Reads all keys whenever that is due; never returns."""
        state = self._state
        while True:
            began_at = self._clock()
            due_at = state.read_due_at()
            if due_at > began_at:
                state.wait(due_at - began_at)
                continue
            state.begin_read(began_at)
            timer = eventlet.spawn_after(
                prefix_state.READ_PATIENCE_S, self._contents.ask_peers_if_due
            )
            try:
                self._read_once()
                continue
            except fleet.StoreError as exc:
                self._record_failure("read", began_at, exc)
            except Exception as exc:
                # Without a retry, this VM would miss all further changes.
                self._record_unexpected("read", exc)
            finally:
                timer.cancel()
            state.record_failed_read(self._rng.uniform(0.5, 1.0), self._clock())
            eventlet.spawn_n(self._contents.ask_peers_if_due)

    def _watch_once(self) -> float:
        """Watches once; returns seconds to pause before the next watch.

        Raises:
            StoreError: The call failed.
        """
        state = self._state
        era, since = state.era, state.applied
        changes = self._watch_client.watch(
            state.prefix, since, state.watch_wait_s
        )
        self._check_era(changes)
        if changes.era != era:
            raise fleet.HistoryGoneError(
                f"the store answered from era {changes.era}, after era {era}",
                "read all keys again",
            )
        revision = next_revision(since, changes)
        self._record_answer("watch", revision, bool(changes.items))
        # Meanwhile a read may have found that a server is gone whose removal is
        # not among these changes.
        items = [i for i in changes.items if i.revision > state.applied]
        self._contents.apply(state.prefix, items, "store watch")
        state.record_applied(revision)
        if not changes.items:
            self._contents.record_quiet_watch()
            return 0.0
        self._contents.propagate(
            state.prefix, era, since, revision, changes.items
        )
        return prefix_state.CHANGE_BATCH_DELAY_S

    def _read_once(self) -> None:
        """Reads all keys, and tells peers the changes that were missing.

        Raises:
            StoreError: The call failed.
        """
        state, client = self._state, self._read_client
        if state.reads_all:
            snapshot = client.read_all(state.prefix)
        else:
            snapshot = client.get(platform.CONFIGURATION_KEY)
        # The store may close an idle connection before the next read.
        client.close()
        self._check_era(snapshot)
        is_restored = snapshot.era > state.era and state.has_read
        # A server that a message removed during the read is not among ``gone``.
        since, was_exact = state.applied, state.is_exact
        if snapshot.era > state.era:
            since = 0
        gone = self._contents.apply_all(state.prefix, snapshot)
        # Later pages may have newer items, without removals from earlier ones.
        changes = [
            item
            for item in [*snapshot.items, *gone]
            if since < item.revision <= snapshot.revision
        ]
        self._record_answer("read", snapshot.revision, bool(changes))
        state.record_listed(snapshot.last_revision)
        state.record_read(snapshot.revision, self._clock())
        if changes and (since or is_restored):
            # What is missing from a list is a removal only for those who knew
            # the server, in the same era.
            is_complete = since and was_exact and state.is_exact
            self._contents.propagate(
                state.prefix,
                state.era,
                since,
                max(item.revision for item in changes),
                changes if is_complete else None,
            )

    def _check_era(self, snapshot: platform.Snapshot) -> None:
        """Checks that an answer is not older than the restored store.

        Raises:
            StoreError: It is of an earlier era than the contents known here.
        """
        if snapshot.era < self._state.era:
            raise fleet.StoreError(
                f"the store answered from era {snapshot.era}, after era"
                f" {self._state.era}",
                "the last known state stays in force; check the store",
            )

    def _record_answer(
        self, call: str, revision: int, has_changes: bool
    ) -> None:
        now = self._clock()
        state = self._state
        if not state.is_connected:
            self._events.state_change(
                "store reached",
                now,
                prefix=state.prefix,
                call=call,
                revision=revision,
                away_s=round(now - state.last_heard_at, 2),
            )
        state.record_answer(has_changes, now)
        self._contents.record_contact()

    def _record_failure(
        self, call: str, began_at: float, exc: fleet.StoreError
    ) -> None:
        now = self._clock()
        state = self._state
        # Calls of the other thread may have been answered meanwhile.
        is_lost = state.last_heard_at < began_at
        if state.is_connected:
            self._events.state_change(
                "store lost" if is_lost else "store call failed",
                now,
                prefix=state.prefix,
                call=call,
                heard_s_ago=round(now - state.last_heard_at, 2),
                cause=str(exc),
                **state.describe_told(now),
            )
        if is_lost:
            state.is_connected = False

    def _record_unexpected(self, call: str, exc: Exception) -> None:
        self._events.state_change(
            "store watch failed",
            self._clock(),
            prefix=self._state.prefix,
            call=call,
            cause=repr(exc),
        )


def new_follower(
    state: prefix_state.PrefixState,
    contents: Contents,
    address: str,
    events: log.EventLog,
    clock: model.Clock,
    rng: random.Random,
) -> StoreFollower:
    """Returns a follower that connects at its first calls.

    Args:
        state: State of the prefix.
        contents: Applies what is read.
        address: ``IP:port`` of the store.
        events: Log of failed calls.
        clock: Monotonic time in seconds.
        rng: Source of jitter.
    """
    return StoreFollower(
        state,
        contents,
        platform.new_store_client(address, clock),
        platform.new_store_client(address, clock),
        events,
        clock,
        rng,
    )
