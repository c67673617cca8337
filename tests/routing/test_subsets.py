"""Tests of subsets and retry budgets."""

import collections

import hypothesis
from hypothesis import strategies
import testtools

from savoryspar.routing import budgets, subsets
from tests.routing import builders


def names(prefix, count):
    return [f"{prefix}{number}" for number in range(count)]


class SubsetTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
    @hypothesis.given(
        strategies.integers(1, 40),
        strategies.integers(1, 60),
        strategies.integers(1, 30),
    )
    def test_every_server_is_used_and_none_by_too_many(
        self, entries, servers, size
    ):
        """A server outside every subset would be idle."""
        assigned = subsets.assign(
            names("e", entries), names("s", servers), size
        )
        used = collections.Counter(s for a in assigned.values() for s in a)
        mean = sum(used.values()) / servers
        self.assertEqual(servers, len(used))
        self.assertLessEqual(max(used.values()), mean + 2)
        self.assertTrue(all(len(set(a)) == len(a) for a in assigned.values()))

    def test_removing_one_entry_moves_few_servers(self):
        """Reassigning most servers on a restart would lose their caches."""
        entries, servers = names("e", 38), names("s", 160)
        before = subsets.assign(entries, servers, 24)
        after = subsets.assign(entries[1:], servers, 24)
        moved = sum(len({*after[e]} - {*before[e]}) for e in after)
        self.assertLess(moved, 0.15 * 37 * 24)

    def test_router_uses_its_subset_only(self):
        """State for every server of the fleet would use too much memory."""
        router = builders.new_router([])
        servers = [builders.new_server(n) for n in names("s", 160)]
        entries = [builders.new_server(n, pool="") for n in names("e", 38)]
        router.replace_servers(servers, 0.0, (), entries)
        used = {s.name for s in router.servers_of("lm")}
        expected = subsets.assign(names("e", 38), names("s", 160), 24)
        self.assertEqual({*expected["e1"]}, used)


class RetryBudgetTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.lists(strategies.booleans(), max_size=500))
    def test_retries_stay_within_the_ratio_and_the_reserve(self, failures):
        """Unbounded retries multiply the load of a failing pool."""
        budget = budgets.RetryBudget(0.08, 3)
        retries = 0
        for calls, is_failed in enumerate(failures, start=1):
            budget.earn()
            while is_failed and budget.has_token:
                budget.spend()
                retries += 1
            self.assertLessEqual(retries, 3 + 0.08 * calls)
