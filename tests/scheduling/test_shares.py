"""Tests of the division of slots among VMs and of peer reports."""

import hypothesis
from hypothesis import strategies
import testtools

from savoryspar import conf, scheduling
from savoryspar.scheduling import entries, shares

FLOORS = {"urgent": 0.0, "standard": 0.2, "bulk": 0.1}

BACKLOGS = strategies.builds(
    shares.VmBacklog,
    strategies.integers(0, 60),
    strategies.dictionaries(
        strategies.sampled_from([*FLOORS]),
        strategies.dictionaries(
            strategies.sampled_from(["a", "b", "c", shares.OTHER_WORKSPACES]),
            strategies.tuples(
                strategies.sampled_from([0.5, 1.0, 3.0]),
                strategies.floats(0.0, 1e6),
            ),
        ),
    ),
)


def backlog(demand, **workspaces):
    by_name = {name: (1.0, units) for name, units in workspaces.items()}
    return shares.VmBacklog(demand, {"bulk": by_name})


class DivideTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        strategies.integers(0, 200),
        strategies.lists(strategies.none() | BACKLOGS, min_size=1, max_size=9),
    )
    def test_shares_add_up_and_no_slot_idles(self, capacity, reports):
        """Too few slots in total waste capacity; too many overload the pool."""
        members = [f"vm{number}" for number in range(len(reports))]
        fresh = {
            name: report
            for name, report in zip(members, reports, strict=True)
            if report is not None
        }
        slots = shares.divide(capacity, members, fresh, FLOORS)
        self.assertEqual(capacity, sum(slots.values()))
        self.assertGreaterEqual(min(slots.values()), 0)
        if len(fresh) == len(members) and capacity >= len(members):
            short = [n for n in members if slots[n] < fresh[n].demand]
            spare = [n for n in members if slots[n] > fresh[n].demand + 1]
            self.assertFalse(short and spare, (slots, short, spare))

    def test_stale_peer_gets_an_equal_split(self):
        """A peer without a fresh report must not be left without slots."""
        fresh = {"x": backlog(90, a=900.0)}
        slots = shares.divide(12, ["x", "y", "z"], fresh, FLOORS)
        self.assertEqual({"x": 4, "y": 4, "z": 4}, slots)

    def test_flood_at_one_vm_does_not_take_the_slots_of_another(self):
        """Slots must follow from the shares, not from the queue length."""
        fresh = {"x": backlog(900, a=9000.0), "y": backlog(9, b=90.0)}
        slots = shares.divide(16, ["x", "y"], fresh, FLOORS)
        self.assertEqual({"x": 8, "y": 8}, slots)

    def test_workspace_at_many_vms_counts_once(self):
        """A workspace must not gain slots by spreading requests over VMs."""
        spread = {f"v{n}": backlog(99, a=100.0) for n in range(3)}
        fresh = {**spread, "w": backlog(99, b=100.0)}
        slots = shares.divide(60, [*fresh], fresh, FLOORS)
        self.assertEqual(30, slots["w"])

    def test_urgent_work_weighs_more_than_bulk(self):
        """A VM with urgent work must get what the other ranks' floors leave."""
        urgent = shares.VmBacklog(99, {"urgent": {"u": (1.0, 5.0)}})
        fresh = {"x": urgent, "y": backlog(99, b=900.0)}
        slots = shares.divide(100, ["x", "y"], fresh, FLOORS)
        self.assertGreaterEqual(slots["x"], 88)


class ExchangeTest(testtools.TestCase):
    def new_pair(self, slots=8):
        names = ("one", "two")
        return [
            scheduling.new_scheduler(
                lambda pool, now: slots,
                conf.default_section("scheduling"),
                own,
                lambda now: names,
            )
            for own in names
        ]

    def exchange(self, pair, now):
        reports = [scheduler.service_report(now) for scheduler in pair]
        for number, scheduler in enumerate(pair):
            name = ("one", "two")[1 - number]
            scheduler.store_peer_report(name, reports[1 - number], now)
        return reports

    def job(self, workspace, cost=1.0):
        return scheduling.Job(
            "r", workspace, 1.0, "bulk", "p", cost, 1000.0
        )  # fmt: skip

    def test_remote_service_is_charged_once(self):
        """Service by a peer must be charged exactly once.

        Heartbeats may skip and repeat reports.
        """
        one, two = self.new_pair(slots=2)
        running = [one.submit(self.job("a"), 0.0)]
        submitted = [one.submit(self.job(n), 0.0) for n in "abababab"]
        one.store_peer_report("two", two.service_report(0.0), 0.0)
        two.submit(self.job("a", cost=3.0), 0.0)
        # The first report that includes the service is lost.
        two.service_report(0.0)
        report = two.service_report(0.0)
        for _ in range(2):
            one.store_peer_report("two", report, 0.0)
        order = []
        while len(order) < 8:
            one.release(running.pop(), 0.0, is_complete=False)
            granted = [
                e for e in submitted if e.status is entries.Status.GRANTED
            ]
            running += granted
            submitted = [e for e in submitted if e.is_waiting]
            order += [e.job.workspace for e in granted]
        self.assertEqual("bbbb", "".join(order[:4]))

    def test_idle_vm_gives_its_slots_to_the_busy_one(self):
        """Slots of a VM without work must not stay idle."""
        one, two = self.new_pair()
        for _ in range(20):
            one.submit(self.job("a"), 0.0)
        self.assertEqual(16, one.waiting("p"))
        self.exchange((one, two), 0.1)
        self.assertEqual(
            (7, 1), (one.capacity("p", 0.1), two.capacity("p", 0.1))
        )
        self.assertEqual(13, one.waiting("p"))

    def test_stale_reports_restore_an_equal_split(self):
        """A network partition must not leave one side without slots."""
        one, two = self.new_pair()
        for _ in range(20):
            one.submit(self.job("a"), 0.0)
        self.exchange((one, two), 0.1)
        self.assertEqual(
            (4, 4), (one.capacity("p", 9.0), two.capacity("p", 9.0))
        )

    def test_report_is_bounded(self):
        """A report of every workspace would exceed the size of a heartbeat."""
        one, _ = self.new_pair()
        for number in range(200):
            one.submit(self.job(f"w{number}"), 0.0)
        report = one.service_report(0.0)
        self.assertLessEqual(len(report["service"]["bulk"]["p"]), 16)
        self.assertEqual(5, len(report["backlog"]["p"][1]["bulk"]))
