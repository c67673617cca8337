"""Tests of latency estimates."""

import hypothesis
from hypothesis import strategies
import testtools

from savoryspar.scheduling import estimates


class QuantilesTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.floats(0.001, 60.0), min_size=8, max_size=400
        )
    )
    def test_close_to_exact_quantiles(self, samples):
        """A wrong p95 rejects feasible jobs or runs jobs that end late."""
        samples = samples[: len(samples) // 8 * 8]
        quantiles = estimates.Quantiles()
        for sample in samples:
            quantiles.add(sample)
        ordered = sorted(samples)
        for value, part in ((quantiles.p50_s, 50), (quantiles.p95_s, 95)):
            exact = ordered[-(-len(ordered) * part // 100) - 1]
            self.assertGreaterEqual(value, exact * 0.999)
            self.assertLessEqual(value, exact * estimates.BUCKET_RATIO * 1.001)

    def test_old_samples_decay(self):
        """Jobs must not be rejected because of a pool's outdated latencies."""
        quantiles = estimates.Quantiles()
        for latency_s in [5.0] * 2000 + [0.1] * 4000:
            quantiles.add(latency_s)
        self.assertLess(quantiles.p95_s, 0.12)

    def test_cost_without_samples_falls_back_to_the_pool_and_model(self):
        """A cost without samples must not be estimated as zero latency."""
        known = estimates.Estimates()
        known.observe("p", "m", "bulk", 100.0, 1.0)
        self.assertGreater(known.p95_s("p", "m", "urgent", 3.0), 0.9)
        self.assertEqual(0.0, known.p95_s("p", "other", "bulk", 100.0))
