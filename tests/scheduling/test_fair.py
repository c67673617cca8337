"""Tests of fair queueing over workspaces."""

import random

import hypothesis
from hypothesis import strategies
import testtools

from savoryspar import scheduling
from savoryspar.scheduling import entries, fair

MAX_UNITS = 100
SLOTS = 4


class Simulation:
    """Drives a fair queue and counts the units used by each workspace."""

    def __init__(self, shares):
        self.queue = fair.FairQueue()
        self.shares = shares
        self.used = dict.fromkeys(shares, 0.0)
        self.running = []
        self.sequence = 0

    def push(self, workspace, cost, deadline_at=0.0):
        job = scheduling.Job(
            "r", workspace, self.shares[workspace], "bulk", "p", cost,
            deadline_at,
        )  # fmt: skip
        self.sequence += 1
        entry = entries.Entry(job, self.sequence)
        self.queue.push(entry)
        return entry

    def grant(self):
        entry = self.queue.pop()
        entry.status = entries.Status.GRANTED
        self.running.append(entry)
        return entry

    def use(self, number, units):
        entry = self.running[number % len(self.running)]
        units = min(units, MAX_UNITS - entry.used)
        entry.used += units
        self.used[entry.job.workspace] += units
        if entry.used > entry.charged:
            self.queue.charge(entry, entry.used - entry.charged)

    def release(self, number):
        entry = self.running.pop(number % len(self.running))
        self.queue.charge(entry, entry.used - entry.charged)
        self.queue.finish(entry)


class FairQueueTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(
        strategies.tuples(*[strategies.sampled_from([0.5, 1, 3])] * 3),
        strategies.tuples(*[strategies.integers(1, 8)] * 3),
        strategies.integers(0, 2**32),
    )
    def test_bound_of_two_backlogged_workspaces(self, shares, weights, seed):
        """The service of two workspaces must not differ beyond the bound.

        Estimates are too low or too high, and jobs finish in any order.
        """
        generator = random.Random(seed)
        simulation = Simulation(dict(zip("abc", shares, strict=True)))
        for _ in range(600):
            for name in "abc":
                account = simulation.queue.accounts.get(name)
                while account is None or account.backlog < 2:
                    simulation.push(
                        name, float(generator.randint(1, MAX_UNITS))
                    )
                    account = simulation.queue.accounts.get(name)
            step = generator.choices(("grant", "use", "release"), weights)[0]
            number = generator.randrange(SLOTS)
            if step == "grant" and len(simulation.running) < SLOTS:
                simulation.grant()
            elif step == "use" and simulation.running:
                simulation.use(number, generator.randint(1, MAX_UNITS))
            elif step == "release" and simulation.running:
                simulation.release(number)
            self.check_bound(simulation, "a", "b")
            self.check_bound(simulation, "b", "c")

    def check_bound(self, simulation, one, other):
        shares = simulation.shares
        difference = abs(
            simulation.used[one] / shares[one]
            - simulation.used[other] / shares[other]
        )
        bound = 2 * SLOTS * MAX_UNITS / min(shares[one], shares[other])
        self.assertLessEqual(difference, bound + 1e-6)

    def test_idle_time_earns_no_credit(self):
        """A workspace must not be served exclusively after an idle time."""
        simulation = Simulation({"busy": 1.0, "late": 1.0})
        for _ in range(60):
            simulation.push("busy", 10.0)
        for _ in range(20):
            simulation.use(0, 10) if simulation.grant() else None
            simulation.release(0)
        for _ in range(20):
            simulation.push("late", 10.0)
        served = [simulation.grant().job.workspace for _ in range(20)]
        self.assertIn(served.count("late"), (9, 10, 11))

    def test_debt_is_kept_while_briefly_idle(self):
        """A workspace must not clear its debt by being idle briefly."""
        simulation = Simulation({"flood": 1.0, "small": 1.0})
        for _ in range(30):
            simulation.push("small", 1.0)
        simulation.push("flood", 1.0)
        while simulation.grant().job.workspace != "flood":
            pass
        number = len(simulation.running) - 1
        simulation.use(number, 10)
        simulation.release(number)
        simulation.push("flood", 1.0)
        served = [simulation.grant().job.workspace for _ in range(8)]
        self.assertNotIn("flood", served)

    def test_refund_applies_immediately(self):
        """A job that uses less than its estimate must be refunded on release.

        Otherwise the workspace is passed over although it used less.
        """
        simulation = Simulation({"a": 1.0, "b": 1.0})
        simulation.push("a", 100.0)
        simulation.push("b", 50.0)
        for _ in range(3):
            simulation.push("a", 1.0)
            simulation.push("b", 1.0)
        simulation.grant()
        simulation.grant()
        simulation.use(0, 1)
        simulation.release(0)
        served = {simulation.grant().job.workspace for _ in range(3)}
        self.assertEqual({"a"}, served)

    def test_idle_workspaces_keep_no_state(self):
        """Accounts of idle workspaces must be deleted, to bound the memory.

        A deployment has up to 36,000 workspaces.
        """
        names = [f"w{number}" for number in range(2000)]
        simulation = Simulation(dict.fromkeys(names, 1.0))
        generator = random.Random(1)
        for name in names:
            simulation.push(name, float(generator.randrange(1, 50)))
        while simulation.queue.waiting:
            simulation.grant()
            simulation.use(0, 5)
            simulation.release(0)
        for number in range(600):
            simulation.push(names[number], 1.0)
            simulation.grant()
            simulation.release(0)
        self.assertEqual({}, simulation.queue.accounts)

    def test_earliest_deadline_first_within_a_workspace(self):
        """A job with a late deadline must not delay one with an early one."""
        simulation = Simulation({"a": 1.0})
        for deadline_at in (3.0, 1.0, 2.0):
            simulation.push("a", 1.0, deadline_at)
        order = [simulation.grant().job.deadline_at for _ in range(3)]
        self.assertEqual([1.0, 2.0, 3.0], order)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.lists(strategies.integers(0, 5), max_size=80))
    def test_drops_keep_sums_exact(self, choices):
        """A drop counted twice or not at all would distort the backlog."""
        simulation = Simulation({"a": 1.0, "b": 2.0})
        waiting = []
        for choice in choices:
            if choice < 4 or not waiting:
                waiting.append(simulation.push("ab"[choice % 2], choice + 1.0))
            else:
                entry = waiting.pop(choice % len(waiting))
                entry.status = entries.Status.DROPPED
                simulation.queue.discard(entry)
        self.assertEqual(len(waiting), simulation.queue.waiting)
        units = sum(entry.job.cost for entry in waiting)
        self.assertEqual(units, simulation.queue.units)
        found = simulation.queue.longest()
        longest = max(
            (
                sum(e.job.cost for e in waiting if e.job.workspace == name)
                / simulation.shares[name]
                for name in "ab"
            ),
            default=0.0,
        )
        self.assertEqual(longest, found[0] if found else 0.0)
        granted = [simulation.grant() for _ in waiting]
        self.assertEqual({id(e) for e in waiting}, {id(e) for e in granted})
