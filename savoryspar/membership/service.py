"""The membership of one process: links, live view, requests and facts."""

from collections.abc import Callable, Iterable
import itertools
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
    heartbeats,
    links,
    model,
    pause,
    table,
    tls,
    topology,
)

TICK_S = 0.1
SLOW_TICK_S = 1.0
EXPLORE_LIMIT = 4
"""Unknown addresses dialled in one tick."""

OPEN_TIMEOUT_S = 3.0
VIEW_AGE_S = 0.2


class Membership:
    """Knows the live members and carries messages between them.

    Attributes:
        records: Records of all members.
        connector: Links to peers.
        beats: Heartbeats; the spreading of the configuration hooks in here.
        watcher: Notices pauses of this process.
    """

    __slots__ = (
        "_calls",
        "_dispatch",
        "_facts",
        "_is_stopped",
        "_listed",
        "_logger",
        "_missing_since",
        "_policy",
        "_seeds",
        "_slow_at",
        "_tls",
        "_view",
        "_wanted",
        "beats",
        "connector",
        "on_sheet_delta",
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
        self.on_sheet_delta: Callable[[str, Any], None] = (
            lambda incarnation, body: None
        )
        self._calls = calls.Calls(own.incarnation)
        self._tls = contexts
        self._policy = topology.POLICIES[cfg.topology]()
        self._seeds = set(cfg.seeds)
        self._listed: frozenset[str] = frozenset()
        self._missing_since: dict[str, float] = {}
        self._wanted: tuple[tuple[int, int], frozenset[str]] = (
            (-1, -1),
            frozenset(),
        )
        self._view: tuple[int, float, tuple[model.Member, ...]] = (-1, 0.0, ())
        self._slow_at = now
        self._is_stopped = False
        self._logger = log.new_logger("membership")
        self._dispatch = {
            "heartbeat": self._take_heartbeat,
            "members": self._take_members,
            "request": self._take_request,
            "reply": self._take_reply,
            "broadcast": self._take_broadcast,
            "sheet_delta": self._take_sheet_delta,
            "leave": self._take_leave,
        }

    def start(self) -> None:
        """Listens for peers and looks for them."""
        self.connector.start(lambda: self.records.own_record, self._run_link)
        eventlet.spawn(self._tick_always)

    def leave(self, now: float) -> None:
        """Announces that this process drains; it still serves its peers."""
        self._spread([self.records.announce_leaving(now)], None)

    def stop(self, now: float) -> None:
        """Announces that this process is gone and closes its links."""
        self._is_stopped = True
        record = self.records.announce_left(now)
        for link in self._open_links():
            link.post("leave", record.to_body())
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

    def _members(self, now: float) -> tuple[model.Member, ...]:
        generation, at, members = self._view
        if generation == self.records.generation and now - at < VIEW_AGE_S:
            return members
        limit_s = self.records.zone_limit_s()
        reachable = {
            zone
            for zone in self.records.members_by_zone()
            if zone == self.records.zone
            or now - self.records.zone_heard_at(zone) <= limit_s
        }
        members = tuple(
            self._member(record)
            for record in self.records.counted()
            if record.zone in reachable
        )
        self._view = (self.records.generation, now, members)
        return members

    def _member(self, record: model.Record) -> model.Member:
        heard_at = self.records.heard_at(record.incarnation)
        if record.zone != self.records.zone:
            heard_at = max(heard_at, self.records.zone_heard_at(record.zone))
        return model.Member(
            record, heard_at, self._facts.revision(record.incarnation)
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
        self._flood("broadcast", self._calls.new_broadcast(kind, body), None)

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

    def flood_sheet_delta(self, body: Any, source: str = "") -> None:
        """Sends a delta of the configuration on all links but its source's."""
        self._flood("sheet_delta", body, self.connector.links.get(source))

    def set_listed(self, addresses: Iterable[str]) -> None:
        """Takes the peer addresses of the VM list."""
        self._listed = frozenset(filter(None, addresses))

    def _open_links(self) -> list[links.Link]:
        return [
            link for link in self.connector.links.values() if not link.is_closed
        ]

    def _flood(self, kind: str, body: Any, source: links.Link | None) -> None:
        for link in self._open_links():
            if link is not source:
                link.post(kind, body)

    def _spread(
        self, changed: Iterable[model.Record], source: links.Link | None
    ) -> None:
        bodies = [record.to_body() for record in changed]
        for record in bodies:
            self._logger.info(f"Member changed. record={record}")
        if bodies:
            self._flood("members", [1, bodies], source)

    def _merge(
        self, records: Iterable[model.Record], source: links.Link | None
    ) -> None:
        changed = self.records.merge(records, time.monotonic())
        refuted = [r for r in changed if r.incarnation == self.records.own]
        self._spread([r for r in changed if r not in refuted], source)
        self._spread(refuted, None)

    def _run_link(self, link: links.Link) -> None:
        now = time.monotonic()
        self._merge([link.peer], None)
        self.records.note_heard(link.peer.incarnation, now)
        link.start_writer(
            lambda: self.beats.link_interval_s(link),
            lambda link: self.beats.render(link, time.monotonic()),
        )
        link.post("members", [0, dict(self.records.zone_digests())])
        source = f"{link.peer.name} {link.peer.address}"
        try:
            while True:
                try:
                    self._take_frame(link, link.receive())
                except exceptions.FrameError as exc:
                    self.connector.refuse(exc, source)
        except links.SOCKET_ERRORS as exc:
            if links.is_oversize(exc):
                self.connector.refuse(_oversize(), source)
        finally:
            self._calls.drop_link(link)
            self._link_lost(link)

    def _take_frame(self, link: links.Link, frame: Any) -> None:
        handler = self._dispatch.get(frame.kind)
        self.records.note_heard(link.peer.incarnation, time.monotonic())
        if frame.kind != "heartbeat":
            link.used_at = time.monotonic()
        try:
            if handler is None:
                raise ValueError("it is only valid at the start of a link")
            handler(link, frame.body)
        except (TypeError, ValueError, KeyError) as exc:
            raise exceptions.FrameError(
                "body",
                f"the body of a {frame.kind} is wrong: {exc!r:.200}",
                "check the peer's version",
            ) from exc

    def _link_lost(self, link: links.Link) -> None:
        """Dials a neighbour again at once, to learn whether it died."""
        if not self._is_stopped and link.peer.incarnation in self.wanted(
            time.monotonic()
        ):
            self.connector.dial(link.peer.address, time.monotonic())

    def _take_heartbeat(self, link: links.Link, body: Any) -> None:
        if self.beats.take(link, body, time.monotonic()):
            link.post("members", [0, dict(self.records.zone_digests())])

    def _take_members(self, link: links.Link, body: Any) -> None:
        step, content = body
        if step == 1:
            records = [model.decode_record(item) for item in content]
            self._merge(records, link)
            return
        own = self.records.zone_digests()
        differing = [
            zone
            for zone in {*own, *content}
            if own.get(zone) != content.get(zone)
        ]
        if differing:
            records = self.records.records_of(differing)
            link.post("members", [1, [r.to_body() for r in records]])

    def _take_request(self, link: links.Link, body: Any) -> None:
        self._calls.serve(link, body)

    def _take_reply(self, link: links.Link, body: Any) -> None:
        del link
        self._calls.take_reply(body)

    def _take_broadcast(self, link: links.Link, body: Any) -> None:
        if self._calls.take_broadcast(body):
            self._flood("broadcast", body, link)

    def _take_sheet_delta(self, link: links.Link, body: Any) -> None:
        self.on_sheet_delta(link.peer.incarnation, body)

    def _take_leave(self, link: links.Link, body: Any) -> None:
        self._merge([model.decode_record(body)], link)

    def wanted(self, now: float) -> frozenset[str]:
        """Returns the incarnations to keep links to."""
        key = (self.records.generation, self._period(now))
        if self._wanted[0] != key:
            by_zone = self.records.members_by_zone()
            own, zone = self.records.own, self.records.zone
            neighbours = topology.zone_neighbours(
                self._policy, own, by_zone[zone], key[1]
            ) | topology.relay_neighbours(own, zone, by_zone)
            self._wanted = (key, frozenset(neighbours))
        return self._wanted[1]

    def _period(self, now: float) -> int:
        is_changing = isinstance(self._policy, topology.Probe)
        return int(now / self.beats.interval_s()) if is_changing else 0

    def _tick_always(self) -> None:
        while not self._is_stopped:
            self.tick(time.monotonic(), time.time())
            eventlet.sleep(TICK_S)

    def tick(self, now: float, wall_now: float) -> None:
        """Does what is due: checks neighbours, links and the clock."""
        if self.watcher.check(now, wall_now):
            self._logger.warning("Resumed after a pause. View not confirmed.")
            self.records.forgive(now)
        wanted = self.wanted(now)
        zone = {
            incarnation
            for incarnation in wanted
            if self.records.records[incarnation].zone == self.records.zone
        }
        silent = self.records.silent(zone, self.connector.refused_at, now)
        changed = self.records.suspect(silent, now)
        changed += self.records.expire(now)
        if now - self._slow_at >= SLOW_TICK_S:
            self._slow_at = now
            changed += self.records.suspect(self.records.stale(now), now)
            self._slow_tick(wanted, now)
        self._drop_dead(changed)
        self._spread(changed, None)
        self._dial_wanted(wanted, now)

    def _slow_tick(self, wanted: Iterable[str], now: float) -> None:
        if self._tls:
            self._tls.refresh()
        self.records.forget(now, self._listed | self._seeds)
        self.connector.reap(wanted, now)
        known = {
            record.address
            for record in self.records.records.values()
            if record.is_counted()
        }
        unknown = sorted(
            (self._listed | self._seeds)
            - known
            - self.connector.open_addresses()
        )
        # Members start at different places, so that they do not all dial
        # the same dead address first.
        order = topology.rendezvous(unknown, f"{self.records.own}{now:.0f}")
        for address in itertools.islice(order, EXPLORE_LIMIT):
            self.connector.dial(address, now)

    def _drop_dead(self, changed: Iterable[model.Record]) -> None:
        for record in changed:
            if record.state == model.State.DEAD:
                self._logger.notice(
                    f"Member dead. name={record.name} zone={record.zone}"
                    f" incarnation={record.incarnation}"
                )
                self._facts.drop(record.incarnation)
                link = self.connector.links.get(record.incarnation)
                if link:
                    link.abort()

    def _dial_wanted(self, wanted: Iterable[str], now: float) -> None:
        missing = {
            incarnation
            for incarnation in wanted
            if incarnation not in self.connector.links
        }
        self._missing_since = {
            incarnation: self._missing_since.get(incarnation, now)
            for incarnation in missing
        }
        for incarnation, since in self._missing_since.items():
            is_late = now - since >= connector.LATE_DIAL_S
            if self.records.own < incarnation or is_late:
                record = self.records.records[incarnation]
                self.connector.dial(record.address, now)


def _oversize() -> exceptions.FrameError:
    return exceptions.FrameError(
        "oversize",
        "a frame is above the largest size",
        "give all peers the same [membership] max_frame_bytes",
    )


def new_membership(
    cfg: conf.Settings,
    now: float,
    wall_now: float,
    name: str = "",
    zone: str = "",
) -> Membership:
    """Returns a membership that listens but does not serve yet.

    Args:
        cfg: The settings.
        now: Monotonic time in seconds.
        wall_now: Wall clock time in seconds.
        name: Name in place of the one in the settings.
        zone: Availability zone in place of the one in the settings.

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
    return Membership(own, own_links, contexts, section, now, wall_now)
