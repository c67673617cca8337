"""Periodic maintenance of a member: neighbours, links and pause detection."""

from collections.abc import Iterable

from savoryspar import log
from savoryspar.membership import (
    connector,
    facts,
    gossip,
    heartbeats,
    model,
    pause,
    table,
    tls,
    topology,
)

SLOW_TICK_S = 1.0
EXPLORE_S = 5.0
"""Time between dials of unknown addresses while any link is open."""

JOIN_S = 10.0
"""Time after the start in which seeds dial each other without that pause.

Members that start together link to different seeds. Until the seeds are linked,
these groups do not know of each other.
"""

SETTLE_S = 0.25
"""Time for which a peer must be a link target before it is dialled.

A TLS handshake costs some milliseconds on both sides, and while a fleet
starts, the link targets change with every new member.
"""


class Upkeep:
    """Maintains the links and the states of members.

    Attributes:
        peer_addresses: Peer addresses of the VM list.
    """

    __slots__ = (
        "_connector",
        "_contexts",
        "_explored_at",
        "_facts",
        "_gossip",
        "_heartbeats",
        "_link_targets",
        "_logger",
        "_missing_since",
        "_policy",
        "_records",
        "_seeds",
        "_slow_tick_at",
        "_started_at",
        "_watcher",
        "peer_addresses",
    )

    def __init__(
        self,
        records: table.MemberTable,
        own_links: connector.Connector,
        own_heartbeats: heartbeats.Heartbeats,
        store: facts.FactStore,
        own_gossip: gossip.Gossip,
        watcher: pause.PauseWatcher,
        contexts: tls.Contexts | None,
        policy: str,
        seeds: Iterable[str],
    ):
        self._records = records
        self._connector = own_links
        self._heartbeats = own_heartbeats
        self._facts = store
        self._gossip = own_gossip
        self._watcher = watcher
        self._contexts = contexts
        self._policy = topology.POLICIES[policy]()
        self._seeds = frozenset(seeds)
        self._missing_since: dict[str, float] = {}
        self._slow_tick_at = float("-inf")
        self._explored_at = float("-inf")
        self._started_at: float | None = None
        self._link_targets: tuple[tuple[int, int], frozenset[str]] = (
            (-1, -1),
            frozenset(),
        )
        self._logger = log.new_logger("membership")
        self.peer_addresses: frozenset[str] = frozenset()

    def link_targets(self, now: float) -> frozenset[str]:
        """Returns the incarnations of the peers to keep links to."""
        key = (self._records.generation, self._period(now))
        if self._link_targets[0] != key:
            by_zone = self._records.members_by_zone()
            own, zone = self._records.own, self._records.zone
            neighbours = topology.zone_neighbours(
                self._policy, own, by_zone[zone], key[1]
            ) | topology.relay_neighbours(own, zone, by_zone)
            self._link_targets = (key, frozenset(neighbours))
        return self._link_targets[1]

    def _period(self, now: float) -> int:
        is_changing = isinstance(self._policy, topology.Probe)
        return int(now / self._heartbeats.interval_s()) if is_changing else 0

    def tick(self, now: float, wall_now: float) -> None:
        """Runs the maintenance that is due.

        Args:
            now: Monotonic time in seconds.
            wall_now: Wall clock time in seconds.
        """
        if self._watcher.check(now, wall_now):
            self._logger.warning(
                "Process resumed after a pause. View not confirmed."
            )
            self._records.restart_timeouts(now)
        link_targets = self.link_targets(now)
        # A neighbour without a link is not checked for silence, because its
        # link may be waiting to be dialled. It is suspected once it is stale.
        neighbours = [
            incarnation
            for incarnation in link_targets
            if self._records.records[incarnation].zone == self._records.zone
            and (
                incarnation in self._connector.links
                or self._records.records[incarnation].address
                in self._connector.refused_at
            )
        ]
        lag_s = self._watcher.lag_s
        silent = self._records.silent(
            neighbours, self._connector.refused_at, lag_s, now
        )
        changed = self._records.suspect(silent, now)
        changed += self._records.expire(lag_s, now)
        if now - self._slow_tick_at >= SLOW_TICK_S:
            self._slow_tick_at = now
            stale = self._records.stale(now)
            changed += self._records.suspect(stale, now)
            self._slow_tick(link_targets, now)
        self._remove_dead(changed, now)
        self._gossip.propagate(changed, None)
        self._dial_missing(self.link_targets(now), now)

    def _slow_tick(self, link_targets: Iterable[str], now: float) -> None:
        if self._contexts:
            self._contexts.refresh()
        addresses = self.peer_addresses | self._seeds
        self._records.purge(now, addresses)
        self._connector.close_idle(link_targets, now)
        known = {
            record.address
            for record in self._records.records.values()
            if record.is_live()
        }
        unknown = addresses - known - self._connector.open_addresses()
        for address in self._addresses_to_dial(unknown, now):
            if self._connector.is_dial_limit_reached():
                break
            self._explored_at = now
            self._connector.dial(address, now)

    def _addresses_to_dial(
        self, unknown: frozenset[str], now: float
    ) -> list[str]:
        """Returns the addresses of unknown members to dial now."""
        if self._started_at is None:
            self._started_at = now
        key = f"{self._records.own}/{now:.0f}"
        is_joining = now - self._started_at < JOIN_S
        if is_joining and self._connector.address in self._seeds:
            seeds = topology.rendezvous(unknown & self._seeds, key)
            if seeds:
                return seeds
        if self._connector.links and now - self._explored_at < EXPLORE_S:
            return []
        # One address at a time is enough, because a peer that answers sends
        # the records of all others. Each member dials the addresses in its own
        # order, which changes over time.
        return topology.rendezvous(unknown, key)[:1]

    def _remove_dead(self, changed: Iterable[model.Record], now: float) -> None:
        for record in changed:
            if record.state != model.State.DEAD:
                continue
            self._logger.notice(
                f"Member dead. name={record.name} zone={record.zone}"
                f" incarnation={record.incarnation}"
            )
            self._facts.remove(record.incarnation)
            last_heard_at = self._records.last_heard_at(record.incarnation)
            link = self._connector.links.get(record.incarnation)
            # Keep the link of a member that still sends frames, because its
            # refutation arrives on it.
            if link and now - last_heard_at > table.SUSPECT_AFTER_S:
                link.abort()

    def _dial_missing(self, link_targets: Iterable[str], now: float) -> None:
        missing = set(link_targets) - set(self._connector.links)
        self._missing_since = {
            incarnation: self._missing_since.get(incarnation, now)
            for incarnation in missing
        }
        for incarnation, since in self._missing_since.items():
            if (
                now - since < SETTLE_S
                or self._connector.is_dial_limit_reached()
            ):
                continue
            is_late = now - since >= connector.DIAL_FALLBACK_S
            if self._records.own < incarnation or is_late:
                record = self._records.records[incarnation]
                self._connector.dial(record.address, now)
