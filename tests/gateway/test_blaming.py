"""Tests of how VMs share which requests crash servers."""

import itertools
import time
import types

import eventlet
import testtools

from savoryspar import blame, membership
from savoryspar.gateway import blaming, crash_batches
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


class BatchTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.sent = []

    def report(self, number):
        work = blame.Work(f"f{number}", "ws", frozenset({"p"}))
        return blame.CrashReport(f"r{number}", "s", "1", work, 0.0, False, "o")

    def send(self, batch):
        self.sent.append([report.report_id for report in batch.reports])
        if self.failure:
            raise self.failure

    failure = None

    def test_what_breaks_at_the_same_moment_is_one_batch(self):
        """Guards against a message to each VM for each broken stream."""
        batches = crash_batches.new_crash_batches(self.send)
        waiting = [batches.add_suspect(self.report(n)) for n in range(3)]
        batches.add_report(self.report(3))
        for event in waiting:
            event.wait()
        self.assertEqual([["r0", "r1", "r2", "r3"]], self.sent)
        batches.add_suspect(self.report(4)).wait()
        self.assertEqual(["r4"], self.sent[1])

    def test_streams_go_on_if_a_batch_is_not_sent(self):
        """Guards against broken streams that wait forever."""
        self.failure = ValueError("unexpected")
        batches = crash_batches.new_crash_batches(self.send)
        with eventlet.Timeout(2.0):
            batches.add_suspect(self.report(0)).wait()
        self.assertEqual(1, len(self.sent))

    def test_long_batches_are_split(self):
        """Guards against reports that are left out of a full message."""
        batch = crash_batches.Batch()
        self.assertEqual([[]], [*batch.chunks(64)])
        batch.reports += map(self.report, range(150))
        chunks = [*batch.chunks(64)]
        self.assertEqual([64, 64, 22], [*map(len, chunks)])
        self.assertEqual(batch.reports, [*itertools.chain(*chunks)])
