"""Tests of the load generator."""

import random
import threading

import testtools

from savoryspar.bench import deployments, flows, load, tally
from savoryspar.bench import fleet as fleet_lib

CHAT = tally.WorkClass("calle-libre", "archive-digest", "bulk", 8000)
CHECK = tally.WorkClass("calle-libre", "status-check", "urgent", 2000)


class PlanTest(testtools.TestCase):
    def test_plan_is_repeated_by_its_seed(self):
        """Guards against a plan that differs between runs with one seed."""
        both = [flows.chat_flow(CHAT, 50), flows.pipeline_flow(CHECK, 200)]
        first = list(load.plan(both, 2.0, 7))
        self.assertEqual(first, list(load.plan(both, 2.0, 7)))
        self.assertNotEqual(first, list(load.plan(both, 2.0, 8)))
        self.assertEqual(first, sorted(first))

    def test_rates_are_met(self):
        """Guards against a load below the requested rate."""
        rng = random.Random(1)
        poisson = flows.pipeline_flow(CHECK, 500)
        fixed = flows.pipeline_flow(CHECK, 500, is_poisson=False)
        self.assertEqual(1000, len(list(fixed.arrivals(2.0, rng))))
        count = len(list(poisson.arrivals(2.0, rng)))
        self.assertTrue(900 < count < 1100, count)


class HungServerTest(testtools.TestCase):
    def test_arrivals_do_not_wait_for_answers(self):
        """Guards against a closed loop, which sends less to a slow system."""
        all_started = threading.Event()
        picks = []

        def pick():
            picks.append(1)
            if len(picks) == 20:
                all_started.set()
            all_started.wait(10)
            raise ConnectionRefusedError

        report = load.run(
            [flows.pipeline_flow(CHECK, 100, is_poisson=False)],
            [], 0.2, 1, pick=pick,
        )  # fmt: skip
        self.assertTrue(all_started.is_set())
        self.assertEqual((20, 20), (report.total().sent, report.total().failed))


class ReportTest(testtools.TestCase):
    def test_late_starts_are_reported(self):
        """Guards against results of a load generator that was too slow."""
        report = tally.Report(1.0)
        report.tally(CHAT).sent = 100
        report.tally(CHAT).late_starts = 1
        self.assertFalse(report.is_bottleneck())
        report.tally(CHAT).late_starts = 2
        self.assertTrue(report.is_bottleneck())

    def test_reports_of_processes_add_up(self):
        """Guards against a merge that loses the failures of a load process."""
        reports = []
        for seconds in (0.1, 0.3):
            report = tally.Report(1.0)
            entry = report.tally(CHAT)
            entry.sent, entry.refused = 3, {"not_run": 1}
            entry.latency.record(seconds)
            reports.append(tally.decode_report(report.to_document()))
        total = tally.merge_reports(reports).total(rank="bulk")
        self.assertEqual((6, {"not_run": 2}), (total.sent, total.refused))
        self.assertEqual(2, total.latency.count)
        self.assertAlmostEqual(0.3, total.latency.percentile(100), 3)


class DeploymentLoadTest(testtools.TestCase):
    def test_answers_are_counted_by_class(self):
        """Guards against answers that are miscounted or lost."""
        with fleet_lib.Fleet() as fleet:
            entry = deployments.start(
                deployments.GESTO, fleet, entries=1, backends_share=0.1
            )[0]
            sent = [
                flows.chat_flow(CHAT, 10, max_tokens=5),
                flows.pipeline_flow(CHECK, 20),
                flows.pipeline_flow(
                    tally.WorkClass("none", "status-check", "urgent", 2000), 10
                ),
            ]
            texts = []
            in_process = load.run(
                sent, [entry.address], 1.0, 3,
                on_answer=lambda flow, number, answer: texts.append(
                    answer.text() if flow is sent[0] else ""
                ),
            )  # fmt: skip
            in_workers = load.run(sent, [entry.address], 1.0, 3, processes=2)
        for report in (in_process, in_workers):
            chat, check = report.tally(CHAT), report.tally(CHECK)
            self.assertEqual(chat.sent, chat.whole)
            self.assertEqual(chat.sent * 5, chat.tokens)
            self.assertEqual(chat.sent * 4, chat.gap.count)
            self.assertEqual(check.sent, check.whole)
            unknown = report.total("none")
            self.assertEqual({"not_run": unknown.sent}, unknown.refused)
        self.assertEqual({5, 0}, {len(text.split()) for text in texts})
