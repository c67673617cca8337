"""Tests of the table of broken rules."""

import testtools

from tools import hunt_findings


def entry(*days):
    return {"site": "site-1", "head": "0123456789", "days": days}


def day(name, rules, troubles, seed=7):
    return {"name": name, "seed": seed, "rules": rules, "troubles": troubles}


class FindingsTest(testtools.TestCase):
    def test_days_that_broke_a_rule_are_grouped(self):
        """Guards against a finding that is missing from the table."""
        found = hunt_findings.findings(
            entry(
                day("quiet-1", {}, ["burst"]),
                day("scale-1", {"DRAIN": 3}, ["burst", "node_cut"]),
                day("mix --seed 9", {"DRAIN": 1}, ["node_cut", "hup"]),
            )
        )
        lines = hunt_findings.table(found)
        self.assertEqual(3, len(lines), lines)
        self.assertTrue(lines[0].startswith("DRAIN: 2 days"), lines)
        self.assertIn("on all of them: node_cut;", lines[0])
        self.assertIn("scale-1 --seed 7 (3 times, at 0123456)", lines[1])
        self.assertIn("site-1 mix --seed 9 (1 times", lines[2])

    def test_hunt_without_findings_has_no_lines(self):
        """Guards against findings for days without broken rules."""
        found = hunt_findings.findings(entry(day("quiet-1", {}, [])))
        self.assertEqual([], hunt_findings.table(found))
