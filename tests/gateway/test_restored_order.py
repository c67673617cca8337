"""Tests that VMs agree with a store that is restored from copies.

Several VMs read and watch one store and tell each other changes, as in
``test_change_order``. The store also loses its newest changes, and servers
write their entries again later.
"""

import random

import greenlet
import hypothesis
from hypothesis import strategies
import testtools

from savoryspar import fleet, platform
from savoryspar.platform import standin
from tests.gateway import test_change_order

SERVERS = test_change_order.SERVERS
STEPS = 100
WEIGHTS = {
    **test_change_order.WEIGHTS,
    "begin": 9,
    "end": 12,
    "restore": 0.8,
    "rewrite": 1.5,
}
VALUES = {
    **test_change_order.VALUES,
    "write": (
        test_change_order.some_server,
        lambda rng: rng.choice(("ready", "ready", "draining", "absent")),
    ),
    "restore": (lambda rng: rng.randint(1, 6),),
    "rewrite": (test_change_order.some_server,),
}


STATES = ("ready", "draining", "absent")
"""States of the entry of a server, in order, until it starts again."""


class Server:
    """What a server would write, in any era."""

    def __init__(self):
        self.state = "absent"
        self.starts = 0

    def change(self, state):
        """Changes the state; one that drains or is absent starts anew."""
        if state == "ready" and self.state != "ready":
            self.starts += 1
        if state == "ready" or self.state != "absent":
            self.state = state


class RestorableHistory(test_change_order.History):
    """A store that keeps all changes, and can lose the newest ones.

    Attributes:
        era: Number of copies that it was restored from, counted from 1.
        states_of: Start and state of its server, as a number that increases,
            by server, era and revision.
    """

    def __init__(self):
        super().__init__()
        self.era = 1
        self.states_of = {}
        self.servers = {name: Server() for name in SERVERS}
        self._items_of = {}

    def write(self, name, state):
        self.servers[name].change(state)
        self.rewrite(name)

    def rewrite(self, name):
        """Writes the entry that a server has, or its removal."""
        server = self.servers[name]
        self.revision += 1
        value = None
        if server.state != "absent":
            value = standin.encode_backend_entry(
                fleet.BackendEntry(
                    name,
                    "p",
                    "127.0.0.1:1",
                    "z",
                    1,
                    server.state == "draining",
                    server.starts,
                    self.revision,
                )
            )
        item = platform.Item(
            f"{platform.SERVER_PREFIX}{name}", value, self.revision
        )
        self._changes.setdefault(name, []).append(item)
        state = (server.starts, STATES.index(server.state))
        self._record(name, item, state)

    def _record(self, name, item, state):
        self.states_of[name, self.era, item.revision] = state
        self._items_of.setdefault((self.era, name), []).append(item)

    def restore(self, lost):
        """Goes back by a number of revisions."""
        revision = max(1, self.revision - lost)
        era, self.era = self.era, self.era + 1
        self.revision = revision
        for name, items in self._changes.items():
            items[:] = [i for i in items if i.revision <= revision]
            for item in items:
                self._record(
                    name, item, self.states_of[name, era, item.revision]
                )
        self._changes = {
            name: items for name, items in self._changes.items() if items
        }

    def items_of(self, name, era):
        """Returns all changes of a server in an era, also those lost later."""
        return self._items_of.get((era, name), [])


class LateStore(test_change_order.LateStore):
    """Answers with the era in which the answer was made."""

    def read_all(self, prefix):
        eras, items, revisions = [], [], []
        for is_second in (False, True):
            eras.append(self._history.era)
            revisions.append(self._history.revision)
            items += [
                item
                for item in self._history.items()
                if item.key.endswith(test_change_order.FIRST_PAGE)
                is not is_second
            ]
            greenlet.getcurrent().parent.switch()
        if eras[0] != eras[1]:
            raise fleet.StoreError("restored", "read again")
        return platform.Snapshot(items, revisions[0], (), revisions[1], eras[0])

    def watch(self, prefix, after, wait_s):
        del prefix, wait_s
        history = self._history
        answer = None
        if after <= history.revision:
            answer = platform.Snapshot(
                history.since(after), history.revision, era=history.era
            )
        greenlet.getcurrent().parent.switch()
        if answer is None:
            raise fleet.HistoryGoneError("gone", "read again")
        return answer


class Vm(test_change_order.Vm):
    """A VM whose calls may fail, and what it has confirmed.

    Attributes:
        confirmed: The latest start and state of each server that it applied.
    """

    def __init__(self, incarnation, history, clock):
        super().__init__(incarnation, history, clock)
        self.follower._read_client = LateStore(history)
        self.follower._watch_client = LateStore(history)
        self.confirmed = dict.fromkeys(SERVERS, (0, 0))

    def begin(self, call):
        if not self.calls.get(call):
            if call == "read":
                self.state.begin_read(self.clock())
            self.calls[call] = greenlet.greenlet(lambda: self._run(call))
            self.calls[call].switch()

    def _run(self, call):
        try:
            if call == "read":
                self.follower._read_once()
            else:
                self.follower._watch_once()
        except fleet.HistoryGoneError:
            self.state.require_read()
        except fleet.StoreError:
            if call == "read":
                self.state.record_failed_read(1.0, self.clock())


class RestoredFleet(test_change_order.Fleet):
    """VMs that follow a store which loses changes."""

    def __init__(self):
        super().__init__()
        self.history = RestorableHistory()
        self.vms = [
            self._new_vm(number) for number in range(test_change_order.VMS)
        ]
        for name in SERVERS:
            self.history.write(name, "ready")
        self._read_all()

    def _read_all(self):
        """Has each VM read the store."""
        for vm in self.vms:
            vm.begin("read")
            while vm.calls:
                vm.end("read")

    def _new_vm(self, number):
        return Vm(f"i{number}", self.history, lambda: self.now)

    def _check(self, vm, step):
        """Checks that nothing goes back that a VM has confirmed.

        Raises:
            AssertionError: It uses a server by an entry that precedes one that
                it has applied, or that precedes a drain or a removal.
        """
        usable = {entry.name: entry for entry in vm.registry.usable()}
        listed = {entry.name for entry in vm.registry.entries()}
        for name in SERVERS:
            if name in usable and name in listed:
                start = usable[name].started_ms
                assert (start, 0) >= vm.confirmed[name], (
                    f"{step}: {vm.incarnation} uses start {start} of {name}"
                    f" after {vm.confirmed[name]}"
                )
            applied = [
                item.revision
                for item in self.history.items_of(name, vm.state.era)
                if item.revision <= vm.state.applied
            ]
            if applied:
                key = (name, vm.state.era, max(applied))
                vm.confirmed[name] = max(
                    vm.confirmed[name], self.history.states_of[key]
                )

    def _restore(self, lost):
        self.history.restore(lost)

    def _rewrite(self, name):
        self.history.rewrite(name)

    def settle(self):
        """Lets servers write their entries, and VMs what is missing."""
        for vm in self.vms:
            while vm.calls:
                vm.end(next(iter(vm.calls)))
        for name in SERVERS:
            self.history.rewrite(name)
        self._read_all()
        # A server that was removed and is listed is believed after a while.
        self.apply(("pass", 30))
        self._read_all()


def new_steps(seed):
    """Returns the steps of a random walk; each is a method and its values."""
    rng = random.Random(seed)
    names = rng.choices([*WEIGHTS], [*WEIGHTS.values()], k=STEPS)
    return [[name, *(new(rng) for new in VALUES[name])] for name in names]


class RestoredOrderTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=800)
    @hypothesis.given(strategies.integers(0, 1 << 32))
    def test_vms_follow_a_store_that_loses_changes(self, seed):
        """Guards against changes that a loss undoes, or that are ignored.

        It covers what ``test_change_order`` does, in several eras: lists and
        watches across a loss, messages and replies of an earlier era, and VMs
        that learn of a later one from peers.
        """
        vms = RestoredFleet()
        for step in new_steps(seed):
            vms.apply(step)
        vms.settle()
        for vm in vms.vms:
            for name, server in vms.history.servers.items():
                entry = vm.registry.find(name)
                is_listed = entry in vm.registry.entries()
                self.assertEqual(
                    (server.state != "absent", server.state == "draining"),
                    (is_listed, is_listed and entry.is_draining),
                    f"{name} at {vm.incarnation}",
                )
