"""Latencies of a route's calls and time budgets of its callers, for hedge and deadline times."""

from __future__ import annotations

from collections import deque

from mimosahoist.core.metrics import SlidingQuantile

MEDIAN_PERCENTILE = 50.0
HEDGE_PERCENTILE = 88.0
# Initial quantiles as shares of the target latency, used until calls have been recorded.
INITIAL_MEDIAN_SHARE = 0.15
INITIAL_HEDGE_SHARE = 0.35
TIME_BUDGET_SAMPLES = 64
# The lowest median is forgotten slowly, so that it outlasts a time of long queues.
UNLOADED_GROWTH = 1.0005


class RouteTiming:
    """Quantiles of one route's call latencies in seconds.

    Callers that retry have less time left than on their first attempt, so the largest of the
    recent time budgets is taken as the total time of a caller.

    Attributes
    ----------
    unloaded_seconds : float
        Median latency in times without queues: the lowest of the recent medians.
    """

    def __init__(self, target_latency: float) -> None:
        self.median = SlidingQuantile(MEDIAN_PERCENTILE, target_latency * INITIAL_MEDIAN_SHARE)
        self.hedge_percentile = SlidingQuantile(
            HEDGE_PERCENTILE, target_latency * INITIAL_HEDGE_SHARE
        )
        self.unloaded_seconds = self.median.value
        self.time_budgets: deque[float] = deque(maxlen=TIME_BUDGET_SAMPLES)

    def record(self, seconds: float) -> None:
        """Record the latency of one call."""
        self.median.record(seconds)
        self.hedge_percentile.record(seconds)
        grown = self.unloaded_seconds * UNLOADED_GROWTH
        self.unloaded_seconds = min(grown, self.median.value)

    def already_waited(self, time_left: float) -> float:
        """Estimated seconds that a caller has spent on earlier attempts."""
        self.time_budgets.append(time_left)
        return max(self.time_budgets) - time_left

    def hedge_delay(self, time_to_soft_deadline: float) -> float:
        """Seconds after which a call is hedged.

        Early enough for the hedge to be answered in the usual time before the soft deadline, but
        no less than the median latency.
        """
        latest = time_to_soft_deadline - 1.5 * self.median.value
        return max(self.median.value, min(self.hedge_percentile.value, latest))
