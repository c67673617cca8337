"""Tests of the judge: a soak that finds nothing must be able to find it."""

import testtools

from savoryspar.soak import judge, world


def events(attempt_id, numbers):
    return b"".join(
        f"id: {n}\ndata: {attempt_id}-{n}\n\n".encode() for n in numbers
    )


class JudgeTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.run_records = world.RunRecords()

    def answer(self, route, status=200, body=b"", is_whole=True):
        answer = judge.Answer("a", route, "vm-0", 1.0)
        answer.status, answer.body, answer.is_whole = status, body, is_whole
        return answer

    def broken(self, answer, calm_at=9.0):
        return judge.broken_rules([answer], self.run_records, {"vm-0": calm_at})

    def test_whole_own_answers_break_nothing(self):
        """Guards against a judge that calls everything broken."""
        whole = events("a", range(world.STREAM_EVENTS))
        self.assertEqual([], self.broken(self.answer("chat", body=whole)))
        order = self.answer("order", body=b"a:orders-1")
        self.assertEqual([], self.broken(order, calm_at=0.0))

    def test_order_that_ran_twice(self):
        """Guards against a double booking that nobody sees."""
        self.run_records.runs["a"] = 2
        self.assertEqual(1, len(self.broken(self.answer("order", 502))))

    def test_false_promise_of_not_run(self):
        """Guards against a caller that books again on a false promise."""
        self.run_records.sends["a"] = 1
        self.assertEqual(1, len(self.broken(self.answer("order", 503))))
        self.assertEqual(0, len(self.broken(self.answer("order", 504))))

    def test_answer_of_another_caller(self):
        """Guards against answers that are mixed up on a kept connection."""
        mixed = self.answer("lookup", body=b"b:lookups-0")
        self.assertEqual(1, len(self.broken(mixed)))
        stream = self.answer("chat", body=events("b", range(3)), is_whole=False)
        self.assertEqual(1, len(self.broken(stream)))

    def test_stream_with_a_gap(self):
        """Guards against events that a resumed stream leaves out."""
        gap = events("a", [0, 1, 3])
        self.assertEqual(
            1, len(self.broken(self.answer("resume", body=gap, is_whole=False)))
        )

    def test_short_stream_that_looks_whole(self):
        """Guards against a lost end that callers take for the answer."""
        short = self.answer("chat", body=events("a", range(4)))
        self.assertEqual(1, len(self.broken(short)))

    def test_cut_without_a_fault(self):
        """Guards against drains and restarts that cut answers."""
        cut = self.answer("chat", body=events("a", range(4)), is_whole=False)
        self.assertEqual(0, len(self.broken(cut)))
        self.assertEqual(1, len(self.broken(cut, calm_at=0.5)))
