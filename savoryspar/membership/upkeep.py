"""What a member does periodically: checks neighbours, links and the clock."""

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
"""Time between two tries of unknown addresses while there is a link."""

SETTLE_S = 0.25
"""Time for which a link must be wanted before it is opened.

A TLS handshake costs some milliseconds on both sides, and while a fleet
starts, the wanted links change with every member that is learnt of.
"""


class Upkeep:
    """Keeps links and beliefs up to date.

    Attributes:
        listed: Peer addresses of the VM list.
    """

    __slots__ = (
        "_beats",
        "_connector",
        "_contexts",
        "_explored_at",
        "_facts",
        "_gossip",
        "_logger",
        "_missing_since",
        "_policy",
        "_records",
        "_seeds",
        "_slow_at",
        "_wanted",
        "_watcher",
        "listed",
    )

    def __init__(
        self,
        records: table.MemberTable,
        own_links: connector.Connector,
        beats: heartbeats.Heartbeats,
        store: facts.FactStore,
        spreader: gossip.Gossip,
        watcher: pause.PauseWatcher,
        contexts: tls.Contexts | None,
        policy: str,
        seeds: Iterable[str],
    ):
        self._records = records
        self._connector = own_links
        self._beats = beats
        self._facts = store
        self._gossip = spreader
        self._watcher = watcher
        self._contexts = contexts
        self._policy = topology.POLICIES[policy]()
        self._seeds = frozenset(seeds)
        self._missing_since: dict[str, float] = {}
        self._slow_at = float("-inf")
        self._explored_at = float("-inf")
        self._wanted: tuple[tuple[int, int], frozenset[str]] = (
            (-1, -1),
            frozenset(),
        )
        self._logger = log.new_logger("membership")
        self.listed: frozenset[str] = frozenset()

    def wanted(self, now: float) -> frozenset[str]:
        """Returns the incarnations to keep links to."""
        key = (self._records.generation, self._period(now))
        if self._wanted[0] != key:
            by_zone = self._records.members_by_zone()
            own, zone = self._records.own, self._records.zone
            neighbours = topology.zone_neighbours(
                self._policy, own, by_zone[zone], key[1]
            ) | topology.relay_neighbours(own, zone, by_zone)
            self._wanted = (key, frozenset(neighbours))
        return self._wanted[1]

    def _period(self, now: float) -> int:
        is_changing = isinstance(self._policy, topology.Probe)
        return int(now / self._beats.interval_s()) if is_changing else 0

    def tick(self, now: float, wall_now: float) -> None:
        """Does what is due.

        Args:
            now: Monotonic time in seconds.
            wall_now: Wall clock time in seconds.
        """
        if self._watcher.check(now, wall_now):
            self._logger.warning("Resumed after a pause. View not confirmed.")
            self._records.forgive(now)
        wanted = self.wanted(now)
        # Silence says nothing about a neighbour without a link: the link may
        # wait for its turn. Such a one is suspected when it grows stale.
        neighbours = [
            incarnation
            for incarnation in wanted
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
        if now - self._slow_at >= SLOW_TICK_S:
            self._slow_at = now
            stale = self._records.stale(now)
            changed += self._records.suspect(stale, now)
            self._slow_tick(wanted, now)
        self._drop_dead(changed, now)
        self._gossip.spread(changed, None)
        self._dial_wanted(self.wanted(now), now)

    def _slow_tick(self, wanted: Iterable[str], now: float) -> None:
        if self._contexts:
            self._contexts.refresh()
        addresses = self.listed | self._seeds
        self._records.forget(now, addresses)
        self._connector.reap(wanted, now)
        known = {
            record.address
            for record in self._records.records.values()
            if record.is_counted()
        }
        unknown = addresses - known - self._connector.open_addresses()
        is_due = (
            not self._connector.links or now - self._explored_at >= EXPLORE_S
        )
        if unknown and is_due and not self._connector.is_dialing():
            # One at a time: the peer that answers names all others. Each
            # member tries them in an order of its own, which changes.
            self._explored_at = now
            key = f"{self._records.own}/{now:.0f}"
            address = topology.rendezvous(unknown, key)[0]
            self._connector.dial(address, now)

    def _drop_dead(self, changed: Iterable[model.Record], now: float) -> None:
        for record in changed:
            if record.state != model.State.DEAD:
                continue
            self._logger.notice(
                f"Member dead. name={record.name} zone={record.zone}"
                f" incarnation={record.incarnation}"
            )
            self._facts.drop(record.incarnation)
            last_heard_at = self._records.last_heard_at(record.incarnation)
            link = self._connector.links.get(record.incarnation)
            # The link of one that still speaks carries its refutation.
            if link and now - last_heard_at > table.SUSPECT_AFTER_S:
                link.abort()

    def _dial_wanted(self, wanted: Iterable[str], now: float) -> None:
        missing = set(wanted) - set(self._connector.links)
        self._missing_since = {
            incarnation: self._missing_since.get(incarnation, now)
            for incarnation in missing
        }
        for incarnation, since in self._missing_since.items():
            if now - since < SETTLE_S or self._connector.is_dialing():
                continue
            is_late = now - since >= connector.LATE_DIAL_S
            if self._records.own < incarnation or is_late:
                record = self._records.records[incarnation]
                self._connector.dial(record.address, now)
