"""Tests of the tools that evaluate runs of the users' bench."""

import json

import testtools

from tools import lost_requests, play_days


def line(event, at, request="r1", **fields):
    text = json.dumps({"at": at, "event": event, "request": request, **fields})
    return f" 1.0000 edge-1 {text}"


LOG = [
    "built in 1.0 s",
    line("stage submitted", 1.1, stage=0, pool="p", wait_s=0.3, pieces=1),
    line("request admitted", 1.0, route="audit", rank=0),
    line("server chosen", 1.6, server="s"),
    line("first event", 1.8, after_s=0.8, objective_s=1.0),
    line("request admitted", 2.0, "r2", route="audit", rank=0),
    line("stage submitted", 2.1, "r2", stage=0, pool="p", wait_s=0.5),
    line("request failed", 3.0, "r2", reason="stage_late"),
    '{"at": 3.0, "event": "request fai',
]


class LostRequestsTest(testtools.TestCase):
    def test_each_attempt_gets_its_end_and_its_waits(self):
        """Guards against lost time attributed to the wrong stage."""
        rows = [*lost_requests.rows(lost_requests.read_traces(LOG))][1:]
        self.assertEqual(
            [
                ["audit", "in time", "1", "p", "1", "0.30", "0.50", "0.50"],
                ["audit", "stage_late", "1", "p", "1", "0.50", "0.90", "0.90"],
            ],
            [row[:-1] for row in rows],
        )
        self.assertEqual(["0.20", ""], [row[-1] for row in rows])


class PlayDaysTest(testtools.TestCase):
    def test_result_of_a_run_is_read(self):
        """Guards against a broken rule or an aborted day that is missed."""
        result = play_days.read_result(
            "day   own/srv  score  worth served refused failed  weakest part\n"
            "trouble-2   6/36   0.36  0.242  0.573   0.185  0.041  prices\n"
            "  DRAIN 3 requests\n"
            "snapshot f3202990\n"
        )
        self.assertEqual((0.242, 0.573), (result["worth"], result["served"]))
        self.assertEqual(["DRAIN"], result["broken"])
        self.assertEqual("f3202990", result["snapshot"])
        self.assertIsNone(play_days.read_result("given up")["worth"])

    def test_table_gives_means_by_mechanism(self):
        """Guards against a mean over runs of different variants."""
        results = [
            {"key": f"site/d/{n}/{off}", "worth": w, "served": w, "broken": []}
            for n, off, w in ((1, "none", 0.2), (2, "none", 0.4), (1, "x", 0.1))
        ]
        lines = play_days.table(results)[1:]
        self.assertEqual(["0.300", "0.100"], [li.split()[3] for li in lines])
