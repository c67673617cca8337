"""Follows the platform's store; asks peers while the store does not answer."""

from collections.abc import Sequence
import random

import eventlet

from savoryspar import fleet, log, membership, platform
from savoryspar.gateway import model, watchers

WATCH_S = 5.0
"""Wait of one watch. A store that is about to drop its history may let a watch
wait without telling it of changes, which are then missed for as long."""
GATHER_S = 0.25
"""Wait after a change before the store is asked for more, a tenth of the 2.5 s
in which a change must be in force. While all servers register, each watch
returned one of them: two thirds of a VM's calls to the store."""
RETRY_S = 0.4
"""Wait after a failed call, doubled up to ``MAX_RETRY_S``, with jitter."""
MAX_RETRY_S = 1.6
"""A configuration must be in force 2.5 s after the store is back."""
MISSING_RETRY_S = 0.3
"""Wait before a key that does not exist yet is read again."""
NEWS_KIND = "fleet_news"
NEWS_S = 0.25
"""Time between two looks of a VM that does not watch for what others told."""
PEER_KIND = "fleet"
PEER_TIMEOUT_S = 1.0
PEERS_ASKED = 2
"""Peers asked at a time: one of the own zone and any other one."""
EXPIRE_S = 0.25


def next_revision(revision: int, changes: platform.Snapshot) -> int:
    """Returns the revision from which the next watch asks.

    An empty answer moves nothing: a store that lost changes for its watches
    answers with a newer revision all the same. Asked from the old one again,
    it tells them, or says that they are no longer kept.
    """
    return max(revision, changes.revision) if changes.items else revision


class FleetWatch:
    """Keeps the configuration and the server_registry up to date.

    Attributes:
        is_connected: Whether the last call to the store succeeded.
        changes: Changes that the store reported, by prefix.
    """

    __slots__ = (
        "_clients",
        "_clock",
        "_covered",
        "_events",
        "_holder",
        "_is_watching",
        "_known",
        "_members",
        "_on_change",
        "_rng",
        "_server_registry",
        "_watchers",
        "changes",
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
        # Revision up to which all changes are known, by prefix, and that of
        # the newest change. Only the latter is told to peers: the former rises
        # with each reading.
        self._covered = dict.fromkeys(self._clients, 0)
        self._known = dict.fromkeys(self._clients, 0)
        self._is_watching = dict.fromkeys(self._clients, True)
        self._watchers = watchers.new_watchers(
            members.incarnation, self._clients, clock()
        )
        self.is_connected = dict.fromkeys(self._clients, False)
        self.last_heard_at = dict.fromkeys(self._clients, 0.0)
        self.changes = dict.fromkeys(self._clients, 0)
        members.handle(PEER_KIND, self._serve_peer)
        members.handle(NEWS_KIND, self._serve_news)
        members.beats.sheet_state = self._render_state
        members.beats.on_sheet_state = self._take_state

    def start(self) -> None:
        """Follows the store in green threads."""
        for prefix, client in self._clients.items():
            eventlet.spawn(self.follow, prefix, client)
        eventlet.spawn(self._expire_always)

    def calls(self) -> int:
        """Returns the calls made to the store so far."""
        return sum(client.calls for client in self._clients.values())

    def follow(self, prefix: str, client: platform.StoreClient) -> None:
        """Takes all changes under a prefix, for ever.

        Args:
            prefix: One of those that the platform writes under.
            client: The store; used by nobody else.
        """
        retry_s = RETRY_S
        while True:
            try:
                pause_s = self._step(prefix, client)
                retry_s = RETRY_S
            except fleet.HistoryGoneError as exc:
                self._events.belief(
                    "store history gone",
                    self._clock(),
                    prefix=prefix,
                    revision=self._covered[prefix],
                    cause=str(exc),
                )
                self._covered[prefix] = 0
                continue
            except fleet.StoreError as exc:
                self._note_lost(prefix, exc)
                self._ask_peers()
                pause_s = retry_s * self._rng.uniform(0.5, 1.0)
                retry_s = min(2.0 * retry_s, MAX_RETRY_S)
            except Exception as exc:
                # Without the next step, this VM would never hear of a change.
                self._events.belief(
                    "store watch failed",
                    self._clock(),
                    prefix=prefix,
                    cause=repr(exc),
                )
                pause_s = MAX_RETRY_S
            if pause_s:
                eventlet.sleep(pause_s)

    def _step(self, prefix: str, client: platform.StoreClient) -> float:
        """Makes the next call to the store, if this VM makes any.

        Returns:
            The pause before the next step, in seconds.

        Raises:
            StoreError: The call failed.
        """
        covered = self._covered[prefix]
        is_behind = covered < self._watchers.newest[prefix]
        is_watching = self._must_watch(prefix)
        if not covered or (is_behind and not is_watching):
            self._covered[prefix] = self._read(prefix, client)
            self._note_connected(prefix, self._covered[prefix])
            return GATHER_S if self._covered[prefix] else MISSING_RETRY_S
        if not is_watching:
            return NEWS_S
        wait_s = self._watchers.watch_s(WATCH_S)
        changes = client.watch(prefix, covered, wait_s)
        revision = next_revision(covered, changes)
        self._take(prefix, changes.items)
        self._covered[prefix] = max(self._covered[prefix], revision)
        self._note_connected(prefix, revision)
        if not changes.items:
            if self._holder.current is None:
                # A store that lost changes for its watches would never tell
                # of the first configuration.
                self._covered[platform.CONFIGURATION_PREFIX] = 0
            return 0.0
        self._tell_news(prefix, covered, revision, changes.items)
        return GATHER_S

    def _must_watch(self, prefix: str) -> bool:
        now = self._clock()
        is_watching = self._watchers.must_watch(
            self._members.all_members(now), now
        )
        if is_watching != self._is_watching[prefix]:
            self._is_watching[prefix] = is_watching
            self._events.belief(
                "store watch begins" if is_watching else "store watch ends",
                now,
                prefix=prefix,
                contact_s_ago=round(now - self._watchers.contact_at, 2),
            )
        return is_watching

    def _tell_news(
        self,
        prefix: str,
        since: int,
        until: int,
        items: Sequence[platform.Item],
        but: str = "",
    ) -> None:
        """Passes changes on; of the configuration only that there is one.

        A configuration may have 1 MB, so each VM reads it from the store.
        """
        is_whole = prefix != platform.CONFIGURATION_PREFIX
        self._members.send_to_neighbours(
            NEWS_KIND,
            [
                prefix,
                since,
                until,
                [[i.key, i.value, i.revision] for i in items]
                if is_whole
                else None,
            ],
            self._clock(),
            but,
        )

    def _serve_news(self, sender: str, body: list) -> None:
        """Takes changes that a peer passes on, and passes news on."""
        prefix, since, until, rows = body
        covered = self._covered[prefix]
        if until <= covered:
            return
        is_first = until > self._watchers.newest[prefix]
        items = [platform.Item(*row) for row in rows or ()]
        if rows is not None and since <= covered:
            self._take(prefix, items)
            self._covered[prefix] = until
        elif not is_first:
            return
        # The follower of the prefix reads what is still missing here.
        self._watchers.note_news(prefix, until)
        self._tell_news(prefix, since, until, items, sender)

    def _render_state(self) -> tuple[int, bytes]:
        return self._watchers.render(self._known, self._clock())

    def _take_state(self, sender: str, first: int, rest: bytes) -> None:
        del sender
        self._watchers.take(first, rest, self._clock())

    def _read(self, prefix: str, client: platform.StoreClient) -> int:
        if prefix == platform.CONFIGURATION_PREFIX:
            snapshot = client.get(platform.CONFIGURATION_KEY)
            self._take(prefix, snapshot.items)
            return snapshot.revision
        snapshot = client.read_all(platform.SERVER_PREFIX)
        now = self._clock()
        entries = [self._decode(item, now) for item in snapshot.items]
        self._server_registry.replace(
            [entry for entry in entries if entry is not None],
            snapshot.revision,
            "store",
            now,
        )
        self._note_known(prefix, snapshot.items)
        self._on_change(now)
        return snapshot.revision

    def _note_known(self, prefix: str, items: Sequence[platform.Item]) -> None:
        newest = max((item.revision for item in items), default=0)
        self._known[prefix] = max(self._known[prefix], newest)

    def _take(self, prefix: str, items: list[platform.Item]) -> None:
        now = self._clock()
        self.changes[prefix] += len(items)
        self._note_known(prefix, items)
        for item in items:
            if (
                item.key == platform.CONFIGURATION_KEY
                and item.value is not None
            ):
                self._offer(item.value, "store", now)
            elif item.key.startswith(platform.SERVER_PREFIX):
                self._take_server(item, now)
        if items:
            self._on_change(now)

    def _take_server(self, item: platform.Item, now: float) -> None:
        name = item.key[len(platform.SERVER_PREFIX) :]
        if item.value is None:
            self._server_registry.remove(name, item.revision, "store", now)
            return
        entry = self._decode(item, now)
        if entry is not None:
            self._server_registry.put(entry, "store", now)

    def _decode(
        self, item: platform.Item, now: float
    ) -> fleet.BackendEntry | None:
        try:
            return platform.decode_backend_entry(
                item.key[len(platform.SERVER_PREFIX) :],
                item.value or b"",
                item.revision,
            )
        except fleet.DocumentError as exc:
            self._events.belief(
                "entry ignored", now, key=item.key, cause=str(exc)
            )
            return None

    def _offer(self, document: bytes, source: str, now: float) -> None:
        try:
            candidate = platform.decode_configuration(document)
        except fleet.DocumentError as exc:
            self._events.belief(
                "configuration ignored", now, source=source, cause=str(exc)
            )
            return
        self._holder.offer(candidate, document, source, now)

    def _note_connected(self, prefix: str, revision: int) -> None:
        now = self._clock()
        if not self.is_connected[prefix]:
            self._events.belief(
                "store reached",
                now,
                prefix=prefix,
                revision=revision,
                away_s=round(now - self.last_heard_at[prefix], 2),
            )
        self.is_connected[prefix] = True
        self.last_heard_at[prefix] = now
        self._watchers.record_contact(min(self.last_heard_at.values()))

    def _note_lost(self, prefix: str, exc: fleet.StoreError) -> None:
        now = self._clock()
        if self.is_connected[prefix]:
            self._events.belief(
                "store lost",
                now,
                prefix=prefix,
                heard_s_ago=round(now - self.last_heard_at[prefix], 2),
                cause=str(exc),
            )
        self.is_connected[prefix] = False

    def _ask_peers(self) -> None:
        """Takes what peers know of the store's contents."""
        view = self._members.view(self._clock())
        members = sorted(
            view.members,
            key=lambda m: (m.zone != view.own.zone, self._rng.random()),
        )
        for member in members[:PEERS_ASKED]:
            try:
                reply = self._members.request(
                    member.incarnation,
                    PEER_KIND,
                    {"version": self._holder.version},
                    PEER_TIMEOUT_S,
                )
                self._take_peer(reply, member.name)
            except (
                membership.PeerUnreachableError,
                KeyError,
                TypeError,
                ValueError,
            ) as exc:
                self._events.belief(
                    "peer gave no fleet",
                    self._clock(),
                    peer=member.name,
                    cause=repr(exc),
                )

    def _take_peer(self, reply: dict, peer: str) -> None:
        now = self._clock()
        if reply["document"]:
            self._offer(reply["document"], f"peer {peer}", now)
        for body in reply["servers"]:
            entry = fleet.BackendEntry(*body)
            self._server_registry.put(entry, f"peer {peer}", now)
        for name, revision in reply["removed"]:
            self._server_registry.remove(name, revision, f"peer {peer}", now)
        self._on_change(now)

    def _serve_peer(self, sender: str, body: dict) -> dict:
        del sender
        is_newer = self._holder.version > body["version"]
        return {
            "document": self._holder.document if is_newer else b"",
            "servers": [
                [
                    entry.name,
                    entry.service,
                    entry.address,
                    entry.zone,
                    entry.slots,
                    entry.is_draining,
                    entry.started_ms,
                    entry.revision,
                ]
                for entry in self._server_registry.entries()
            ],
            "removed": self._server_registry.removals(),
        }

    def _expire_always(self) -> None:
        while True:
            eventlet.sleep(EXPIRE_S)
            now = self._clock()
            before = self._server_registry.generation
            self._server_registry.expire(now)
            if self._server_registry.generation != before:
                self._on_change(now)
