"""Counters, gauges and HdrHistogram latencies."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_SECOND = 1_000_000
REPORTED_QUANTILES = (50.0, 90.0, 99.0, 99.9)


class LatencySummary(NamedTuple):
    """Quantiles of a latency in milliseconds."""

    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class Latency:
    """A histogram of durations in seconds."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Count one duration."""
        self.histogram.record_value(max(1, int(seconds * MICROSECONDS_PER_SECOND)))

    def quantile(self, percent: float) -> float:
        """Duration in seconds below which `percent` of the values lie."""
        return self.histogram.get_value_at_percentile(percent) / MICROSECONDS_PER_SECOND

    def summary(self) -> LatencySummary:
        """Quantiles for reports."""
        return LatencySummary(
            self.histogram.get_total_count(),
            self.quantile(50.0) * 1000,
            self.quantile(99.0) * 1000,
            self.quantile(99.9) * 1000,
            self.histogram.get_max_value() / 1000,
        )


class SlidingQuantile:
    """Quantile of the recent values, read cheaply and refreshed at intervals.

    Two histograms take turns, so that old values fall out after two windows.
    """

    WINDOW = 500

    def __init__(self, percent: float, initial: float) -> None:
        self.percent = percent
        self.value = initial
        self.samples: list[float] = []
        self.previous: list[float] = []

    def record(self, seconds: float) -> None:
        """Count one duration and refresh the quantile every few samples."""
        self.samples.append(seconds)
        if len(self.samples) % 100 == 0:
            self.refresh()
        if len(self.samples) >= self.WINDOW:
            self.previous = self.samples
            self.samples = []

    def refresh(self) -> None:
        """Compute the quantile anew."""
        ordered = sorted(self.previous + self.samples)
        self.value = ordered[min(len(ordered) - 1, int(len(ordered) * self.percent / 100))]


class Metrics:
    """All counters and latencies of one instance."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.latencies: dict[str, Latency] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += amount

    def latency(self, name: str) -> Latency:
        """Histogram of that name."""
        found = self.latencies.get(name)
        if found is None:
            found = Latency()
            self.latencies[name] = found
        return found

    def render(self) -> str:
        """Text form for scraping, one value a line."""
        lines = [f"mimosahoist_{name} {value}" for name, value in sorted(self.counters.items())]
        for name, latency in sorted(self.latencies.items()):
            for percent in REPORTED_QUANTILES:
                quantile = latency.quantile(percent)
                lines.append(
                    f'mimosahoist_{name}_seconds{{quantile="{percent / 100}"}} {quantile:.6f}'
                )
            lines.append(f"mimosahoist_{name}_count {latency.histogram.get_total_count()}")
        return "\n".join(lines) + "\n"
