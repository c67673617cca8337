"""Tests that crash suspects reach every entry process."""

import json
import time

import eventlet
import testtools

from savoryspar import log, membership, routing
from savoryspar.bench import deployments
from savoryspar.bench import fleet as fleet_lib
from savoryspar.cli import suspects

MARK = "ENGINE-CRASH"


class SlowBroadcasts:
    """Members of one process, whose broadcasts reach the only peer late."""

    incarnation = "own"

    def __init__(self):
        self.handlers = {}
        self.peer = None

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def all_members(self, now):
        return tuple(
            membership.Record(name, name, "r", "z", "a")
            for name in ("own", "peer")
        )

    def broadcast(self, kind, record):
        eventlet.spawn_after(0.2, self.peer.handlers[kind], "own", record)

    def request(self, incarnation, kind, body, timeout_s):
        return self.peer.handlers[kind]("own", body)


class PublishTest(testtools.TestCase):
    def test_blocked_request_is_known_to_peers_before_its_caller_is_answered(
        self,
    ):
        """Guards against a third engine crashed by the next resend.

        The caller resent the request to another entry VM before the broadcast
        of the second crash had arrived there.
        """
        own, peer = SlowBroadcasts(), SlowBroadcasts()
        own.peer = peer
        tracked = [
            routing.new_router(log.new_decision_log(0.0)).suspects
            for _ in range(2)
        ]
        suspects.share_suspects(tracked[0], own)
        suspects.share_suspects(tracked[1], peer)
        now = time.monotonic()
        tracked[0].record_crash("w/key", "engine-1", now)
        tracked[0].record_crash("w/key", "engine-2", now, was_exclusive=True)
        self.assertEqual(
            routing.Verdict.BLOCKED, tracked[1].check("w/key", now)
        )


class ShareSuspectsTest(testtools.TestCase):
    def test_resends_crash_two_engines_at_most(self):
        """Guards against a request that crashes every engine of a pool.

        Its caller resends it to each entry VM in turn, also to one that starts
        after the crashes.
        """
        with fleet_lib.Fleet() as fleet:
            entries = deployments.start(
                deployments.BOKBINDERI, fleet, entries=3, backends_share=0.5
            )
            engines = [
                process
                for name, process in fleet.processes.items()
                if name.startswith("savory-pool-")
            ]
            for engine in engines:
                fleet.control(engine, {"crash_mark": MARK})
            kinds = [
                self.send(fleet, entry) for _ in range(4) for entry in entries
            ]
            late = fleet.start_entry("late", "boras-hall", "boras-hall-a")
            fleet.publish_vms()
            fleet.wait_ready("late")
            kinds.append(self.send(fleet, late))
            crashed = [e for e in engines if e.popen.poll() is not None]
            self.assertLessEqual(len(crashed), 2)
            self.assertEqual("refused_fingerprint", kinds[-1])

    def send(self, fleet, entry):
        """Sends the crashing request; returns the type of the problem."""
        body = {
            "model": "batch-notes",
            "messages": [{"role": "user", "content": f"400 {MARK}"}],
        }
        resp = fleet.http.request(
            "POST",
            f"{entry.url}/v1/chat/completions",
            body=json.dumps(body).encode(),
            headers={"Authorization": "Bearer key-glue-shop"},
        )
        return json.loads(resp.data)["type"].rpartition(":")[2]
