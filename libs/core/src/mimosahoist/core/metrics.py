"""Counters, latency histograms and sliding quantiles."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

LOWEST_TRACKABLE_MICROSECONDS = 1
HIGHEST_TRACKABLE_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_SECOND = 1_000_000
REPORTED_PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class LatencySummary(NamedTuple):
    """Number of recorded durations and their quantiles in milliseconds."""

    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class Latency:
    """HdrHistogram of durations, recorded and read in seconds."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(
            LOWEST_TRACKABLE_MICROSECONDS, HIGHEST_TRACKABLE_MICROSECONDS, SIGNIFICANT_DIGITS
        )

    def record(self, seconds: float) -> None:
        """Record one duration."""
        self.histogram.record_value(max(1, int(seconds * MICROSECONDS_PER_SECOND)))

    def quantile(self, percent: float) -> float:
        """Return the duration in seconds below which `percent` percent of the values lie."""
        return self.histogram.get_value_at_percentile(percent) / MICROSECONDS_PER_SECOND

    def summary(self) -> LatencySummary:
        """Return the quantiles that reports show."""
        return LatencySummary(
            self.histogram.get_total_count(),
            self.quantile(50.0) * 1000,
            self.quantile(99.0) * 1000,
            self.quantile(99.9) * 1000,
            self.histogram.get_max_value() / 1000,
        )


class SlidingQuantile:
    """Quantile of recent values, recomputed at intervals so that reading it is cheap.

    It covers the current and the previous window of samples, so a value drops out after at most
    two windows.

    Parameters
    ----------
    initial : float
        Value until the first computation.
    first_samples : int
        Number of samples at which the quantile is computed first.
    """

    WINDOW_SAMPLES = 500
    REFRESH_SAMPLES = 100

    def __init__(
        self, percent: float, initial: float, first_samples: int = REFRESH_SAMPLES
    ) -> None:
        self.percent = percent
        self.value = initial
        self.next_refresh = first_samples
        self.samples: list[float] = []
        self.previous: list[float] = []

    def record(self, seconds: float) -> None:
        """Record one duration; recompute the quantile when due."""
        self.samples.append(seconds)
        if len(self.samples) >= self.next_refresh:
            self.refresh()
            self.next_refresh += min(self.next_refresh, self.REFRESH_SAMPLES)
        if len(self.samples) >= self.WINDOW_SAMPLES:
            self.previous = self.samples
            self.samples = []
            self.next_refresh = self.REFRESH_SAMPLES

    def refresh(self) -> None:
        """Recompute the quantile."""
        ordered = sorted(self.previous + self.samples)
        self.value = ordered[min(len(ordered) - 1, int(len(ordered) * self.percent / 100))]


class Metrics:
    """Counters and latency histograms of one instance."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.latencies: dict[str, Latency] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Increase a counter by `amount`."""
        self.counters[name] += amount

    def latency(self, name: str) -> Latency:
        """Return the latency histogram of that name, creating it on first use."""
        found = self.latencies.get(name)
        if found is None:
            found = Latency()
            self.latencies[name] = found
        return found

    def render(self) -> str:
        """Return all values in the text form for scraping, one per line."""
        lines = [f"mimosahoist_{name} {value}" for name, value in sorted(self.counters.items())]
        for name, latency in sorted(self.latencies.items()):
            for percent in REPORTED_PERCENTILES:
                quantile = latency.quantile(percent)
                lines.append(
                    f'mimosahoist_{name}_seconds{{quantile="{percent / 100}"}} {quantile:.6f}'
                )
            lines.append(f"mimosahoist_{name}_count {latency.histogram.get_total_count()}")
        return "\n".join(lines) + "\n"
