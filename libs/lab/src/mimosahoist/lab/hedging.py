"""Ways to choose when a call is doubled, side by side, by credit and by budget spent."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from mimosahoist.cli.output import print_table
from mimosahoist.core.metrics import SlidingQuantile
from mimosahoist.forward.route_timing import INITIAL_HEDGE_SHARE, RouteTiming
from mimosahoist.lab.forward_experiment import TARGET_SECONDS, Figures, Way, play

if TYPE_CHECKING:
    import argparse

FIXED_SECONDS = (0.03, 0.05)
PERCENTS = (80.0, 88.0, 95.0)
REMAINING_MEDIANS = (1.5, 4.0)
RATIOS = (0.1, 0.2)
SLOW_SHARES = (0.0, 0.15)


class FixedTiming(RouteTiming):
    """Doubles a call after the same time always."""

    def __init__(self, seconds: float) -> None:
        super().__init__(TARGET_SECONDS)
        self.seconds = seconds

    def hedge_delay(self, time_to_soft_deadline: float) -> float:
        """Seconds after which a call is doubled."""
        return self.seconds


class QuantileTiming(RouteTiming):
    """Doubles a call after a percentile of recent answer times, as the product does at 88."""

    def __init__(self, percent: float) -> None:
        super().__init__(TARGET_SECONDS)
        self.hedge_percentile = SlidingQuantile(percent, TARGET_SECONDS * INITIAL_HEDGE_SHARE)


class RemainingTiming(RouteTiming):
    """Doubles a call at the last moment that leaves some typical answer times before the aim."""

    def __init__(self, medians: float) -> None:
        super().__init__(TARGET_SECONDS)
        self.medians = medians

    def hedge_delay(self, time_to_soft_deadline: float) -> float:
        """Seconds after which a call is doubled."""
        return max(self.median.value, time_to_soft_deadline - self.medians * self.median.value)


class HedgingResult(NamedTuple):
    """Figures of one way at one budget."""

    way: str
    ratio: float
    slow_share: float
    figures: Figures


def timings() -> dict[str, RouteTiming]:
    """A fresh timing for each way."""
    found: dict[str, RouteTiming] = {}
    for seconds in FIXED_SECONDS:
        found[f"fixed {seconds * 1000:.0f} ms"] = FixedTiming(seconds)
    for percent in PERCENTS:
        found[f"percentile {percent:.0f}"] = QuantileTiming(percent)
    for medians in REMAINING_MEDIANS:
        found[f"remaining {medians} medians"] = RemainingTiming(medians)
    return found


def compare(seconds: float, seed: int) -> list[HedgingResult]:
    """Play every way with the same pauses, budgets and slow upstreams."""
    results = []
    for slow_share in SLOW_SHARES:
        for ratio in RATIOS:
            for name, timing in timings().items():
                way = Way(name, repeat_ratio=ratio, slow_share=slow_share)
                figures = play(way, seconds, seed, timing)
                results.append(HedgingResult(name, ratio, slow_share, figures))
    return results


def plot(results: list[HedgingResult], path: Path) -> None:
    """Credit by sends spent, a panel for each share of slow upstreams."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    figure, panels = pyplot.subplots(1, len(SLOW_SHARES), figsize=(12, 5))
    for panel, slow_share in zip(panels, SLOW_SHARES, strict=True):
        for name in timings():
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
    """Print all ways side by side; write figures and a plot."""
    results = compare(arguments.seconds, arguments.seed)
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
        plot(results, path.with_suffix(".png"))
    return 0
