"""Watches the platform's store; queries peers when it is unreachable."""

from collections.abc import Iterator, Mapping, Sequence
import contextlib
import random
from typing import Any

import eventlet

from savoryspar import decoding, fleet, log, membership, platform, tasks
from savoryspar.gateway import ignored, model, watchers

WATCH_TIMEOUT_S = 5.0
"""Timeout of one watch. A store that is about to drop its history may not
report changes to an open watch, so they are missed for up to this time."""
CHANGE_BATCH_DELAY_S = 0.25
"""Delay between a change and the next watch, to batch changes; a tenth of the
2.5 s in which a change must be in force. Without it, each watch returned one
server while all servers registered, which made two thirds of a VM's calls to
the store."""
RETRY_S = 0.4
"""Delay after a failed call, doubled up to ``MAX_RETRY_S``, with jitter."""
MAX_RETRY_S = 1.6
"""Short enough for a configuration to be in force 2.5 s after the store is
reachable again."""
MISSING_RETRY_S = 0.3
"""Delay before a key that does not exist yet is read again."""
CHANGES_KIND = "fleet_news"
REVISION_POLL_S = 0.25
"""Interval at which a VM that does not watch checks for revisions reported by
peers."""
PEER_KIND = "fleet"
PEER_TIMEOUT_S = 1.0
PEERS_QUERIED = 2
"""Peers queried after a failed call; peers of the same zone go first."""
EXPIRY_INTERVAL_S = 0.25


def next_revision(revision: int, changes: platform.Snapshot) -> int:
    """Returns the revision after which the next watch starts.

    An empty answer does not advance it: a store that failed to report changes
    to its watches still answers with a newer revision. A watch from the old
    revision returns these changes, or an error that they are no longer kept.
    """
    return max(revision, changes.revision) if changes.items else revision


class FleetWatch:
    """Keeps the configuration and the server registry up to date.

    Attributes:
        is_connected: Whether the last call to the store succeeded, by prefix.
        last_heard_at: Monotonic time of the last successful call, by prefix.
        changes: Number of changes that the store reported, by prefix.
        ignored: Malformed entries, from the store and from peers.
    """

    __slots__ = (
        "_applied",
        "_clients",
        "_clock",
        "_election",
        "_events",
        "_holder",
        "_is_watching",
        "_members",
        "_newest_change",
        "_on_change",
        "_rng",
        "_server_registry",
        "changes",
        "ignored",
        "is_connected",
        "last_heard_at",
    )

    def __init__(
        self,
        address: str,
        holder: fleet.ConfigurationHolder,
        server_registry: fleet.ServerRegistry,
        members: membership.Membership,
        events: log.EventLog,
        on_change,
        clock: model.Clock,
    ):
        self._clients = {
            prefix: platform.new_store_client(address, clock)
            for prefix in (
                platform.CONFIGURATION_PREFIX,
                platform.SERVER_PREFIX,
            )
        }
        self._holder = holder
        self._server_registry = server_registry
        self._members = members
        self._events = events
        self._on_change = on_change
        self._clock = clock
        self._rng = random.Random(address)
        # Revision up to which all changes are applied, by prefix, and that of
        # the newest change. Only the latter is reported to peers, as the
        # former rises with each read even if nothing has changed.
        self._applied = dict.fromkeys(self._clients, 0)
        self._newest_change = dict.fromkeys(self._clients, 0)
        self._is_watching = dict.fromkeys(self._clients, True)
        self._election = watchers.new_watcher_election(
            members.incarnation, self._clients, clock()
        )
        self.is_connected = dict.fromkeys(self._clients, False)
        self.last_heard_at = dict.fromkeys(self._clients, 0.0)
        self.changes = dict.fromkeys(self._clients, 0)
        self.ignored = ignored.new_ignored_entries(events)
        members.handle(PEER_KIND, self._serve_peer)
        members.handle(CHANGES_KIND, self._serve_changes)
        members.heartbeats.sheet_state = self._encode_state
        members.heartbeats.on_sheet_state = self._merge_state

    def start(self) -> None:
        """Starts the green threads that watch the store and expire servers."""
        for prefix, client in self._clients.items():
            tasks.spawn_task(f"store {prefix}", self.follow, prefix, client)
        tasks.spawn_task("server expiry", self._expire_servers)

    def calls(self) -> int:
        """Returns the number of calls made to the store."""
        return sum(client.calls for client in self._clients.values())

    def follow(self, prefix: str, client: platform.StoreClient) -> None:
        """Applies all changes under a prefix; never returns.

        Args:
            prefix: Key prefix in the platform's store.
            client: Client of the store, not shared with another thread.
        """
        retry_s = RETRY_S
        while True:
            try:
                pause_s = self._sync_once(prefix, client)
                retry_s = RETRY_S
            except fleet.HistoryGoneError as exc:
                self._events.state_change(
                    "store history gone",
                    self._clock(),
                    prefix=prefix,
                    revision=self._applied[prefix],
                    cause=str(exc),
                )
                self._applied[prefix] = 0
                continue
            except fleet.StoreError as exc:
                self._record_failure(prefix, exc)
                self._query_peers()
                pause_s = retry_s * self._rng.uniform(0.5, 1.0)
                retry_s = min(2.0 * retry_s, MAX_RETRY_S)
            except Exception as exc:
                # Without a retry, this VM would miss all further changes.
                self._events.state_change(
                    "store watch failed",
                    self._clock(),
                    prefix=prefix,
                    cause=repr(exc),
                )
                pause_s = MAX_RETRY_S
            if pause_s:
                eventlet.sleep(pause_s)

    def _sync_once(self, prefix: str, client: platform.StoreClient) -> float:
        """Reads or watches the store once, if this VM has to.

        Returns:
            Seconds to pause before the next call.

        Raises:
            StoreError: The call failed.
        """
        applied = self._applied[prefix]
        is_behind = applied < self._election.newest_revisions[prefix]
        is_watching = self._must_watch(prefix)
        if not applied or (is_behind and not is_watching):
            self._applied[prefix] = self._read_snapshot(prefix, client)
            self._record_success(prefix, self._applied[prefix])
            return (
                CHANGE_BATCH_DELAY_S
                if self._applied[prefix]
                else MISSING_RETRY_S
            )
        if not is_watching:
            return REVISION_POLL_S
        timeout_s = self._election.watch_timeout_s(WATCH_TIMEOUT_S)
        changes = client.watch(prefix, applied, timeout_s)
        revision = next_revision(applied, changes)
        self._apply(prefix, changes.items)
        self._applied[prefix] = max(self._applied[prefix], revision)
        self._record_success(prefix, revision)
        if not changes.items:
            if self._holder.current is None:
                # A store that failed to report changes to its watches would
                # never report the first configuration.
                self._applied[platform.CONFIGURATION_PREFIX] = 0
            return 0.0
        self._propagate(prefix, applied, revision, changes.items)
        return CHANGE_BATCH_DELAY_S

    def _must_watch(self, prefix: str) -> bool:
        now = self._clock()
        is_watching = self._election.must_watch(
            self._members.all_members(now), now
        )
        if is_watching != self._is_watching[prefix]:
            self._is_watching[prefix] = is_watching
            self._events.state_change(
                "store watch begins" if is_watching else "store watch ends",
                now,
                prefix=prefix,
                contact_s_ago=round(now - self._election.contact_at, 2),
            )
        return is_watching

    def _propagate(
        self,
        prefix: str,
        since: int,
        until: int,
        items: Sequence[platform.Item],
        exclude: str = "",
    ) -> None:
        """Propagates changes to the neighbours in the mesh.

        Of the configuration only the revision is sent: a configuration may have
        1 MB, so each VM reads it from the store.
        """
        has_items = prefix != platform.CONFIGURATION_PREFIX
        self._members.send_to_neighbours(
            CHANGES_KIND,
            [
                prefix,
                since,
                until,
                [[i.key, i.value, i.revision] for i in items]
                if has_items
                else None,
            ],
            self._clock(),
            exclude,
        )

    def _serve_changes(self, sender: str, body: list) -> None:
        """Applies changes that a peer propagated, and relays new ones."""
        prefix, since, until, rows = body
        applied = self._applied[prefix]
        if decoding.integer(until, 0) <= applied:
            return
        is_new = until > self._election.newest_revisions[prefix]
        try:
            items = [platform.decode_peer_item(row) for row in rows or ()]
        except fleet.DocumentError as exc:
            # The thread of the prefix reads the changes from the store.
            self._ignore(f"{rows!r:.200}", until, 0, f"peer {sender}", exc)
            self._election.record_revision(prefix, until)
            return
        if rows is not None and since <= applied:
            self._apply(prefix, items)
            self._applied[prefix] = until
        elif not is_new:
            return
        # The thread of the prefix reads the changes that are still missing.
        self._election.record_revision(prefix, until)
        self._propagate(prefix, since, until, items, sender)

    def _encode_state(self) -> tuple[int, bytes]:
        return self._election.encode_state(self._newest_change, self._clock())

    def _merge_state(self, sender: str, first: int, rest: bytes) -> None:
        del sender
        self._election.merge_state(first, rest, self._clock())

    def _read_snapshot(self, prefix: str, client: platform.StoreClient) -> int:
        if prefix == platform.CONFIGURATION_PREFIX:
            snapshot = client.get(platform.CONFIGURATION_KEY)
            self._ignore_faults(snapshot)
            self._apply(prefix, snapshot.items)
            return snapshot.revision
        snapshot = client.read_all(platform.SERVER_PREFIX)
        self._ignore_faults(snapshot)
        now = self._clock()
        entries = [self._decode(item) for item in snapshot.items]
        self._server_registry.replace(
            [entry for entry in entries if entry is not None],
            snapshot.revision,
            "store",
            now,
        )
        self._update_newest_change(prefix, snapshot.items)
        self._on_change(now)
        return snapshot.revision

    def _update_newest_change(
        self, prefix: str, items: Sequence[platform.Item]
    ) -> None:
        newest = max((item.revision for item in items), default=0)
        self._newest_change[prefix] = max(self._newest_change[prefix], newest)

    def _apply(self, prefix: str, items: list[platform.Item]) -> None:
        now = self._clock()
        self.changes[prefix] += len(items)
        self._update_newest_change(prefix, items)
        for item in items:
            if (
                item.key == platform.CONFIGURATION_KEY
                and item.value is not None
            ):
                self._apply_configuration(item.value, "store", now)
            elif item.key.startswith(platform.SERVER_PREFIX):
                self._apply_server(item, now)
        if items:
            self._on_change(now)

    def _apply_server(self, item: platform.Item, now: float) -> None:
        """Applies a change of a server; a malformed entry removes it."""
        entry = None if item.value is None else self._decode(item)
        if entry is None:
            name = item.key[len(platform.SERVER_PREFIX) :]
            self._server_registry.remove(name, item.revision, "store", now)
        else:
            self._server_registry.put(entry, "store", now)

    def _decode(self, item: platform.Item) -> fleet.BackendEntry | None:
        try:
            return platform.decode_server_item(item)
        except fleet.DocumentError as exc:
            size = len(item.value or b"")
            self._ignore(item.key, item.revision, size, "store", exc)
            return None

    def _ignore_faults(self, snapshot: platform.Snapshot) -> None:
        for fault in snapshot.faults:
            self._ignore(fault.shown, 0, 0, "store", fault.cause)

    def _ignore(
        self,
        key: str,
        revision: int,
        size: int,
        source: str,
        cause: Exception | str,
    ) -> None:
        self.ignored.record(key, revision, size, source, cause, self._clock())

    def _apply_configuration(
        self, document: bytes, source: str, now: float
    ) -> None:
        try:
            candidate = platform.decode_configuration(document)
        except fleet.DocumentError as exc:
            self.ignored.record_configuration(document, source, exc, now)
            return
        self._holder.activate_if_newer(candidate, document, source, now)

    def _record_success(self, prefix: str, revision: int) -> None:
        now = self._clock()
        if not self.is_connected[prefix]:
            self._events.state_change(
                "store reached",
                now,
                prefix=prefix,
                revision=revision,
                away_s=round(now - self.last_heard_at[prefix], 2),
            )
        self.is_connected[prefix] = True
        self.last_heard_at[prefix] = now
        self._election.record_contact(min(self.last_heard_at.values()))

    def _record_failure(self, prefix: str, exc: fleet.StoreError) -> None:
        now = self._clock()
        if self.is_connected[prefix]:
            self._events.state_change(
                "store lost",
                now,
                prefix=prefix,
                heard_s_ago=round(now - self.last_heard_at[prefix], 2),
                cause=str(exc),
            )
        self.is_connected[prefix] = False

    def _query_peers(self) -> None:
        """Fetches the configuration and the servers from peers."""
        view = self._members.view(self._clock())
        members = sorted(
            view.members,
            key=lambda m: (m.zone != view.own.zone, self._rng.random()),
        )
        for member in members[:PEERS_QUERIED]:
            try:
                reply = self._members.request(
                    member.incarnation,
                    PEER_KIND,
                    {"version": self._holder.version},
                    PEER_TIMEOUT_S,
                )
                self._apply_peer_state(reply, member.name)
            except (
                membership.PeerUnreachableError,
                KeyError,
                TypeError,
                ValueError,
            ) as exc:
                self._events.state_change(
                    "peer gave no fleet",
                    self._clock(),
                    peer=member.name,
                    cause=repr(exc),
                )

    def _apply_peer_state(self, reply: Mapping[str, Any], peer: str) -> None:
        """Applies what a peer knows, without its malformed entries.

        Raises:
            DecodingError: The reply itself is malformed.
        """
        now = self._clock()
        source = f"peer {peer}"
        with decoding.reading("the reply"):
            if reply["document"]:
                self._apply_configuration(reply["document"], source, now)
            # Processes of earlier versions send none.
            versions = {**reply.get("versions", {})}
            for row in reply["servers"]:
                with self._ignoring(row, source):
                    entry = platform.decode_peer_entry(row, versions)
                    self._server_registry.put(entry, source, now)
            for row in reply["removed"]:
                with self._ignoring(row, source):
                    name, revision = platform.decode_peer_removal(row)
                    self._server_registry.remove(name, revision, source, now)
        self._on_change(now)

    @contextlib.contextmanager
    def _ignoring(self, row: Any, source: str) -> Iterator[None]:
        """Skips an entry of a peer that is malformed, with a log line."""
        try:
            yield
        except fleet.DocumentError as exc:
            self._ignore(f"{row!r:.200}", 0, 0, source, exc)

    def _serve_peer(self, sender: str, body: dict) -> dict:
        del sender
        is_newer = self._holder.version > body["version"]
        return {
            "document": self._holder.document if is_newer else b"",
            "servers": [
                platform.encode_peer_entry(entry)
                for entry in self._server_registry.entries()
            ],
            "versions": {
                entry.name: entry.version
                for entry in self._server_registry.entries()
            },
            "removed": self._server_registry.removals(),
        }

    def _expire_servers(self) -> None:
        while True:
            eventlet.sleep(EXPIRY_INTERVAL_S)
            now = self._clock()
            before = self._server_registry.generation
            self._server_registry.expire(now)
            if self._server_registry.generation != before:
                self._on_change(now)
