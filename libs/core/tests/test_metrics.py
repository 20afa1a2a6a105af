"""Latency histograms, sliding quantiles and token budgets."""

from __future__ import annotations

import unittest

from mimosahoist.core.budget import TokenBudget
from mimosahoist.core.metrics import Metrics, SlidingQuantile


class MetricsTest(unittest.TestCase):
    def test_latency_quantiles_are_rendered(self) -> None:
        metrics = Metrics()
        for milliseconds in range(1, 101):
            metrics.latency("search").record(milliseconds / 1000)
        metrics.count("refused", 3)
        text = metrics.render()
        self.assertIn("mimosahoist_refused 3", text)
        self.assertIn("mimosahoist_search_count 100", text)
        self.assertAlmostEqual(metrics.latency("search").quantile(50), 0.05, delta=0.002)

    def test_sliding_quantile_drops_old_values(self) -> None:
        quantile = SlidingQuantile(50, 1.0)
        for _ in range(2 * quantile.WINDOW_SAMPLES):
            quantile.record(5.0)
        for _ in range(2 * quantile.WINDOW_SAMPLES):
            quantile.record(0.1)
        self.assertEqual(quantile.value, 0.1)


class TokenBudgetTest(unittest.TestCase):
    def test_extra_calls_stay_within_the_ratio(self) -> None:
        budget = TokenBudget(ratio=0.05, cap=10, initial=0)
        spent = 0
        for _ in range(1000):
            budget.earn()
            spent += budget.spend()
        self.assertLessEqual(spent, 50)
        self.assertGreaterEqual(spent, 49)
