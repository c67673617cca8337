"""The membership of one process: links, live view, requests and facts."""

from collections.abc import Callable, Iterable
import secrets
import time
from typing import Any

import eventlet

from savoryspar import conf, log
from savoryspar.membership import (
    calls,
    connector,
    evidence,
    exceptions,
    facts,
    gossip,
    heartbeats,
    model,
    pause,
    reader,
    table,
    tls,
    upkeep,
)

OPEN_TIMEOUT_S = 3.0
VIEW_AGE_S = 0.2


class Membership:
    """Knows the live members and carries messages between them.

    Attributes:
        records: Records of all members.
        connector: Links to peers.
        beats: Heartbeats; the spreading of the configuration hooks in here.
        reader: Reads links and serves their frames.
        watcher: Notices pauses of this process.
    """

    __slots__ = (
        "_calls",
        "_everyone",
        "_facts",
        "_gossip",
        "_is_stopped",
        "_logger",
        "_upkeep",
        "_view",
        "beats",
        "connector",
        "reader",
        "records",
        "watcher",
    )

    def __init__(
        self,
        own: model.Record,
        links_of_own: connector.Connector,
        contexts: tls.Contexts | None,
        cfg: conf.Section,
        now: float,
        wall_now: float,
        read: Callable[..., reader.Reader],
    ):
        self.records = table.MemberTable(own, now)
        self.connector = links_of_own
        self.watcher = pause.PauseWatcher(cfg.pause_limit_s, now, wall_now)
        self._facts = facts.FactStore(
            own.incarnation, cfg.fact_budget_bytes_per_s
        )
        self.beats = heartbeats.Heartbeats(
            self.records, self._facts, cfg.heartbeat_s
        )
        self._calls = calls.Calls(own.incarnation)
        self._gossip = gossip.Gossip(self.records, links_of_own)
        self._upkeep = upkeep.Upkeep(
            self.records,
            links_of_own,
            self.beats,
            self._facts,
            self._gossip,
            self.watcher,
            contexts,
            cfg.topology,
            cfg.seeds,
        )
        self._view: tuple[int, float, tuple[model.Member, ...]] = (-1, 0.0, ())
        # Generation and zones that they belong to, and the records.
        self._everyone: tuple[
            tuple[int, frozenset[str]], tuple[model.Record, ...]
        ] = ((-1, frozenset()), ())
        self._is_stopped = False
        self._logger = log.new_logger("membership")
        self.reader = read(
            self.records,
            links_of_own,
            self.beats,
            self._gossip,
            self._calls,
            self._upkeep,
        )

    def start(self) -> None:
        """Listens for peers and looks for them."""
        self.connector.start(
            lambda: self.records.own_record, self.reader.run_link
        )
        eventlet.spawn(self._tick_always)

    def leave(self, now: float) -> None:
        """Announces that this process drains; it still serves its peers."""
        self._gossip.spread([self.records.announce_leaving(now)], None)

    def stop(self, now: float) -> None:
        """Announces that this process is gone and closes its links."""
        self._is_stopped = True
        self.reader.is_stopped = True
        record = self.records.announce_left(now)
        self._gossip.flood("leave", record.to_body(), None)
        self.connector.stop()

    def view(self, now: float, wall_now: float | None = None) -> model.View:
        """Returns the live members and whether the view is confirmed.

        Args:
            now: Monotonic time in seconds.
            wall_now: Wall clock time; with it, a pause in which the monotonic
                clock stood still is noticed before the watcher runs.
        """
        own = model.Member(
            self.records.own_record, now, self.beats.sheet_state()[0]
        )
        is_confirmed = self.watcher.is_current(
            now, wall_now
        ) and evidence.is_confirmed(self.records, self.watcher.paused_at, now)
        return model.View(own, self._members(now), is_confirmed)

    @property
    def incarnation(self) -> str:
        """Incarnation of this process."""
        return self.records.own

    @property
    def zone(self) -> str:
        """Availability zone of this process."""
        return self.records.zone

    def all_members(self, now: float) -> tuple[model.Record, ...]:
        """Returns the records of this process and of the live members.

        The tuple is the same one until the members change, so that what is
        derived from it can be kept. Unlike ``view`` it tells neither when
        members were heard of nor whether the view is confirmed, and costs
        next to nothing while nothing changes.
        """
        key = (self.records.generation, self._reachable(now))
        if self._everyone[0] != key:
            others = (r for r in self.records.counted() if r.zone in key[1])
            self._everyone = (key, (self.records.own_record, *others))
        return self._everyone[1]

    def _reachable(self, now: float) -> frozenset[str]:
        """Returns the own zone and those that were heard of lately."""
        limit_s = self.records.zone_limit_s()
        return frozenset(
            zone
            for zone in self.records.members_by_zone()
            if zone == self.records.zone
            or now - self.records.zone_heard_at(zone) <= limit_s
        )

    def _members(self, now: float) -> tuple[model.Member, ...]:
        generation, at, members = self._view
        if generation == self.records.generation and now - at < VIEW_AGE_S:
            return members
        reachable = self._reachable(now)
        members = tuple(
            self._member(record)
            for record in self.records.counted()
            if record.zone in reachable
        )
        self._view = (self.records.generation, now, members)
        return members

    def _member(self, record: model.Record) -> model.Member:
        last_heard_at = self.records.last_heard_at(record.incarnation)
        if record.zone != self.records.zone:
            last_heard_at = max(
                last_heard_at, self.records.zone_heard_at(record.zone)
            )
        return model.Member(
            record, last_heard_at, self._facts.revision(record.incarnation)
        )

    def request(
        self, incarnation: str, kind: str, body: Any, timeout_s: float
    ) -> dict:
        """Sends a request to one peer and returns its reply.

        Raises:
            PeerUnreachableError: No reply came in time, or the peer failed.
        """
        record = self.records.records.get(incarnation)
        if record is None or not record.is_counted():
            raise exceptions.PeerUnreachableError(
                f"peer {incarnation} is gone",
                "choose a member of the current view",
                has_sent=False,
            )
        deadline_at = time.monotonic() + timeout_s
        link = self.connector.get(record, min(timeout_s, OPEN_TIMEOUT_S))
        if link is None:
            raise exceptions.PeerUnreachableError(
                f"peer {incarnation} at {record.address} has no open link",
                "check the network between the two VMs",
                has_sent=False,
            )
        left_s = max(0.0, deadline_at - time.monotonic())
        return self._calls.request(link, kind, body, left_s)

    def send_message(self, incarnation: str, kind: str, body: Any) -> bool:
        """Sends a note that is not replied to.

        Returns:
            Whether it is on its way; notes to members that are gone are not.
        """
        record = self.records.records.get(incarnation)
        if record is None or not record.is_counted():
            return False
        link = self.connector.links.get(incarnation)
        if link is not None and not link.is_closed:
            return self._calls.send_message(link, kind, body)
        # Links that are not kept are closed when they are idle.
        eventlet.spawn(self._tell_on_new_link, record, kind, body)
        return True

    def _tell_on_new_link(
        self, record: model.Record, kind: str, body: Any
    ) -> None:
        link = self.connector.get(record, OPEN_TIMEOUT_S)
        if link is None or not self._calls.send_message(link, kind, body):
            self._logger.warning(
                f"Note not sent. kind={kind} peer={record.incarnation}"
                f" address={record.address}"
            )

    def send_to_neighbours(
        self, kind: str, body: Any, now: float, but: str = ""
    ) -> None:
        """Sends a note on the links that are kept, which reach every member.

        Who gets it passes it on if it is news.

        Args:
            kind: Name of the kind.
            body: What it says.
            now: Monotonic time in seconds.
            but: Incarnation from which the note came.
        """
        for incarnation in self._upkeep.wanted(now) - {but}:
            link = self.connector.links.get(incarnation)
            if link is not None:
                self._calls.send_message(link, kind, body)

    def handle(self, kind: str, handler: calls.Handler) -> None:
        """Serves requests and broadcasts of a kind.

        Args:
            kind: Name of the kind.
            handler: Called in a green thread with the sender's incarnation
                and the body; what it returns is the reply to a request.
        """
        self._calls.handle(kind, handler)

    def broadcast(self, kind: str, body: Any) -> None:
        """Floods a small fact to all members; each sees it at most once."""
        new = self._calls.new_broadcast(kind, body)
        self._gossip.flood("broadcast", new, None)

    def publish_fact(self, name: str, body: Any) -> None:
        """Adds a small fact to the own heartbeats in the zone."""
        self._facts.publish(name, body)

    def peer_facts(self, name: str, now: float) -> dict[str, Any]:
        """Returns the fresh facts of the zone's live peers by incarnation."""
        fresh = self._facts.fresh(name, now, self.beats.fact_age_limit_s())
        records = self.records.records
        return {
            incarnation: body
            for incarnation, body in fresh.items()
            if incarnation in records and records[incarnation].is_counted()
        }

    def status(self, now: float) -> dict[str, Any]:
        """Returns what operators want to know, for ``/status``."""
        view = self.view(now)
        return {
            "incarnation": view.own.incarnation,
            "address": view.own.address,
            "revision": view.own.revision,
            "is_confirmed": view.is_confirmed,
            "pauses": self.watcher.pauses,
            "links": len(self.connector.links),
            "refusals": dict(self.connector.refusals),
            "late_replies": self._calls.late_replies,
            "members": [
                {
                    "name": member.name,
                    "incarnation": member.incarnation,
                    "zone": member.zone,
                    "address": member.address,
                    "is_leaving": member.is_leaving,
                    "revision": member.revision,
                    "age_s": round(now - member.last_heard_at, 1),
                }
                for member in view.members
            ],
        }

    def flood_sheet_delta(self, body: Any, source: str = "") -> None:
        """Sends a delta of the configuration on all links but its source's."""
        link = self.connector.links.get(source)
        self._gossip.flood("sheet_delta", body, link)

    def set_peer_addresses(self, addresses: Iterable[str]) -> None:
        """Takes the peer addresses of the VM list."""
        self._upkeep.listed = frozenset(filter(None, addresses))

    def is_alone(self) -> bool:
        """Tells whether the VM list names this process and no other."""
        return self._upkeep.listed == {self.connector.address}

    def _tick_always(self) -> None:
        while not self._is_stopped:
            try:
                self._upkeep.tick(time.monotonic(), time.time())
            except Exception as exc:
                # Without the next tick, no member would ever be given up.
                self._logger.error(f"Upkeep failed. {exc!r}")
            eventlet.sleep(pause.DUE_S)


def new_membership(
    cfg: conf.Settings,
    now: float,
    wall_now: float,
    name: str = "",
    zone: str = "",
    read: Callable[..., reader.Reader] = reader.Reader,
) -> Membership:
    """Returns a membership that listens but does not serve yet.

    Args:
        cfg: The settings.
        now: Monotonic time in seconds.
        wall_now: Wall clock time in seconds.
        name: Name in place of the one in the settings.
        zone: Availability zone in place of the one in the settings.
        read: Class of the reader of links; tests use one that loses frames.

    Raises:
        MembershipError: The certificates cannot be loaded.
        OSError: The peer port is in use.
    """
    section = cfg.membership
    contexts = None
    if section.tls:
        contexts = tls.new_contexts(
            section.certificate_file, section.key_file, section.ca_file
        )
    own_links = connector.Connector(
        (section.listen_address, section.listen_port),
        contexts,
        section.max_frame_bytes,
    )
    own = model.Record(
        secrets.token_hex(6),
        name or cfg.entry.name,
        cfg.entry.region,
        zone or cfg.entry.zone,
        own_links.address,
    )
    return Membership(own, own_links, contexts, section, now, wall_now, read)
