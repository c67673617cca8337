"""Tests of VMs that share the limit of a server while VMs come and go."""

import eventlet
import testtools

from savoryspar import fleet, membership, ratelimits
from savoryspar.bench import limit_fleet
from savoryspar.gateway import limit_reports, limiting
from tests.gateway import event_logs

SERVER = limit_fleet.SERVER


class SharedLimitTest(testtools.TestCase):
    def test_limit_is_kept_and_used_while_vms_come_and_go(self):
        """Guards against a limit exceeded around a restart, cut or join.

        Each fleet has nine VMs and ten times the load that the server accepts;
        its owner or some of the VMs fail 4 s after the limit is named.
        """
        cases = [
            (limit_per_s, fault)
            for limit_per_s in (1.0, 5.0)
            for fault in limit_fleet.FAULTS
        ]
        played = eventlet.GreenPool().imap(
            lambda case: limit_fleet.play(9, *case, 12.0, 7), cases
        )
        for (limit_per_s, fault), simulated in zip(cases, played, strict=True):
            label = f"{fault}, {limit_per_s} per second"
            self.assertLessEqual(simulated.excess(limit_per_s), 1.0, label)
            least = 0.8 if fault == "steady" else 0.5
            self.assertGreaterEqual(simulated.use(limit_per_s), least, label)

    def test_use_follows_a_limit_that_is_raised_or_lifted(self):
        """Guards against a limit that outlasts its server's need for it."""
        for limit_per_s in (8.0, None):
            simulated = limit_fleet.new_limit_fleet(3, 1.0, 7)
            eventlet.spawn_after(
                4.0, setattr, simulated, "limit_per_s", limit_per_s
            )
            simulated.run(40.0, 8.0)
            late = [
                at
                for at in simulated.arrivals
                if at >= simulated.arrivals[0] + 6.0
            ]
            expected = 2.0 * (limit_per_s or 40.0)
            self.assertGreaterEqual(len(late), 0.8 * expected)


class Peer:
    """Membership with one peer, which replies or is unreachable."""

    incarnation = "own"

    def __init__(self, reply=None, live=("own", "peer"), known=2):
        self.handlers = {}
        self.kinds = []
        self.broadcasts = []
        self._reply = reply
        self._live = tuple(
            membership.Record(name, name, "r", "z", "a") for name in live
        )
        self._known = known

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def all_members(self, now):
        return self._live

    def visible_share(self, now):
        return len(self._live) / self._known

    def request(self, incarnation, kind, body, timeout_s):
        self.kinds.append(kind)
        if self._reply is None:
            raise membership.PeerUnreachableError("lost", "", has_sent=True)
        return self._reply

    def broadcast(self, kind, body):
        self.broadcasts.append(body)


class FleetLimiterTest(testtools.TestCase):
    def limiter(self, members):
        events = event_logs.new_event_log(self)
        registry = fleet.new_server_registry(events)
        registry.put(
            fleet.BackendEntry("i-1", "p", SERVER[1], "z", 1, False, 9, 1),
            "store",
            0.0,
        )
        self.now = 100.0
        limiter = limiting.new_fleet_limiter(
            registry, members, events, lambda: self.now
        )
        limiter.update({SERVER: 9}, self.now)
        return limiter

    def test_reports_of_a_server_that_changes_its_limit_are_bounded(self):
        """Guards against a server that floods the fleet with messages."""
        members = Peer()
        limiter = self.limiter(members)
        for number in range(200):
            self.now += 0.01
            limiter.record_answer(SERVER, number % 7, "", self.now, self.now)
            eventlet.sleep(0)
        self.assertLessEqual(len(members.broadcasts), 3)

    def test_malformed_reports_of_peers_are_rejected(self):
        """Guards against a limit that a faulty peer makes up."""
        members = Peer()
        limiter = self.limiter(members)
        report = members.handlers[limit_reports.REPORT_KIND]
        nan = float("nan")
        for limit_per_s, age_s in (
            *((-1.0, 0.0), (nan, 0.0), (1e9, 0.0), ("x", 0.0)),
            *((1.0, -1.0), (1.0, nan), (1.0, 1e9)),
        ):
            try:
                report("peer", [*SERVER, 9, limit_per_s, age_s])
            except (TypeError, ValueError):
                pass
            self.assertFalse(limiter.is_limited(SERVER), (limit_per_s, age_s))
        report("peer", [*SERVER, 9, 1.0, 0.5])
        self.assertTrue(limiter.is_limited(SERVER))

    def test_malformed_reply_of_the_owner_is_a_denial(self):
        """Guards against a request that fails for a peer's faulty reply."""
        for reply in ({}, {"is_granted": True, "report": [1]}, 7):
            members = Peer(reply, live=("peer",))
            limiter = self.limiter(members)
            limiter.record_answer(SERVER, 1.0, "", self.now, self.now)
            self.assertRaises(
                ratelimits.LimitReachedError,
                limiter.acquire,
                SERVER,
                ratelimits.PermitRequest(),
                self.now,
            )

    def test_zone_that_is_cut_off_uses_only_its_part(self):
        """Guards against two sides of a cut that each use the whole limit."""
        members = Peer(live=("own",), known=4)
        limiter = self.limiter(members)
        limiter.record_answer(SERVER, 8.0, "", self.now, self.now)
        self.assertEqual(0.5, limiter.interval_s(SERVER, self.now))
