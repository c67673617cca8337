"""Tests of the HTML report."""

import pathlib
import tempfile

import testtools

from savoryspar.bench import histograms, report, results, tally


class ReportTest(testtools.TestCase):
    def test_last_row_of_a_measure_counts_and_plots_are_embedded(self):
        """Guards against outdated rows and missing plots in the report."""
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            rows = folder / "rows.jsonl"
            for ours in (5.0, 1.25):
                row = results.new_row("s", "gap", "ms", "<= 3", ours, 1, 9.0)
                results.append_rows(rows, [row])
            zero = results.new_row("s", "lost <b>", "count", "== 0", 0, 1)
            results.append_rows(rows, [zero])
            times = tally.Histogram()
            times.record(0.01)
            histograms.keep("gap", times)
            histograms.append_kept(folder / "times.jsonl", "s")
            report.write_report(
                rows, folder / "times.jsonl", folder / "report.html"
            )
            text = (folder / "report.html").read_text("utf-8")
        self.assertIn("2 of 2 targets held", text)
        self.assertIn("<td>1.25</td>", text)
        self.assertNotIn("<td>5</td>", text)
        self.assertIn("lost &lt;b&gt;", text)
        self.assertEqual(2, text.count("data:image/png;base64,"))
