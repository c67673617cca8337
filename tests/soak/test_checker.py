"""Tests that the checker of a soak detects each kind of violation."""

import testtools

from savoryspar.soak import checker, environment


def events(attempt_id, numbers):
    return b"".join(
        f"id: {n}\ndata: {attempt_id}-{n}\n\n".encode() for n in numbers
    )


class CheckerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.run_records = environment.RunRecords()

    def answer(self, route, status=200, body=b"", is_complete=True):
        answer = checker.Answer("a", route, "vm-0", 1.0)
        answer.status, answer.body, answer.is_complete = (
            status,
            body,
            is_complete,
        )
        return answer

    def violations(self, answer, stable_from=9.0):
        return checker.find_violations(
            [answer], self.run_records, {"vm-0": stable_from}
        )

    def test_complete_own_answers_violate_nothing(self):
        """Guards against a checker that reports correct answers."""
        complete = events("a", range(environment.STREAM_EVENTS))
        self.assertEqual(
            [], self.violations(self.answer("chat", body=complete))
        )
        order = self.answer("order", body=b"a:orders-1")
        self.assertEqual([], self.violations(order, stable_from=0.0))

    def test_order_that_ran_twice(self):
        """Guards against a checker that misses a duplicated order."""
        self.run_records.runs["a"] = 2
        self.assertEqual(1, len(self.violations(self.answer("order", 502))))

    def test_run_reported_as_not_run(self):
        """Guards against a caller that sends an order again after it ran."""
        self.run_records.sends["a"] = 1
        self.assertEqual(1, len(self.violations(self.answer("order", 503))))
        self.assertEqual(0, len(self.violations(self.answer("order", 504))))

    def test_answer_of_another_caller(self):
        """Guards against answers swapped on a kept-alive connection."""
        mixed = self.answer("lookup", body=b"b:lookups-0")
        self.assertEqual(1, len(self.violations(mixed)))
        stream = self.answer(
            "chat", body=events("b", range(3)), is_complete=False
        )
        self.assertEqual(1, len(self.violations(stream)))

    def test_stream_with_a_gap(self):
        """Guards against events that a resumed stream skips."""
        gap = events("a", [0, 1, 3])
        self.assertEqual(
            1,
            len(
                self.violations(
                    self.answer("resume", body=gap, is_complete=False)
                )
            ),
        )

    def test_short_stream_that_ends_as_complete(self):
        """Guards against a truncated stream that callers take as complete."""
        short = self.answer("chat", body=events("a", range(4)))
        self.assertEqual(1, len(self.violations(short)))

    def test_truncation_without_a_fault(self):
        """Guards against drains and restarts that truncate answers."""
        truncated = self.answer(
            "chat", body=events("a", range(4)), is_complete=False
        )
        self.assertEqual(0, len(self.violations(truncated)))
        self.assertEqual(1, len(self.violations(truncated, stable_from=0.5)))


class LimitTest(testtools.TestCase):
    def test_arrivals_above_a_limit_are_found(self):
        """Guards against a checker that accepts any number of requests."""
        arrivals = [10.0 + 0.25 * n for n in range(17)]
        self.assertEqual(
            16, checker.worst_window(arrivals, since=9.0, until=99.0, held=())
        )
        self.assertEqual(
            8, checker.worst_window(arrivals, since=9.0, until=12.0, held=())
        )

    def test_requests_that_a_proxy_held_back_are_left_out(self):
        """Guards against a violation that the soak itself causes."""
        arrivals = [*range(10), *([20.0] * 9)]
        self.assertEqual(
            4,
            checker.worst_window(arrivals, since=0.0, until=99.0, held=[20.0]),
        )
