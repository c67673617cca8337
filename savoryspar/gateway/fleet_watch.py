"""Keeps the configuration and the servers of a VM up to date.

They come from the platform's store, by the VM's own watches and reads, from
changes that peers propagate, and from peers when the store does not answer.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
import contextlib
import math
import random
from typing import Any

import eventlet

from savoryspar import decoding, fleet, log, membership, platform, tasks
from savoryspar.gateway import (
    evacuation_feed,
    ignored,
    model,
    peer_reads,
    prefix_state,
    store_follower,
    watchers,
)

CHANGES_KIND = "fleet_news"
"""Changes in a store that does not tell its era."""
ERA_CHANGES_KIND = "fleet_changes"
"""Changes in a store that tells its era. Processes of earlier versions, which
would compare the revisions of two eras, ignore this kind."""
POLL_S = 0.25
"""Interval at which servers expire and missing changes are reported."""
BEHIND_REPORT_S = 1.0
"""Time after which the log tells that a change known to a peer is missing."""
MAX_PROPAGATED = 256
"""Changes in one message to peers. Of more, as after an outage of the store,
only the revision is sent, and each VM reads them."""
LOST_READ_INTERVAL_S = 1.0
"""Shortest time between reads on behalf of peers that the store ignores."""


class Bounds:
    """Times in which changes must be in force, in seconds.

    Attributes:
        configuration_s: For a version of the configuration.
        servers_s: For the entry of a server that drains or is gone.
        evacuation_s: For the evacuation of a zone; 0 if none are used.
    """

    __slots__ = ("configuration_s", "evacuation_s", "servers_s")

    def __init__(
        self,
        configuration_s: float,
        servers_s: float,
        evacuation_s: float = 0.0,
    ):
        self.configuration_s = configuration_s
        self.servers_s = servers_s
        self.evacuation_s = evacuation_s

    def by_prefix(self) -> dict[str, float]:
        """Returns the bounds by key prefix of the store."""
        return {
            platform.CONFIGURATION_PREFIX: min(
                self.configuration_s, self.evacuation_s or math.inf
            ),
            platform.SERVER_PREFIX: self.servers_s,
        }

    def watch_wait_s(self) -> float:
        """Returns the longest wait of a watch."""
        return max(map(prefix_state.watch_wait_s, self.by_prefix().values()))


class FleetWatch:
    """Keeps the configuration and the server registry up to date.

    Attributes:
        ignored: Malformed entries, from the store and from peers.
        states: What is known of the changes under each key prefix.
    """

    __slots__ = (
        "_clock",
        "_election",
        "_evacuations",
        "_events",
        "_followers",
        "_holder",
        "_members",
        "_on_change",
        "_peer_reads",
        "_server_registry",
        "ignored",
        "states",
    )

    def __init__(
        self,
        address: str,
        holder: fleet.ConfigurationHolder,
        server_registry: fleet.ServerRegistry,
        members: membership.Membership,
        events: log.EventLog,
        on_change: Callable[[float], None],
        clock: model.Clock,
        bounds: Bounds,
    ):
        self.states = {
            prefix: prefix_state.new_prefix_state(prefix, bound_s)
            for prefix, bound_s in bounds.by_prefix().items()
        }
        self._holder = holder
        self._server_registry = server_registry
        self._members = members
        self._events = events
        self._on_change = on_change
        self._clock = clock
        rng = random.Random(members.incarnation)
        self._followers = [
            store_follower.new_follower(
                state, self, address, events, clock, rng
            )
            for state in self.states.values()
        ]
        self._election = watchers.new_watcher_election(
            members.incarnation, self.states, clock(), bounds.watch_wait_s()
        )
        self.ignored = ignored.new_ignored_entries(events)
        self._evacuations = evacuation_feed.EvacuationFeed(
            server_registry.evacuations,
            self.ignored,
            clock,
            bounds.evacuation_s > 0.0,
        )
        self._operator_state.reads_all = self._evacuations.is_enabled
        self._peer_reads = peer_reads.PeerReads(
            self.states.values(),
            members,
            lambda: holder.version,
            self._apply_peer_state,
            events,
            clock,
        )
        members.handle(peer_reads.PEER_KIND, self._serve_peer)
        members.handle(CHANGES_KIND, self._serve_changes)
        members.handle(ERA_CHANGES_KIND, self._serve_era_changes)
        members.heartbeats.sheet_state = self._encode_state
        members.heartbeats.on_sheet_state = self._merge_state

    def start(self) -> None:
        """Starts the green threads that follow the store."""
        for prefix, follower in zip(self.states, self._followers, strict=True):
            tasks.spawn_task(f"watch of {prefix}", follower.watch)
            tasks.spawn_task(f"reads of {prefix}", follower.read)
        tasks.spawn_task("store", self._poll)

    @property
    def _operator_state(self) -> prefix_state.PrefixState:
        return self.states[platform.CONFIGURATION_PREFIX]

    @property
    def is_synced(self) -> bool:
        """Whether the store, or several peers, gave this VM its contents."""
        has_started = (
            self._peer_reads.has_started and self._evacuations.is_synced
        )
        return has_started or all(
            state.has_read for state in self.states.values()
        )

    def set_bounds(self, bounds: Bounds) -> None:
        """Sets the times in which changes must be in force."""
        for prefix, bound_s in bounds.by_prefix().items():
            self.states[prefix].bound_s = bound_s
        self._election.watch_wait_s = bounds.watch_wait_s()
        is_enabled = bounds.evacuation_s > 0.0
        if is_enabled == self._evacuations.is_enabled:
            return
        self._operator_state.reads_all = is_enabled
        if is_enabled:
            self._evacuations.is_enabled = True
            self._operator_state.require_read()
        else:
            now = self._clock()
            self._evacuations.disable(now)
            self._on_change(now)

    def calls(self) -> int:
        """Returns the number of calls made to the store."""
        return sum(follower.calls() for follower in self._followers)

    def peer_reads(self) -> int:
        """Returns the number of times that peers were asked."""
        return self._peer_reads.rounds

    def changes(self) -> int:
        """Returns the number of changes that the store reported."""
        return sum(state.changes for state in self.states.values())

    def era(self) -> int:
        """Returns how often the store came back from a copy, as it tells."""
        return max(state.era for state in self.states.values())

    def behind_s(self) -> float:
        """Returns for how long a change that a peer told has been missing."""
        now = self._clock()
        return max(state.behind_s(now) for state in self.states.values())

    def must_watch(self, state: prefix_state.PrefixState) -> bool:
        """Returns whether this VM has to watch the store."""
        now = self._clock()
        is_watching = self._election.must_watch(
            self._members.all_members(now), now
        )
        if is_watching != state.is_watching:
            state.set_watching(is_watching, now)
            self._events.state_change(
                "store watch begins" if is_watching else "store watch ends",
                now,
                prefix=state.prefix,
                contact_s_ago=round(now - self._election.contact_at, 2),
            )
        return is_watching

    def record_contact(self) -> None:
        """Records that the store has answered."""
        self._election.record_contact(
            min(state.last_heard_at for state in self.states.values())
        )

    def record_quiet_watch(self) -> None:
        """Reads the configuration again if there is none yet.

        A store that fails to report changes to its watches would never report
        the first one.
        """
        if self._holder.current is None:
            self.states[platform.CONFIGURATION_PREFIX].require_read()

    def propagate(
        self,
        prefix: str,
        era: int,
        since: int,
        until: int,
        items: Sequence[platform.Item] | None,
        exclude: str = "",
    ) -> None:
        """Propagates changes to the neighbours in the mesh.

        Of the configuration only the revision is sent: a configuration may have
        1 MB, so each VM reads it from the store. Evacuations are sent if the
        configuration is not among the changes.

        Args:
            prefix: Key prefix.
            era: Era of the store that the revisions belong to.
            since: Revision after which the changes were made.
            until: Revision up to which they are complete.
            items: The changes; None if only the revision is known.
            exclude: Incarnation of the peer that sent them.
        """
        has_items = (
            items is not None
            and len(items) <= MAX_PROPAGATED
            and self._may_send_values(prefix, items)
        )
        rows = (
            [[i.key, i.value, i.revision] for i in items] if has_items else None
        )
        body = [prefix, since, until, rows]
        self._members.send_to_neighbours(
            ERA_CHANGES_KIND if era else CHANGES_KIND,
            [era, *body] if era else body,
            self._clock(),
            exclude,
        )

    def _may_send_values(
        self, prefix: str, items: Sequence[platform.Item]
    ) -> bool:
        """Returns whether changes are sent to peers with their values."""
        if prefix != platform.CONFIGURATION_PREFIX:
            return True
        # Processes of earlier versions take an empty list for an announcement.
        return (
            self._evacuations.is_enabled
            and bool(items)
            and all(evacuation_feed.is_evacuation(item.key) for item in items)
        )

    def _serve_changes(self, sender: str, body: list) -> None:
        """Applies changes of a store that does not tell its era."""
        self._apply_changes(sender, 0, body)

    def _serve_era_changes(self, sender: str, body: list) -> None:
        """Applies changes of a store that tells its era."""
        era, *changes = body
        number = decoding.integer(era, 1, platform.MAX_ERA)
        self._apply_changes(sender, number, changes)

    def _apply_changes(self, sender: str, era: int, body: list) -> None:
        """Applies changes that a peer propagated, and relays new ones."""
        prefix, since, until, rows = body
        state = self.states[prefix]
        told = (era, decoding.integer(until, 0))
        if told <= (state.era, state.applied):
            return
        is_new = state.is_new(until, self._clock(), era)
        source = f"peer {sender}"
        items = None
        try:
            # Processes of earlier versions relay an announcement without
            # changes as an empty list.
            if rows:
                items = [platform.decode_peer_item(row) for row in rows]
        except fleet.DocumentError as exc:
            # The reading thread reads the changes from the store.
            self._ignore(f"{rows!r:.200}", until, 0, source, exc)
            state.record_told(until, sender, self._clock(), era)
            return
        if (
            items is not None
            and era == state.era
            and since <= state.applied
            and self._has_known_changes(prefix, items, since, until)
        ):
            self.apply(prefix, items, source)
            state.record_applied(until)
        elif not is_new:
            return
        # The reading thread reads the changes that are still missing.
        state.record_told(until, sender, self._clock(), era)
        self.propagate(prefix, era, since, until, items, sender)
        self.ask_peers_if_due()

    def _has_known_changes(
        self,
        prefix: str,
        items: Iterable[platform.Item],
        since: int,
        until: int,
    ) -> bool:
        """Returns whether a peer's message has the changes that this VM knows.

        The peer may have read the list of the store instead of the changes:
        a server that was added after ``since`` and is gone by ``until`` is
        then missing from the message. If this VM knows it, the store tells
        whether it is gone.
        """
        if prefix == platform.CONFIGURATION_PREFIX:
            return self._evacuations.has_known(items, since, until)
        names = {i.key.removeprefix(platform.SERVER_PREFIX) for i in items}
        return all(
            entry.name in names or not since < entry.revision <= until
            for entry in self._server_registry.entries()
        )

    def _encode_state(self) -> tuple[int, bytes]:
        known = {
            prefix: (state.era, state.newest_change)
            for prefix, state in self.states.items()
        }
        return self._election.encode_state(known, self._clock())

    def _merge_state(self, sender: str, first: int, rest: bytes) -> None:
        now = self._clock()
        eras = {prefix: state.era for prefix, state in self.states.items()}
        told = self._election.merge_state(first, rest, eras, now)
        for prefix, (era, revision) in told.items():
            self.states[prefix].record_told(revision, sender, now, era)

    def apply_all(
        self, prefix: str, snapshot: platform.Snapshot
    ) -> list[platform.Item]:
        """Applies all keys under a prefix, as the store returned them.

        The answer must not be of an earlier era than the contents known here.

        Returns:
            The removals of servers and evacuations that are not listed any
            more.
        """
        self._ignore_faults(snapshot)
        now = self._clock()
        source = "store read"
        is_restored = self._begin_era(
            prefix, snapshot.era, snapshot.revision, source, now
        )
        if prefix == platform.CONFIGURATION_PREFIX:
            return self._apply_operator_keys(snapshot, source, now)
        decoded = (self._decode(item, source) for item in snapshot.items)
        entries = [entry for entry in decoded if entry is not None]
        removed = self._replace_servers(
            entries, snapshot.revision, is_restored, source, now
        )
        gone = [
            platform.Item(prefix + name, None, snapshot.revision)
            for name in removed
        ]
        self._update_newest_change(prefix, [*snapshot.items, *gone])
        self._on_change(now)
        return gone

    def _apply_operator_keys(
        self, snapshot: platform.Snapshot, source: str, now: float
    ) -> list[platform.Item]:
        """Applies the configuration, and the evacuations if they are read.

        Returns:
            The removals of evacuations that are not listed any more.
        """
        prefix = platform.CONFIGURATION_PREFIX
        gone = self._evacuations.replace(
            snapshot, self.states[prefix].applied, source, now
        )
        others = [
            item
            for item in snapshot.items
            if not evacuation_feed.is_evacuation(item.key)
        ]
        self.apply(prefix, others, source)
        self._update_newest_change(prefix, [*snapshot.items, *gone])
        if self._evacuations.is_enabled:
            self._on_change(now)
        return gone

    def _begin_era(
        self, prefix: str, era: int, revision: int, source: str, now: float
    ) -> bool:
        """Prepares for all contents of a prefix, as of a revision of an era.

        Returns:
            Whether they are the first ones of a later era.
        """
        state = self.states[prefix]
        known_era, known_revision = state.era, state.applied
        if not state.begin_era(era):
            return False
        if prefix == platform.CONFIGURATION_PREFIX:
            self._evacuations.begin_era()
        if known_revision:
            self._events.state_change(
                "store restored",
                now,
                prefix=prefix,
                era=era,
                revision=revision,
                known_era=known_era,
                known_revision=known_revision,
                source=source,
            )
        return True

    def _replace_servers(
        self,
        entries: Sequence[fleet.BackendEntry],
        revision: int,
        is_restored: bool,
        source: str,
        now: float,
    ) -> list[str]:
        """Replaces the servers by a full list.

        Returns:
            Names of the servers that were removed from the list.
        """
        if is_restored:
            self._server_registry.restore(entries, revision, source, now)
            return []
        return self._server_registry.replace(
            self._without_outdated(entries, revision), revision, source, now
        )

    def ask_peers_if_due(self) -> None:
        """Asks peers for the store's contents if the store does not answer."""
        self._peer_reads.begin_if_due(self._clock())

    def _update_newest_change(
        self, prefix: str, items: Sequence[platform.Item]
    ) -> None:
        newest = max((item.revision for item in items), default=0)
        state = self.states[prefix]
        state.newest_change = max(state.newest_change, newest)

    def apply(
        self, prefix: str, items: Sequence[platform.Item], source: str
    ) -> None:
        """Applies changes under a prefix."""
        now = self._clock()
        self.states[prefix].changes += len(items)
        self._update_newest_change(prefix, items)
        for item in items:
            if (
                item.key == platform.CONFIGURATION_KEY
                and item.value is not None
            ):
                self._apply_configuration(item.value, source, now)
            elif item.key.startswith(platform.SERVER_PREFIX):
                self._apply_server(item, source, now)
            elif evacuation_feed.is_evacuation(item.key):
                self._evacuations.apply(item, source, now)
        if items:
            self._on_change(now)

    def _apply_server(
        self, item: platform.Item, source: str, now: float
    ) -> None:
        """Applies a change of a server; a malformed entry removes it."""
        entry = None if item.value is None else self._decode(item, source)
        if entry is None:
            name = item.key[len(platform.SERVER_PREFIX) :]
            self._server_registry.remove(name, item.revision, source, now)
        else:
            self._server_registry.put(entry, source, now)

    def _decode(
        self, item: platform.Item, source: str
    ) -> fleet.BackendEntry | None:
        try:
            return platform.decode_server_item(item)
        except fleet.DocumentError as exc:
            size = len(item.value or b"")
            self._ignore(item.key, item.revision, size, source, exc)
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
        self._holder.activate_if_newer(
            candidate,
            document,
            source,
            now,
            self.states[platform.CONFIGURATION_PREFIX].describe_told(now),
        )

    def _apply_peer_state(self, reply: Mapping[str, Any], peer: str) -> None:
        """Applies what a peer knows, without its malformed entries.

        Raises:
            DecodingError: The reply itself is malformed.
        """
        now = self._clock()
        source = f"peer {peer}"
        with decoding.reading("the reply"):
            # Processes of earlier versions send no compressed document.
            document = reply["document"]
            if reply.get("compressed"):
                document = peer_reads.decompress(reply["compressed"])
            if document:
                self._apply_configuration(document, source, now)
            # A store may not tell its era, and processes of earlier versions
            # do not.
            eras = _numbers(reply.get("eras", {}), platform.MAX_ERA)
            revisions = _numbers(reply.get("revisions", {}))
            is_whole = self._apply_peer_servers(
                reply,
                eras.get(platform.SERVER_PREFIX, 0),
                revisions.get(platform.SERVER_PREFIX, 0),
                source,
                now,
            )
            listed_until = decoding.integer(reply.get("listed_until", 0), 0)
            has_zones = self._apply_peer_evacuations(
                reply,
                eras.get(platform.CONFIGURATION_PREFIX, 0),
                revisions.get(platform.CONFIGURATION_PREFIX, 0),
                source,
                now,
            )
        if is_whole:
            for prefix, state in self.states.items():
                if prefix == platform.CONFIGURATION_PREFIX and not has_zones:
                    # Evacuations up to this revision may be missing.
                    continue
                era, revision = eras.get(prefix, 0), revisions.get(prefix, 0)
                self._begin_era(prefix, era, revision, source, now)
                if era == state.era:
                    state.record_applied(revision)
            self.states[platform.SERVER_PREFIX].record_listed(listed_until)
        self._on_change(now)

    def _apply_peer_evacuations(
        self,
        reply: Mapping[str, Any],
        era: int,
        revision: int,
        source: str,
        now: float,
    ) -> bool:
        """Applies the zones that a peer knows as of a revision of an era.

        Returns:
            Whether all evacuations up to the revision are known, or none are
            used. Processes of earlier versions do not tell them.
        """
        if not self._evacuations.is_enabled:
            return True
        state = self._operator_state
        zones, removals, is_whole = self._evacuations.decode_reply(
            reply, source
        )
        if era < state.era or (era > state.era and not is_whole):
            return False
        self._begin_era(state.prefix, era, revision, source, now)
        self._evacuations.apply_reply(
            zones, removals, is_whole, revision, state.applied, source, now
        )
        return is_whole

    def _apply_peer_servers(
        self,
        reply: Mapping[str, Any],
        era: int,
        revision: int,
        source: str,
        now: float,
    ) -> bool:
        """Applies the servers that a peer knows as of a revision of an era.

        Returns:
            Whether the list is applied and all entries were valid; otherwise no
            server was removed for being absent.
        """
        known_era = self.states[platform.SERVER_PREFIX].era
        versions = {**reply.get("versions", {})}
        # Processes of earlier versions do not send it.
        cold = reply.get("cold", ())
        self._server_registry.cold.apply(cold, now)
        told = fleet.told_by_name(cold)
        entries = []
        for row in reply["servers"]:
            with self._ignoring(row, source):
                entries.append(platform.decode_peer_entry(row, versions, told))
        is_whole = len(entries) == len(reply["servers"])
        if era < known_era or (era > known_era and not is_whole):
            return False
        is_restored = self._begin_era(
            platform.SERVER_PREFIX, era, revision, source, now
        )
        self._replace_servers(
            entries, revision if is_whole else 0, is_restored, source, now
        )
        self._server_registry.cold.apply(cold, now)
        for row in reply["removed"]:
            with self._ignoring(row, source):
                name, removed_at = platform.decode_peer_removal(row)
                self._server_registry.remove(name, removed_at, source, now)
        return is_whole

    def _without_outdated(
        self, entries: Iterable[fleet.BackendEntry], revision: int
    ) -> list[fleet.BackendEntry]:
        """Leaves out the entries of a list that are known to be outdated.

        If more is applied than the list has, a server that is not known here
        has been removed since; its removal may be unknown or have expired.

        Args:
            entries: The list, of the store or of a peer.
            revision: Revision as of which it is complete.
        """
        applied = self.states[platform.SERVER_PREFIX].applied
        return [
            entry
            for entry in entries
            if revision >= applied
            or entry.revision > applied
            or self._server_registry.find(entry.name) is not None
        ]

    @contextlib.contextmanager
    def _ignoring(self, row: Any, source: str) -> Iterator[None]:
        """Skips an entry of a peer that is malformed, with a log line."""
        try:
            yield
        except fleet.DocumentError as exc:
            self._ignore(f"{row!r:.200}", 0, 0, source, exc)

    def _serve_peer(self, sender: str, body: dict) -> dict:
        """Returns the store's contents for a peer that it may be ignoring."""
        del sender
        if body.get("is_store_lost"):
            self._read_for_peers()
        is_newer = self._holder.version > body["version"]
        document = self._holder.document if is_newer else b""
        is_compressed = document and body.get("accepts_compressed")
        return {
            "document": b"" if is_compressed else document,
            "compressed": peer_reads.compress(document)
            if is_compressed
            else b"",
            "servers": [
                platform.encode_peer_entry(entry)
                for entry in self._server_registry.entries()
            ],
            "versions": {
                entry.name: entry.version
                for entry in self._server_registry.entries()
            },
            "removed": self._server_registry.removals(),
            "revisions": {
                prefix: state.applied for prefix, state in self.states.items()
            },
            "eras": {
                prefix: state.era for prefix, state in self.states.items()
            },
            "listed_until": self.states[platform.SERVER_PREFIX].listed_until,
            **self._evacuations.reply_fields(),
            **self._encode_cold(),
        }

    def _encode_cold(self) -> dict[str, list]:
        """Returns the cold phases of servers for peers, if there are any."""
        current = self._holder.current
        services = current.services if current is not None else {}
        names = [
            entry.name
            for entry in self._server_registry.entries()
            if entry.service in services
            and services[entry.service].cold_start_s > 0.0
        ]
        rows = self._server_registry.cold.encode(self._clock(), names)
        return {"cold": rows} if rows else {}

    def _read_for_peers(self) -> None:
        """Reads the store if those that watch for this VM may have lost it."""
        now = self._clock()
        for state in self.states.values():
            if (
                not state.is_watching
                and now - state.last_heard_at > LOST_READ_INTERVAL_S
            ):
                state.require_read()

    def _poll(self) -> None:
        while True:
            eventlet.sleep(POLL_S)
            now = self._clock()
            try:
                self._expire_servers(now)
                self._report_behind(now)
                self.ask_peers_if_due()
            except Exception as exc:
                # Without the next round, no server would expire any more.
                self._events.state_change(
                    "store watch failed", now, call="poll", cause=repr(exc)
                )

    def _expire_servers(self, now: float) -> None:
        before = self._server_registry.generation
        self._server_registry.expire(now)
        if self._server_registry.must_confirm(now):
            self.states[platform.SERVER_PREFIX].require_read()
        if self._server_registry.generation != before:
            self._on_change(now)

    def _report_behind(self, now: float) -> None:
        """Logs that changes which peers told are not applied."""
        for state in self.states.values():
            if state.is_reported or state.behind_s(now) < BEHIND_REPORT_S:
                continue
            state.is_reported = True
            self._events.state_change(
                "change missing",
                now,
                prefix=state.prefix,
                heard_s_ago=round(now - state.last_heard_at, 2),
                unanswered_s=round(state.unanswered_s(now), 2),
                **state.describe_told(now),
            )


def _numbers(
    by_prefix: Mapping[str, Any], maximum: int = decoding.MAX_INTEGER
) -> dict[str, int]:
    """Decodes eras or revisions by key prefix.

    Raises:
        DecodingError: One is none, or out of range.
    """
    return {
        prefix: decoding.integer(number, 0, maximum)
        for prefix, number in by_prefix.items()
    }
