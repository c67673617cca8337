"""A fleet of VMs that follow one store, in virtual time and without network.

The code that follows the store, elects watchers, relays changes and asks peers
is that of the VMs. Links, heartbeats and the store are played: each message
takes a random time.
"""

import collections
import functools
import random

import greenlet

from savoryspar import fleet, membership, platform
from savoryspar.gateway import fleet_watch, store_follower
from savoryspar.membership import topology
from savoryspar.platform import standin
from tests.gateway import virtual_time

REMOTE_INTERVAL_S = 2.0
ZONE_INTERVAL_S = 1.2
"""Times between two heartbeats in large zones, and between zones."""
PROCESSING_S = 0.005
"""Mean time for which a message waits in a VM."""
STORE_DELAY_S = 0.004
UNANSWERED_S = 2.0
ZONES = 6
VMS_OF_ZONE = {0: 33, 1: 33, 2: 33, 3: 32, 4: 32, 5: 32}


class NoEvents:
    """An event log that drops its lines."""

    def state_change(self, event, now, **fields):
        pass


class Store:
    """The platform's store, with its history."""

    def __init__(self, time):
        self._time = time
        self.revision = 1
        self.era = 1
        self.reads = 0
        self._items = {}
        self._history = []
        self._waiters = []

    def write(self, key, value):
        self.revision += 1
        item = platform.Item(key, value, self.revision)
        self._items[key] = item
        self._history.append(item)
        self._wake()

    def restore(self, revision):
        """Goes back to a revision; later ones are given out again."""
        self._history = [i for i in self._history if i.revision <= revision]
        self._items = {item.key: item for item in self._history}
        self.revision = revision
        self.era += 1
        self._wake()

    def _wake(self):
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.send(True)

    def items(self, prefix):
        return [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(prefix) and item.value is not None
        ]

    def wait(self, prefix, after, wait_s):
        ends_at = self._time.now + wait_s
        while after <= self.revision:
            changes = [
                item
                for item in self._history
                if item.revision > after and item.key.startswith(prefix)
            ]
            if changes or self._time.now >= ends_at:
                return platform.Snapshot(changes, self.revision, era=self.era)
            waiter = virtual_time.Waiter(self._time)
            self._waiters.append(waiter)
            waiter.wait(ends_at - self._time.now)
        raise fleet.HistoryGoneError("gone", "read all keys again")


class StoreClient:
    """Calls of one VM to the store."""

    def __init__(self, vm, store):
        self._vm = vm
        self._store = store
        self.calls = 0

    def close(self):
        """Does nothing, as there is no connection."""

    def get(self, key):
        self._store.reads += 1
        return self._call(lambda: self._snapshot(key))

    def read_all(self, prefix):
        self._store.reads += 1
        return self._call(lambda: self._snapshot(prefix))

    def watch(self, prefix, after, wait_s):
        return self._call(lambda: self._store.wait(prefix, after, wait_s))

    def _snapshot(self, prefix):
        store = self._store
        return platform.Snapshot(
            store.items(prefix), store.revision, era=store.era
        )

    def _call(self, answer):
        self.calls += 1
        vm = self._vm
        vm.time.sleep(STORE_DELAY_S + vm.fleet.delay_s(vm, None))
        if vm.is_cut_off:
            vm.time.sleep(UNANSWERED_S)
            raise fleet.StoreError("no answer", "wait")
        snapshot = answer()
        vm.time.sleep(vm.fleet.delay_s(vm, None))
        if vm.is_cut_off:
            raise fleet.StoreError("no answer", "wait")
        return snapshot


class Heartbeats:
    """Heartbeats whose callbacks are set."""


class Members:
    """The peers of one VM."""

    def __init__(self, vm, record):
        self._vm = vm
        self._record = record
        self._all_members = ()
        self.incarnation = record.incarnation
        self.heartbeats = Heartbeats()
        self.handlers = {}

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def set_records(self, records):
        """Sets the records of the live members, this one included."""
        others = (r for r in records if r.incarnation != self.incarnation)
        self._all_members = (self._record, *others)

    def all_members(self, now):
        del now
        return self._all_members

    def view(self, now):
        own, *others = (
            membership.Member(record, now, 0) for record in self._all_members
        )
        return membership.View(own, tuple(others), True)

    def send_to_neighbours(self, kind, body, now, exclude=""):
        del now
        hops = greenlet.getcurrent().hops + 1
        for peer in self._vm.fleet.neighbours(self._vm):
            if peer.incarnation != exclude:
                self._vm.fleet.send(self._vm, peer, kind, body, hops)

    def request(self, incarnation, kind, body, timeout_s):
        fleet_ = self._vm.fleet
        peer = fleet_.by_incarnation[incarnation]
        waiter = virtual_time.Waiter(self._vm.time)

        def serve():
            reply = peer.members.handlers[kind](self.incarnation, body)
            fleet_.deliver(peer, self._vm, lambda: waiter.send(reply), 0)

        fleet_.deliver(self._vm, peer, serve, 0)
        reply = waiter.wait(timeout_s)
        if reply is None:
            raise membership.PeerUnreachableError("no reply", "wait", True)
        return reply


class Vm(virtual_time.Host):
    """One VM, without threads of its own and connections.

    Attributes:
        is_cut_off: Whether the store does not answer it.
        versions: Versions of the configuration that were in force, with the
            time and the hops of the message that told each, None without one.
        gone_at: When each server went off the list.
        returned: Servers that were listed again.
    """

    def __init__(self, fleet_, record, bounds):
        super().__init__()
        self.fleet = fleet_
        self.time = fleet_.time
        self.name = record.name
        self.zone = record.zone
        self.incarnation = record.incarnation
        self.is_cut_off = False
        self.versions = []
        self.gone_at = {}
        self.returned = []
        self._listed = set()
        self._told = None
        self.members = Members(self, record)
        self.holder = fleet.new_holder(NoEvents())
        self.registry = fleet.new_server_registry(NoEvents())

        def clock():
            return self.time.now

        self.watch = fleet_watch.FleetWatch(
            "store:1",
            self.holder,
            self.registry,
            self.members,
            NoEvents(),
            self._record_change,
            clock,
            bounds,
        )
        rng = random.Random(self.incarnation)
        self._followers = [
            store_follower.StoreFollower(
                state,
                self.watch,
                StoreClient(self, fleet_.store),
                StoreClient(self, fleet_.store),
                NoEvents(),
                clock,
                rng,
            )
            for state in self.watch.states.values()
        ]
        for state in self.watch.states.values():
            state._wakeups = virtual_time.Wakeups(self.time)

    def start(self):
        for follower in self._followers:
            for loop in (follower.watch, follower.read):
                self.time.start(self, loop)
        self.time.start(self, self.watch._poll)
        self.time.start(self, self._send_heartbeats)

    def handle(self, kind, body, sender):
        """Handles a message of a peer."""
        era, prefix, _, until, _ = body
        if prefix == platform.CONFIGURATION_PREFIX:
            state = self.watch.states[prefix]
            if (era, until) > (state.told_era, state.told):
                self._told = greenlet.getcurrent().hops
        self.members.handlers[kind](sender, body)

    def is_watching(self):
        return any(s.is_watching for s in self.watch.states.values())

    def _send_heartbeats(self):
        rng = self.fleet.rng
        self.time.sleep(rng.uniform(0.0, ZONE_INTERVAL_S))
        sent = collections.Counter()
        while True:
            first, rest = self.watch._encode_state()
            for peer in self.fleet.neighbours(self):
                is_due = peer.zone == self.zone or (
                    self.time.now - sent[peer.incarnation] >= REMOTE_INTERVAL_S
                )
                if is_due:
                    sent[peer.incarnation] = self.time.now
                    self.fleet.heartbeats += 1
                    merge = functools.partial(
                        peer.watch._merge_state, self.incarnation, first, rest
                    )
                    self.fleet.deliver(self, peer, merge, 0)
            self.time.sleep(ZONE_INTERVAL_S)

    def _record_change(self, now):
        version = self.holder.version
        if not self.versions or self.versions[-1][0] != version:
            self.versions.append((version, now, self._told))
        listed = {entry.name for entry in self.registry.entries()}
        hops = getattr(greenlet.getcurrent(), "hops", 0)
        for name in self._listed - listed:
            self.gone_at.setdefault(name, (now, hops))
        self.returned += [n for n in listed - self._listed if n in self.gone_at]
        self._listed = listed


class Fleet:
    """VMs in zones, their links and the store.

    Attributes:
        messages: Messages that told changes.
        heartbeats: Heartbeats sent.
        cut_zones: Zones that reach no other zone.
        region_delay_s: Time that a message takes between two regions; each
            zone is a region of its own.
    """

    def __init__(self, time, seed, bounds, region_delay_s=0.02):
        self.time = time
        self.rng = random.Random(seed)
        self.region_delay_s = region_delay_s
        self.store = Store(time)
        self.messages = 0
        self.heartbeats = 0
        self.cut_zones = set()
        self._bounds = bounds
        records = [
            membership.Record(
                f"{self.rng.getrandbits(48):012x}",
                f"vm-{zone}-{number}",
                f"r{zone}",
                f"z{zone}",
                "127.0.0.1:1",
            )
            for zone, size in VMS_OF_ZONE.items()
            for number in range(size)
        ]
        self.vms = [Vm(self, record, bounds) for record in records]
        self.by_incarnation = {vm.incarnation: vm for vm in self.vms}
        self._neighbours = {}
        self._set_records(records)

    def start(self):
        for vm in self.vms:
            vm.start()

    def zone(self, number):
        """Returns the live VMs of a zone."""
        return [
            vm for vm in self.vms if vm.zone == f"z{number}" and not vm.is_dead
        ]

    def _set_records(self, records):
        """Sets who is live for all VMs, and so the links."""
        zones = collections.defaultdict(list)
        for record in records:
            zones[record.zone].append(record.incarnation)
        by_zone = {zone: sorted(zones[zone]) for zone in sorted(zones)}
        self._neighbours = {
            own: [
                self.by_incarnation[name]
                for name in sorted(
                    topology.zone_neighbours(topology.Ring(), own, names, 0)
                    | topology.relay_neighbours(own, zone, by_zone)
                )
            ]
            for zone, names in by_zone.items()
            for own in names
        }
        for vm in self.vms:
            vm.members.set_records(records)

    def kill(self, vms, detected_s):
        """Ends VMs; the others know it after a time."""
        for vm in vms:
            vm.is_dead = True
        live = [vm.members._record for vm in self.vms if not vm.is_dead]
        self.time.call_at(
            self.time.now + detected_s, None, lambda: self._set_records(live)
        )

    def neighbours(self, vm):
        return self._neighbours.get(vm.incarnation, ())

    def delay_s(self, vm, peer):
        """Returns the time that a message takes, to the store without a peer.

        The store is in the region of the first zone.
        """
        zone = peer.zone if peer else "z0"
        network_s = self.region_delay_s if zone != vm.zone else 0.0005
        return network_s + self.rng.expovariate(1.0 / PROCESSING_S)

    def deliver(self, sender, receiver, function, hops):
        is_cut = sender.zone != receiver.zone and (
            {sender.zone, receiver.zone} & self.cut_zones
        )
        if receiver.is_dead or is_cut:
            return
        self.time.start(
            receiver,
            function,
            hops=hops,
            at=self.time.now + self.delay_s(sender, receiver),
        )

    def send(self, sender, receiver, kind, body, hops):
        self.messages += 1
        self.deliver(
            sender,
            receiver,
            lambda: receiver.handle(kind, body, sender.incarnation),
            hops,
        )

    def write_configuration(self, version):
        self.store.write(
            platform.CONFIGURATION_KEY,
            standin.encode_configuration(version, [], [], {}),
        )

    def write_server(self, name):
        entry = fleet.BackendEntry(
            name, "p", "127.0.0.1:1", "z0", 1, False, 0, 0
        )
        self.store.write(
            f"{platform.SERVER_PREFIX}{name}",
            standin.encode_backend_entry(entry),
        )

    def remove_server(self, name):
        self.store.write(f"{platform.SERVER_PREFIX}{name}", None)
