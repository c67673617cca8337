"""Tests of the planner."""

import hypothesis
from hypothesis import strategies as st
import testtools

from savoryspar import placement
from tests.placement import builders

NAMES = [name for name, _ in builders.MODELS]
SETTINGS = hypothesis.settings(
    max_examples=200, deadline=None, derandomize=True, database=None
)
OPTIONS = placement.Options(loads_per_window=4.0)
AGES = st.sampled_from([0.0, 30.0, 100.0, 299.0, 301.0, 9999.0])
COPIES = st.lists(
    st.tuples(
        st.sampled_from([*NAMES, "gone"]),
        st.sampled_from(["ready", "ready", "loading", "failed"]),
        AGES,
        st.sampled_from([0.0, 1.0, 8.0, 30.0]),
    ),
    unique_by=lambda copy: copy[0],
    max_size=2,
)
ENGINES = st.lists(
    st.tuples(COPIES, st.lists(AGES, max_size=2)), min_size=1, max_size=6
)
SHEETS = st.builds(
    builders.new_sheet,
    st.tuples(*[st.integers(1, 3)] * 3),
    st.sets(st.sampled_from(NAMES), max_size=1),
)


def new_engines(drawn):
    return [
        builders.new_engine(f"e{number}", copies, load_ages=ages)
        for number, (copies, ages) in enumerate(drawn)
    ]


def plan(current, engines, now=0.0, options=OPTIONS, zones=1):
    return placement.plan(current, engines, zones, options, now)


def apply(engines, actions):
    """Applies the actions; loads end immediately, all else ages by 400 s."""
    for engine in engines:
        for copy in engine.copies.values():
            copy.age_s += 400.0
        engine.load_ages_s = tuple(age + 400.0 for age in engine.load_ages_s)
    by_name = {engine.name: engine for engine in engines}
    for action in actions:
        copies = by_name[action.engine].copies
        if isinstance(action, placement.Unload):
            del copies[action.model]
        else:
            copies[action.model] = placement.Copy(
                action.model, placement.CopyState.READY, 0.0, 0.0
            )


class PlanTest(testtools.TestCase):
    @SETTINGS
    @hypothesis.given(SHEETS, ENGINES, st.randoms(use_true_random=False))
    def test_plan_does_not_depend_on_the_order_of_reports(
        self, current, drawn, rng
    ):
        """Senders with different plans would send conflicting actions."""
        engines = new_engines(drawn)
        shuffled = [*engines]
        rng.shuffle(shuffled)
        self.assertEqual(
            [(type(a), a.engine, a.model) for a in plan(current, engines)],
            [(type(a), a.engine, a.model) for a in plan(current, shuffled)],
        )

    @SETTINGS
    @hypothesis.given(SHEETS, ENGINES)
    def test_limits_of_one_plan(self, current, drawn):
        """Loads fit slots and budget; last ready and young copies stay."""
        engines = new_engines(drawn)
        by_name = {engine.name: engine for engine in engines}
        actions = plan(current, engines)
        self.assertEqual(
            len(actions), len({action.engine for action in actions})
        )
        started = sum(
            age < 60.0 for engine in engines for age in engine.load_ages_s
        )
        loads = [a for a in actions if isinstance(a, placement.Load)]
        self.assertLessEqual(len(loads), max(0, 4 - started))
        for action in loads:
            engine = by_name[action.engine]
            held = set(engine.copies) | {action.model}
            self.assertLessEqual(len(held), engine.slots)
            self.assertIn(action.model, current.models)
        for action in actions:
            if isinstance(action, placement.Unload):
                copy = by_name[action.engine].copies[action.model]
                is_failed = copy.state is placement.CopyState.FAILED
                self.assertTrue(is_failed or copy.age_s >= OPTIONS.dwell_s)
        before = {name: builders.ready(engines, name) for name in NAMES}
        apply(engines, [a for a in actions if a not in loads])
        for name in NAMES:
            if current.models[name].active and before[name]:
                self.assertGreaterEqual(builders.ready(engines, name), 1)

    @SETTINGS
    @hypothesis.given(SHEETS, ENGINES)
    def test_plan_converges(self, current, drawn):
        """Actions that undo each other would overload the weight store."""
        engines = new_engines(drawn)
        for _ in range(40):
            apply(engines, plan(current, engines))
        loading = any(
            copy.state is placement.CopyState.LOADING
            for engine in engines
            for copy in engine.copies.values()
        )
        self.assertEqual((), plan(current, engines))
        if not loading:
            urgent = current.models["rush"]
            self.assertTrue(
                not urgent.active or builders.ready(engines, "rush") >= 1
            )

    def test_urgent_models_get_the_budget_first(self):
        """Many bulk loads must not delay the load of an urgent model."""
        engines = [builders.new_engine(f"e{n}") for n in range(4)]
        options = placement.Options(loads_per_window=1.0)
        actions = plan(builders.new_sheet(), engines, options=options)
        self.assertEqual(["rush"], [action.model for action in actions])

    def test_urgent_model_replaces_a_bulk_copy(self):
        """An urgent model must not wait while bulk copies fill all slots."""
        engines = [
            builders.new_engine(f"e{n}", [("night", "ready", 999.0, 0.0)], 1)
            for n in range(2)
        ]
        actions = plan(builders.new_sheet((1, 1, 2)), engines)
        self.assertEqual(
            [placement.Unload], [type(action) for action in actions]
        )

    def test_hysteresis(self):
        """Small changes of demand must not alternate loads and unloads."""
        for demand, expected in ((14.0, 3), (10.0, 2), (7.0, 2), (2.0, 1)):
            engines = [
                builders.new_engine(f"e{n}", [("rush", "ready", 999.0, demand)])
                for n in range(2)
            ] + [builders.new_engine("e2")]
            apply(engines, [
                a for a in plan(builders.new_sheet(), engines)
                if a.model == "rush"
            ])  # fmt: skip
            self.assertEqual(expected, builders.ready(engines, "rush"))

    def test_zones_share_the_weight_store(self):
        """All zones together must stay within the store's rate."""
        engines = [builders.new_engine("e", load_ages=[70.0, 200.0])]
        options = placement.Options(loads_per_window=4.0)
        budgets = [
            placement.load_budget(engines, zones, options, 0.0)
            for zones in (1, 2, 4, 8)
        ]
        self.assertEqual([4, 2, 1, 0], budgets)
