"""Tests of how VMs share which requests crash servers."""

import time
import types

import eventlet
import testtools

from savoryspar import blame, membership
from savoryspar.gateway import blaming
from tests.gateway import event_logs, lone_vm

FROZEN = ("a", "b", "c", "d")
REPLYING = "e"


class PartlyFrozenMembers(lone_vm.Members):
    """Five peers of which the first four do not reply."""

    def __init__(self):
        super().__init__()
        self._records += tuple(
            membership.Record(name, name, "r", "z", f"{name}:1")
            for name in (*FROZEN, REPLYING)
        )

    def view(self, now):
        members = tuple(
            membership.Member(record, now, 0) for record in self._records[1:]
        )
        return types.SimpleNamespace(members=members)

    def request(self, incarnation, kind, body, timeout_s):
        if incarnation in FROZEN:
            eventlet.sleep(timeout_s)
            raise membership.PeerUnreachableError("no reply", "wait", True)
        report = ["r1", "s1", "1", "f", "ws", ["p1"], 0.0, True, "e"]
        return {"reports": [report], "sound": []}


class LearnTest(testtools.TestCase):
    def test_frozen_peers_do_not_hide_records_at_the_start(self):
        """Guards against a VM that starts without records a peer has.

        Peers were asked one after the other, and three that were frozen took
        all of the time.
        """
        crash_blame = lone_vm.new_blame(
            None,
            event_logs.new_event_log(self),
            time.monotonic,
            PartlyFrozenMembers(),
        )
        crash_blame.start(has_peers=True)
        with eventlet.Timeout(2.0 * blaming.LEARN_TIMEOUT_S):
            while not crash_blame.is_ready:
                eventlet.sleep(0.01)
        work = blame.Work("f", "ws", frozenset({"p1"}))
        found = crash_blame.table.assess(work, "1", time.monotonic())
        self.assertIsNot(blame.Verdict.CLEAR, found.verdict)
