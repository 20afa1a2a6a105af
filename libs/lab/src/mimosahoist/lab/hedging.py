"""Compares hedging policies by credit and by the hedge and retry budget that they use."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from mimosahoist.cli.output import print_table
from mimosahoist.core.metrics import SlidingQuantile
from mimosahoist.forward.route_timing import INITIAL_HEDGE_SHARE, RouteTiming
from mimosahoist.lab.forward_experiment import (
    TARGET_LATENCY_SECONDS,
    Scenario,
    ScenarioResult,
    run_scenario,
)

if TYPE_CHECKING:
    import argparse

FIXED_DELAYS_SECONDS = (0.03, 0.05)
PERCENTILES = (80.0, 88.0, 95.0)
MEDIANS_BEFORE_DEADLINE = (1.5, 4.0)
BUDGET_RATIOS = (0.1, 0.2)
SLOW_UPSTREAM_SHARES = (0.0, 0.15)


class FixedDelayTiming(RouteTiming):
    """Hedges a call after a fixed delay."""

    def __init__(self, delay_seconds: float) -> None:
        super().__init__(TARGET_LATENCY_SECONDS)
        self.delay_seconds = delay_seconds

    def hedge_delay(self, time_to_soft_deadline: float) -> float:
        """Seconds after which a call is hedged."""
        return self.delay_seconds


class PercentileTiming(RouteTiming):
    """Hedges a call after a percentile of recent latencies; the standard timing takes the 88th."""

    def __init__(self, percent: float) -> None:
        super().__init__(TARGET_LATENCY_SECONDS)
        self.hedge_percentile = SlidingQuantile(
            percent, TARGET_LATENCY_SECONDS * INITIAL_HEDGE_SHARE
        )


class BeforeDeadlineTiming(RouteTiming):
    """Hedges a call when a number of median latencies remain before the soft deadline."""

    def __init__(self, medians: float) -> None:
        super().__init__(TARGET_LATENCY_SECONDS)
        self.medians = medians

    def hedge_delay(self, time_to_soft_deadline: float) -> float:
        """Seconds after which a call is hedged."""
        return max(self.median.value, time_to_soft_deadline - self.medians * self.median.value)


class HedgingResult(NamedTuple):
    """Result of one policy with one budget ratio and share of slow upstreams."""

    way: str
    ratio: float
    slow_share: float
    figures: ScenarioResult


def create_timings() -> dict[str, RouteTiming]:
    """Create a new timing for each policy, by the policy's name."""
    timings: dict[str, RouteTiming] = {}
    for seconds in FIXED_DELAYS_SECONDS:
        timings[f"fixed {seconds * 1000:.0f} ms"] = FixedDelayTiming(seconds)
    for percent in PERCENTILES:
        timings[f"percentile {percent:.0f}"] = PercentileTiming(percent)
    for medians in MEDIANS_BEFORE_DEADLINE:
        timings[f"remaining {medians} medians"] = BeforeDeadlineTiming(medians)
    return timings


def compare_policies(seconds: float, seed: int) -> list[HedgingResult]:
    """Run every policy with the same pauses, budgets and slow upstreams."""
    results = []
    for slow_share in SLOW_UPSTREAM_SHARES:
        for ratio in BUDGET_RATIOS:
            for name, timing in create_timings().items():
                scenario = Scenario(name, repeat_ratio=ratio, slow_share=slow_share)
                figures = run_scenario(scenario, seconds, seed, timing)
                results.append(HedgingResult(name, ratio, slow_share, figures))
    return results


def plot_results(results: list[HedgingResult], path: Path) -> None:
    """Plot credit against extra sends, with one panel for each share of slow upstreams."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    figure, panels = pyplot.subplots(1, len(SLOW_UPSTREAM_SHARES), figsize=(12, 5))
    for panel, slow_share in zip(panels, SLOW_UPSTREAM_SHARES, strict=True):
        for name in create_timings():
            points = [
                (result.figures.extra_sends, result.figures.credit)
                for result in results
                if result.way == name and result.slow_share == slow_share
            ]
            panel.plot(*zip(*points, strict=True), marker="o", label=name)
        panel.set_title(f"{slow_share:.0%} of the upstreams slow")
        panel.set_xlabel("extra sends a shard call")
        panel.set_ylabel("credit")
    panels[-1].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=70, metadata={"Software": None})
    pyplot.close(figure)


def command(arguments: argparse.Namespace) -> int:
    """Print a table of all policies; with an output path, write the results and a plot."""
    results = compare_policies(arguments.seconds, arguments.seed)
    columns = ["way", "ratio", "slow", "credit", "complete", "extra sends", "p99 ms"]
    rows = [
        [
            result.way,
            str(result.ratio),
            str(result.slow_share),
            str(result.figures.credit),
            str(result.figures.complete),
            str(result.figures.extra_sends),
            str(result.figures.p99_ms),
        ]
        for result in results
    ]
    print_table(columns, rows)
    if arguments.output:
        path = Path(arguments.output)
        path.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1) + b"\n")
        plot_results(results, path.with_suffix(".png"))
    return 0
