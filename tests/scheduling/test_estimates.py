"""Tests of streaming quantiles."""

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
        """A wrong p95 refuses work that fits or runs work in vain."""
        samples = samples[: len(samples) // 8 * 8]
        quantiles = estimates.Quantiles()
        for sample in samples:
            quantiles.add(sample)
        ordered = sorted(samples)
        for value, part in ((quantiles.p50_s, 50), (quantiles.p95_s, 95)):
            exact = ordered[-(-len(ordered) * part // 100) - 1]
            self.assertGreaterEqual(value, exact * 0.999)
            self.assertLessEqual(value, exact * estimates.RATIO * 1.001)

    def test_old_samples_fade(self):
        """A pool that recovered must not be refused for its past."""
        quantiles = estimates.Quantiles()
        for latency_s in [5.0] * 2000 + [0.1] * 4000:
            quantiles.add(latency_s)
        self.assertLess(quantiles.p95_s, 0.12)

    def test_size_without_samples_uses_the_pool_and_model(self):
        """A new size must not count as free."""
        known = estimates.Estimates()
        known.observe("p", "m", "bulk", 100.0, 1.0)
        self.assertGreater(known.p95_s("p", "m", "urgent", 3.0), 0.9)
        self.assertEqual(0.0, known.p95_s("p", "other", "bulk", 100.0))
