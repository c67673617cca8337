"""Tests of the stages of one request."""

import testtools

from savoryspar import backends, fleet, stages
from tests.gateway import requests

POOLS = {
    name: fleet.StagePool(1, 2, 8, 0.15, 0.01, 36e6, 4.0)
    for name in ("a", "b", "c")
}
STAGES = (
    fleet.Stage("a", (), 3_000_000),
    fleet.Stage("a", (), 8_000),
    fleet.Stage("b", (1,), 60_000),
    fleet.Stage("c", (2,), 6_000),
)


def new_chain(pieces, stage_list=STAGES):
    return stages.new_chain(
        requests.caller_request(pieces=pieces),
        requests.route(stages=stage_list),
        POOLS,
        1,
        1.5,
        6.0,
    )


class ChainTest(testtools.TestCase):
    def test_stages_start_when_their_inputs_are_ready(self):
        """Guards against stages that start with only some of their inputs."""
        chain = new_chain((1, 1, 2, 3))
        self.assertEqual([0, 1], chain.ready(frozenset()))
        chain.finish(1, ["h1"])
        self.assertEqual([2], chain.ready(frozenset({0, 1})))
        self.assertEqual(("h1",), chain.group(2).inputs)

    def test_engine_inputs_are_the_final_results(self):
        """Guards against intermediate results in the inputs of the engine."""
        chain = new_chain((1, 1, 1, 2))
        for number, handles in enumerate((["a"], ["b"], ["c"], ["d", "e"])):
            chain.finish(number, handles)
        self.assertTrue(chain.is_done)
        self.assertEqual(["a", "d", "e"], chain.inputs())

    def test_stage_without_pieces_is_skipped(self):
        """Guards against waiting for a stage that the request omits."""
        chain = new_chain((0, 1, 1, 1))
        self.assertEqual([1], chain.ready(frozenset()))
        for number in (1, 2, 3):
            chain.finish(number, [str(number)])
        self.assertTrue(chain.is_done)
        self.assertEqual(["3"], chain.inputs())

    def test_consumed_results_are_returned_to_be_freed(self):
        """Guards against server memory filled with consumed results."""
        chain = new_chain((1, 1, 1, 1))
        chain.finish(1, ["h1"])
        self.assertEqual(["h1"], chain.finish(2, ["h2"]))

    def test_short_branch_is_delayed_for_the_long_one(self):
        """Guards against large results held until the other branch ends."""
        chain = new_chain((1, 1, 8, 8))
        idle = lambda pool: 0.0  # noqa: E731
        self.assertGreater(chain.delay_s(0, idle), 0.0)
        self.assertEqual(0.0, chain.delay_s(1, idle))

    def test_contested_branch_starts_first(self):
        """Guards against wasted work when the slow branch is refused.

        Seen on gesto, day scale-1.
        """
        chain = new_chain(
            (1, 0, 8, 8), (*STAGES[:2], fleet.Stage("b", (), 1), STAGES[3])
        )
        waits = {"a": 4.0}
        wait_s = lambda pool: waits.get(pool, 0.0)  # noqa: E731
        self.assertEqual(0.0, chain.delay_s(0, wait_s))
        self.assertGreater(chain.delay_s(2, wait_s), 1.0)

    def test_reported_waits_lengthen_the_expected_time(self):
        """Guards against starting requests that will miss their deadline."""
        chain = new_chain((1, 1, 8, 8))
        busy = chain.expected_s(lambda pool: 5.0, frozenset())
        self.assertGreater(busy, chain.left_s(0.0))
        idle = chain.expected_s(lambda pool: 0.0, frozenset())
        self.assertLess(idle, chain.left_s(0.0))

    def test_group_has_only_the_pieces_of_the_request(self):
        """Guards against pieces that are not part of the request."""
        chain = new_chain((2,))
        self.assertEqual([0], chain.ready(frozenset()))
        self.assertEqual(2, chain.group(0).pieces)
        self.assertIsInstance(chain.group(0).waiting[0], stages.Piece)
        self.assertIsInstance(requests.caller_request(), backends.CallerRequest)
