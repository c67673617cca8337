"""Membership of one process: links, live view, requests and facts."""

from collections.abc import Callable, Iterable
import secrets
import time
from typing import Any

import eventlet

from savoryspar import conf, log, tasks
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
    traffic,
    upkeep,
)

OPEN_TIMEOUT_S = 3.0
VIEW_CACHE_S = 0.2


class Membership:
    """Tracks the live members and carries messages between them.

    Attributes:
        records: Records of all members.
        connector: Links to peers.
        heartbeats: Heartbeats, with the hooks for the state of the sheet.
        reader: Reads links and dispatches their frames.
        watcher: Detects pauses of this process.
    """

    __slots__ = (
        "_all_members",
        "_calls",
        "_facts",
        "_gossip",
        "_is_stopped",
        "_logger",
        "_upkeep",
        "_view",
        "_visible_share",
        "connector",
        "heartbeats",
        "reader",
        "records",
        "watcher",
    )

    def __init__(
        self,
        own: model.Record,
        own_links: connector.Connector,
        contexts: tls.Contexts | None,
        cfg: conf.Section,
        now: float,
        wall_now: float,
        new_reader: Callable[..., reader.Reader],
    ):
        self.records = table.MemberTable(own, now)
        self.connector = own_links
        self.watcher = pause.PauseWatcher(cfg.pause_limit_s, now, wall_now)
        self._facts = facts.FactStore(
            own.incarnation, cfg.fact_budget_bytes_per_s
        )
        self.heartbeats = heartbeats.Heartbeats(
            self.records, self._facts, cfg.heartbeat_s
        )
        self._calls = calls.Calls(own.incarnation)
        self._gossip = gossip.Gossip(self.records, own_links)
        self._upkeep = upkeep.Upkeep(
            self.records,
            own_links,
            self.heartbeats,
            self._facts,
            self._gossip,
            self.watcher,
            contexts,
            cfg.topology,
            cfg.seeds,
        )
        self._view: tuple[int, float, tuple[model.Member, ...]] = (-1, 0.0, ())
        # Cached records, with the generation and zones they were derived from.
        self._all_members: tuple[
            tuple[int, frozenset[str]], tuple[model.Record, ...]
        ] = ((-1, frozenset()), ())
        self._visible_share: tuple[object, float] = ((), 1.0)
        self._is_stopped = False
        self._logger = log.new_logger("membership")
        self.reader = new_reader(
            self.records,
            own_links,
            self.heartbeats,
            self._gossip,
            self._calls,
            self._upkeep,
        )

    def start(self) -> None:
        """Starts accepting links, dialling peers and sending heartbeats."""
        self.connector.start(
            lambda: self.records.own_record, self.reader.run_link
        )
        tasks.spawn_task("membership", self._tick_loop)

    def leave(self, now: float) -> None:
        """Announces that this process drains; links to peers stay open."""
        self._gossip.propagate([self.records.announce_leaving(now)], None)

    def stop(self, now: float) -> None:
        """Announces that this process has left and closes its links."""
        self._is_stopped = True
        self.reader.is_stopped = True
        record = self.records.announce_left(now)
        self._gossip.flood("leave", record.to_body(), None)
        self.connector.stop()

    def view(self, now: float, wall_now: float | None = None) -> model.View:
        """Returns the live members and whether the view is confirmed.

        Args:
            now: Monotonic time in seconds.
            wall_now: Wall clock time in seconds; if given, a pause in which
                the monotonic clock stopped is detected before the next check
                of the watcher.
        """
        own = model.Member(
            self.records.own_record, now, self.heartbeats.sheet_state()[0]
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

    @property
    def message_counts(self) -> traffic.Traffic:
        """Messages and bytes on all links by kind."""
        return self.connector.counts

    def all_members(self, now: float) -> tuple[model.Record, ...]:
        """Returns the records of this process and of the live members.

        The same tuple object is returned until the members change, so that
        callers can cache what they derive from it. Unlike ``view``, it does
        not include the times of evidence or whether the view is confirmed,
        and it is cheap while nothing changes.
        """
        key = (self.records.generation, self._reachable_zones(now))
        if self._all_members[0] != key:
            others = (r for r in self.records.live_peers() if r.zone in key[1])
            self._all_members = (key, (self.records.own_record, *others))
        return self._all_members[1]

    def visible_share(self, now: float) -> float:
        """Returns the share of the fleet's VMs that this process can reach.

        VMs in zones that are cut off count as out of reach, and so do those
        that ended without leaving, until they restart or their records expire.
        """
        live = self.all_members(now)
        if self._visible_share[0] is not live:
            known = {
                record.name
                for record in self.records.records.values()
                if record.state is not model.State.LEFT
            }
            names = {record.name for record in live}
            self._visible_share = (live, len(names) / len(names | known))
        return self._visible_share[1]

    def _reachable_zones(self, now: float) -> frozenset[str]:
        """Returns the own zone and the zones with recent evidence."""
        limit_s = self.records.zone_limit_s()
        return frozenset(
            zone
            for zone in self.records.members_by_zone()
            if zone == self.records.zone
            or now - self.records.zone_last_heard_at(zone) <= limit_s
        )

    def _members(self, now: float) -> tuple[model.Member, ...]:
        generation, at, members = self._view
        if generation == self.records.generation and now - at < VIEW_CACHE_S:
            return members
        reachable = self._reachable_zones(now)
        members = tuple(
            self._member(record)
            for record in self.records.live_peers()
            if record.zone in reachable
        )
        self._view = (self.records.generation, now, members)
        return members

    def _member(self, record: model.Record) -> model.Member:
        last_heard_at = self.records.last_heard_at(record.incarnation)
        if record.zone != self.records.zone:
            last_heard_at = max(
                last_heard_at, self.records.zone_last_heard_at(record.zone)
            )
        return model.Member(
            record, last_heard_at, self._facts.revision(record.incarnation)
        )

    def request(
        self, incarnation: str, kind: str, body: Any, timeout_s: float
    ) -> dict:
        """Sends a request to one peer and returns its reply.

        Raises:
            PeerUnreachableError: The peer is not live, did not reply in time or
                failed to handle the request.
        """
        record = self.records.records.get(incarnation)
        if record is None or not record.is_live():
            raise exceptions.PeerUnreachableError(
                f"peer {incarnation} is not a live member",
                "choose a member of the current view",
                has_sent=False,
            )
        deadline_at = time.monotonic() + timeout_s
        link = self.connector.get(record, min(timeout_s, OPEN_TIMEOUT_S))
        if link is None:
            raise exceptions.PeerUnreachableError(
                f"no link to peer {incarnation} at {record.address} could be"
                " opened",
                "check the network between the two VMs",
                has_sent=False,
            )
        left_s = max(0.0, deadline_at - time.monotonic())
        return self._calls.request(link, kind, body, left_s)

    def send_message(self, incarnation: str, kind: str, body: Any) -> bool:
        """Sends a one-way message to a peer.

        Returns:
            Whether the message was queued or a link for it is being opened;
            False if the peer is not live.
        """
        record = self.records.records.get(incarnation)
        if record is None or not record.is_live():
            return False
        link = self.connector.links.get(incarnation)
        if link is not None and not link.is_closed:
            return self._calls.send_message(link, kind, body)
        # Links to peers that are not neighbours are closed when idle.
        eventlet.spawn(self._send_on_new_link, record, kind, body)
        return True

    def _send_on_new_link(
        self, record: model.Record, kind: str, body: Any
    ) -> None:
        link = self.connector.get(record, OPEN_TIMEOUT_S)
        if link is None or not self._calls.send_message(link, kind, body):
            self._logger.warning(
                f"Message not sent. kind={kind} peer={record.incarnation}"
                f" address={record.address}"
            )

    def send_to_neighbours(
        self, kind: str, body: Any, now: float, exclude: str = ""
    ) -> None:
        """Sends a one-way message to the neighbours that have an open link.

        The message reaches every member if each receiver of a new message
        forwards it to its own neighbours.

        Args:
            kind: Name of the message kind.
            body: Body of the message.
            now: Monotonic time in seconds.
            exclude: Incarnation that sent the message, which is skipped.
        """
        for incarnation in self._upkeep.link_targets(now) - {exclude}:
            link = self.connector.links.get(incarnation)
            if link is not None:
                self._calls.send_message(link, kind, body)

    def handle(self, kind: str, handler: calls.Handler) -> None:
        """Registers the handler of requests and broadcasts of a kind.

        Args:
            kind: Name of the message kind.
            handler: Called in a green thread with the sender's incarnation
                and the body; its return value is the reply to a request.
        """
        self._calls.handle(kind, handler)

    def broadcast(self, kind: str, body: Any) -> None:
        """Floods a small message; each member handles it at most once.

        It goes over the links of the topology only. A process has many more
        while it sends requests to peers.
        """
        new = self._calls.new_broadcast(kind, body)
        targets = self._upkeep.link_targets(time.monotonic())
        self._gossip.flood("broadcast", new, None, targets)

    def publish_fact(self, name: str, body: Any) -> None:
        """Publishes a small fact in the heartbeats inside the zone."""
        self._facts.publish(name, body)

    def peer_facts(self, name: str, now: float) -> dict[str, Any]:
        """Returns the fresh facts of the zone's live peers by incarnation."""
        fresh = self._facts.fresh(name, now, self.heartbeats.fact_age_limit_s())
        records = self.records.records
        return {
            incarnation: body
            for incarnation, body in fresh.items()
            if incarnation in records and records[incarnation].is_live()
        }

    def status(self, now: float) -> dict[str, Any]:
        """Returns the state of the membership for ``/status``."""
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
        """Sends a sheet delta on all links except that to its source."""
        link = self.connector.links.get(source)
        self._gossip.flood("sheet_delta", body, link)

    def set_peer_addresses(self, addresses: Iterable[str]) -> None:
        """Sets the peer addresses of the VM list; empty ones are ignored."""
        self._upkeep.peer_addresses = frozenset(filter(None, addresses))

    def is_alone(self) -> bool:
        """Returns whether this process is the only peer in the VM list."""
        return self._upkeep.peer_addresses == {self.connector.address}

    def _tick_loop(self) -> None:
        while not self._is_stopped:
            try:
                self._upkeep.tick(time.monotonic(), time.time())
            except Exception as exc:
                # Keep ticking: otherwise no dead member would ever be detected.
                self._logger.error(f"Maintenance failed. {exc!r}")
            eventlet.sleep(pause.CHECK_INTERVAL_S)


def new_membership(
    cfg: conf.Settings,
    now: float,
    wall_now: float,
    name: str = "",
    zone: str = "",
    new_reader: Callable[..., reader.Reader] = reader.Reader,
) -> Membership:
    """Returns a membership that listens but does not accept links yet.

    Args:
        cfg: The settings.
        now: Monotonic time in seconds.
        wall_now: Wall clock time in seconds.
        name: Overrides the name in the settings.
        zone: Overrides the availability zone in the settings.
        new_reader: Class of the link reader; tests use one that drops frames.

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
    return Membership(
        own, own_links, contexts, section, now, wall_now, new_reader
    )
