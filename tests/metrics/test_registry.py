"""Tests of the metrics of an entry process."""

import testtools
from testtools import matchers

from savoryspar.bench import deployments
from savoryspar.bench import fleet as fleet_lib
from savoryspar.metrics import registry


class MetricsTest(testtools.TestCase):
    def test_gauges_are_read_on_each_rendering(self):
        """Guards against a gauge that keeps an outdated value."""
        values = iter([3, 7])
        metrics = registry.new_metrics()
        metrics.set_gauge_reader("savoryspar_peers", lambda: next(values))
        self.assertIn(b"savoryspar_peers 3", metrics.render()[0])
        self.assertIn(b"savoryspar_peers 7", metrics.render()[0])

    def test_entry_process_exports_all_gauges(self):
        """Guards against a gauge without a value, on which no alarm fires."""
        with fleet_lib.Fleet() as fleet:
            entry = deployments.start(
                deployments.GESTO, fleet, entries=1, backends_share=0.1
            )[0]
            text = fleet.http.request("GET", f"{entry.url}/metrics").data
            for name in registry.GAUGES:
                self.assertThat(text.decode(), matchers.Contains(f"\n{name} "))
            self.assertIn(b"savoryspar_sheet_revision 1", text)
