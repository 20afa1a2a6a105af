"""Sequential probability ratio test on failures and slowness of a new version."""

from __future__ import annotations

import math
from typing import NamedTuple

FALSE_ALARM = 1e-5
MISS = 1e-2
REJECT_LOG_RATIO = math.log((1 - MISS) / FALSE_ALARM)
FAILURE_FLOOR = 0.01
FAILURE_FACTOR = 3.0
FAILURE_INCREASE = 0.05
SLOW_FLOOR = 0.05
SLOW_FACTOR = 3.0
SLOW_INCREASE = 0.15
PRIOR_WEIGHT = 20.0
MAX_PROBABILITY = 0.9


class Counts(NamedTuple):
    """Exchanges with one version on one route."""

    total: int = 0
    failed: int = 0
    slow: int = 0


def smoothed(hits: int, total: int, floor: float) -> float:
    """Estimated probability that is never below `floor`."""
    return max(floor, (hits + PRIOR_WEIGHT * floor) / (total + PRIOR_WEIGHT))


def log_ratio(hits: int, total: int, healthy: float, faulty: float) -> float:
    """Log likelihood ratio of the faulty against the healthy hypothesis."""
    misses = total - hits
    return hits * math.log(faulty / healthy) + misses * math.log((1 - faulty) / (1 - healthy))


def is_faulty(hits: int, total: int, healthy: float, factor: float, increase: float) -> bool:
    """Whether the counts reject the healthy hypothesis."""
    if total == 0 or hits == 0:
        return False
    healthy = min(healthy, MAX_PROBABILITY - increase)
    faulty = min(MAX_PROBABILITY, max(healthy * factor, healthy + increase))
    return log_ratio(hits, total, healthy, faulty) >= REJECT_LOG_RATIO


def judge(old: Counts, new: Counts) -> str | None:
    """Reason why the new version is bad, or None.

    The old version's counts on the same route, taken at the same time, set what is healthy.
    """
    failed = smoothed(old.failed, old.total, FAILURE_FLOOR)
    if is_faulty(new.failed, new.total, failed, FAILURE_FACTOR, FAILURE_INCREASE):
        return f"{new.failed} of {new.total} exchanges failed"
    slow = smoothed(old.slow, old.total, SLOW_FLOOR)
    if is_faulty(new.slow, new.total, slow, SLOW_FACTOR, SLOW_INCREASE):
        return f"{new.slow} of {new.total} exchanges were slow"
    return None
