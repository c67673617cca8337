"""Tests that changes in any order leave a VM with the store's contents.

Several VMs read and watch one store and tell each other changes. Answers and
messages arrive late, in any order, more than once or never.
"""

import bisect
import random

from eventlet import hubs
import greenlet
import hypothesis
from hypothesis import strategies
import testtools

from savoryspar import fleet, membership, platform
from savoryspar.gateway import fleet_watch, store_follower
from savoryspar.platform import standin

SERVERS = ("s0", "s1", "s2")
FIRST_PAGE = ("s0", "s1")
"""Servers in the first page of a list."""
VMS = 3
STEPS = 60
STEP_S = 0.4
BOUNDS = fleet_watch.Bounds(2.5, 2.5)


class NoEvents:
    """An event log that drops its lines."""

    def state_change(self, event, now, **fields):
        pass


class History:
    """A store that keeps all changes of the entries of servers."""

    def __init__(self):
        self.revision = 1
        self._changes = {}

    def write(self, name, is_present):
        self.revision += 1
        value = None
        if is_present:
            value = standin.encode_backend_entry(
                fleet.BackendEntry(
                    name, "p", "127.0.0.1:1", "z", 1, False, 0, self.revision
                )
            )
        item = platform.Item(
            f"{platform.SERVER_PREFIX}{name}", value, self.revision
        )
        self._changes.setdefault(name, []).append(item)

    def items(self):
        newest = [changes[-1] for changes in self._changes.values()]
        return [item for item in newest if item.value is not None]

    def since(self, revision):
        return sorted(
            (
                item
                for changes in self._changes.values()
                for item in changes
                if item.revision > revision
            ),
            key=lambda item: item.revision,
        )

    def states_from(self, name, revision):
        """Returns the revisions at which a server may be known, 0 for absent.

        These are its state as of a revision, and all later ones.
        """
        changes = self._changes.get(name, [])
        first = bisect.bisect(changes, revision, key=lambda i: i.revision)
        states = changes[max(0, first - 1) :]
        absent = {0} if first == 0 else set()
        return absent | {i.revision if i.value else 0 for i in states}


class LateStore:
    """Answers the calls of one VM when the test lets the answer arrive."""

    def __init__(self, history):
        self._history = history

    def close(self):
        """Does nothing, as there is no connection."""

    def read_all(self, prefix):
        """Returns two pages, the second one as of a later revision."""
        revision = self._history.revision
        items = []
        for is_second in (False, True):
            items += [
                item
                for item in self._history.items()
                if item.key.endswith(FIRST_PAGE) is not is_second
            ]
            last_revision = self._history.revision
            greenlet.getcurrent().parent.switch()
        return platform.Snapshot(items, revision, (), last_revision)

    def watch(self, prefix, after, wait_s):
        del prefix, wait_s
        snapshot = platform.Snapshot(
            self._history.since(after), self._history.revision
        )
        greenlet.getcurrent().parent.switch()
        return snapshot


class Heartbeats:
    """Heartbeats whose callbacks are set."""


class Members:
    """The peers of one VM; keeps the messages that it sends."""

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.heartbeats = Heartbeats()
        self.handlers = {}
        self.sent = []

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def all_members(self, now):
        del now
        return (membership.Record(self.incarnation, "n", "r", "z", "a"),)

    def view(self, now):
        """Returns no peers, so that the VM asks none by itself."""
        (own,) = self.all_members(now)
        return membership.View(membership.Member(own, now, 0), (), True)

    def send_to_neighbours(self, kind, body, now, exclude=""):
        del now
        self.sent.append((kind, body, exclude))


class Vm:
    """One process of a VM, without threads and connections."""

    def __init__(self, incarnation, history, clock):
        self.incarnation = incarnation
        self.history = history
        self.members = Members(incarnation)
        self.registry = fleet.new_server_registry(NoEvents())
        self.watch = fleet_watch.FleetWatch(
            "store:1",
            fleet.new_holder(NoEvents()),
            self.registry,
            self.members,
            NoEvents(),
            lambda now: None,
            clock,
            BOUNDS,
        )
        self.clock = clock
        self.state = self.watch.states[platform.SERVER_PREFIX]
        store = LateStore(history)
        self.follower = store_follower.StoreFollower(
            self.state,
            self.watch,
            store,
            store,
            NoEvents(),
            clock,
            random.Random(1),
        )
        self.calls = {}

    def begin(self, call):
        """Begins a call to the store unless one is in progress."""
        if self.calls.get(call):
            return
        if call == "read":
            self.state.begin_read(self.clock())
        run = {
            "read": self.follower._read_once,
            "watch": self.follower._watch_once,
        }[call]
        self.calls[call] = greenlet.greenlet(run)
        self.calls[call].switch()

    def end(self, call):
        """Lets the next answer of a call arrive."""
        running = self.calls.get(call)
        if running:
            running.switch()
            if running.dead:
                del self.calls[call]

    def known(self, name):
        """Returns the revision at which a server is listed, 0 if it is not."""
        entries = {entry.name: entry for entry in self.registry.entries()}
        return entries[name].revision if name in entries else 0


class Fleet:
    """VMs whose answers and messages the test delivers."""

    def __init__(self):
        # The greenlet that creates the hub becomes its parent, so it must not
        # be that of a call, which ends before other tests use the hub.
        hubs.get_hub()
        self.now = 100.0
        self.history = History()
        self.vms = [self._new_vm(number) for number in range(VMS)]
        self.messages = []
        self.replies = []
        self._starts = VMS

    def _new_vm(self, number):
        return Vm(f"i{number}", self.history, lambda: self.now)

    def apply(self, step):
        name, *args = step
        getattr(self, f"_{name}")(*args)
        for vm in self.vms:
            for kind, body, exclude in vm.members.sent:
                self.messages += [
                    (kind, body, vm.incarnation, other)
                    for other in range(VMS)
                    if self.vms[other].incarnation
                    not in (vm.incarnation, exclude)
                ]
            vm.members.sent.clear()
            self._check(vm, step)

    def _check(self, vm, step):
        """Checks that a VM knows each server as of what it applied, or later.

        Raises:
            AssertionError: It does not.
        """
        if not vm.state.applied:
            return
        for name in SERVERS:
            known = vm.known(name)
            allowed = self.history.states_from(name, vm.state.applied)
            assert known in allowed, (
                f"{step}: {vm.incarnation} has applied {vm.state.applied} and"
                f" knows {name} at {known}; the store had it at"
                f" {sorted(allowed)}"
            )

    def _write(self, name, is_present):
        self.history.write(name, is_present)

    def _begin(self, vm, call):
        vm = self.vms[vm]
        if call == "watch" and not vm.state.has_read:
            return
        vm.begin(call)

    def _end(self, vm, call):
        self.vms[vm].end(call)

    def _deliver(self, number, is_kept):
        """Delivers a message; a kept one arrives again later."""
        if self.messages:
            at = number % len(self.messages)
            kind, body, sender, receiver = self.messages[at]
            if not is_kept:
                del self.messages[at]
            self.vms[receiver].members.handlers[kind](sender, body)

    def _ask(self, peer):
        """Has a peer write a reply, which arrives later."""
        body = {"version": 0, "accepts_compressed": True}
        self.replies.append(self.vms[peer].watch._serve_peer("i", body))

    def _reply(self, number, vm):
        if self.replies:
            reply = self.replies[number % len(self.replies)]
            if reply["revisions"][platform.SERVER_PREFIX]:
                self.vms[vm].watch._apply_peer_state(reply, "peer")

    def _tell(self, sender, receiver):
        """Sends a heartbeat."""
        first, rest = self.vms[sender].watch._encode_state()
        self.vms[receiver].watch._merge_state(
            self.vms[sender].incarnation, first, rest
        )

    def _pass(self, steps):
        self.now += STEP_S * steps
        for vm in self.vms:
            vm.watch._expire_servers(self.now)

    def _restart(self, vm):
        self.vms[vm] = self._new_vm(self._starts)
        self._starts += 1

    def settle(self):
        """Lets each VM read what it knows to be missing."""
        for vm in self.vms:
            while vm.calls:
                vm.end(next(iter(vm.calls)))
        for vm in self.vms:
            if vm.state.applied < self.history.revision:
                vm.begin("read")
                while vm.calls:
                    vm.end("read")
        self.apply(("pass", 5))


def new_steps(seed):
    """Returns the steps of a random walk; each is a method and its values."""
    rng = random.Random(seed)
    names = rng.choices([*WEIGHTS], [*WEIGHTS.values()], k=STEPS)
    return [[name, *(new(rng) for new in VALUES[name])] for name in names]


def some_vm(rng):
    return rng.randrange(VMS)


def some_call(rng):
    return rng.choice(("read", "watch"))


def some_number(rng):
    return rng.randrange(20)


def some_server(rng):
    return rng.choice(SERVERS)


WEIGHTS = {
    "write": 5,
    "begin": 6,
    "end": 6,
    "deliver": 10,
    "ask": 2,
    "reply": 3,
    "tell": 1,
    "pass": 2,
    "restart": 0.2,
}
"""Relative frequency of each step."""
VALUES = {
    "write": (some_server, lambda rng: rng.random() < 0.6),
    "begin": (some_vm, some_call),
    "end": (some_vm, some_call),
    "deliver": (some_number, lambda rng: rng.random() < 0.2),
    "ask": (some_vm,),
    "reply": (some_number, some_vm),
    "tell": (some_vm, some_vm),
    "pass": (lambda rng: rng.randint(1, 6),),
    "restart": (some_vm,),
}
"""Functions that return the values of each step."""


class ChangeOrderTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=800)
    @hypothesis.example(3414)
    @hypothesis.given(strategies.integers(0, 1 << 32))
    def test_vms_know_what_the_store_had(self, seed):
        """Guards against a server that is gone and is used again.

        It covers lists, watches, messages and replies of peers that arrive
        late, in another order or twice, and restarts of VMs. In walk 3414 a
        list changes between its pages.
        """
        vms = Fleet()
        for step in new_steps(seed):
            vms.apply(step)
        vms.settle()
        for vm in vms.vms:
            for name in SERVERS:
                expected = vms.history.states_from(name, vms.history.revision)
                self.assertEqual(expected, {vm.known(name)})
