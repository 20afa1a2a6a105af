"""Sequential probability ratio test on the failures and slow exchanges of a new version."""

from __future__ import annotations

import math
from typing import NamedTuple

FALSE_POSITIVE_RATE = 1e-5
FALSE_NEGATIVE_RATE = 1e-2
REJECT_LOG_LIKELIHOOD_RATIO = math.log((1 - FALSE_NEGATIVE_RATE) / FALSE_POSITIVE_RATE)
# Too little to reject a version, but enough not to accept it yet.
DOUBT_LOG_LIKELIHOOD_RATIO = math.log(20.0)
MIN_FAILURE_RATE = 0.01
FAILURE_FACTOR = 3.0
FAILURE_INCREASE = 0.05
MIN_SLOW_RATE = 0.05
SLOW_FACTOR = 3.0
SLOW_INCREASE = 0.15
PRIOR_WEIGHT = 20.0
MAX_PROBABILITY = 0.9


class Counts(NamedTuple):
    """Numbers of exchanges with one version on one route."""

    total: int = 0
    failed: int = 0
    slow: int = 0


def smoothed_rate(events: int, total: int, floor: float) -> float:
    """Return the estimated event rate, smoothed towards `floor` and never below it."""
    return max(floor, (events + PRIOR_WEIGHT * floor) / (total + PRIOR_WEIGHT))


def log_likelihood_ratio(events: int, total: int, healthy: float, faulty: float) -> float:
    """Return the log likelihood ratio of the faulty over the healthy hypothesis."""
    non_events = total - events
    return events * math.log(faulty / healthy) + non_events * math.log((1 - faulty) / (1 - healthy))


def fault_evidence(
    events: int, total: int, healthy: float, factor: float, increase: float
) -> float:
    """Return how strongly the counts speak against the healthy hypothesis."""
    if total == 0 or events == 0:
        return 0.0
    healthy = min(healthy, MAX_PROBABILITY - increase)
    faulty = min(MAX_PROBABILITY, max(healthy * factor, healthy + increase))
    return log_likelihood_ratio(events, total, healthy, faulty)


def rejection_reason(
    old: Counts, new: Counts, threshold: float = REJECT_LOG_LIKELIHOOD_RATIO
) -> str | None:
    """Return the reason to reject the new version, or None.

    The old version's counts on the same route over the same time give the healthy rates.

    Parameters
    ----------
    threshold : float
        Log likelihood ratio from which the evidence suffices.
    """
    failed = smoothed_rate(old.failed, old.total, MIN_FAILURE_RATE)
    if fault_evidence(new.failed, new.total, failed, FAILURE_FACTOR, FAILURE_INCREASE) >= threshold:
        return f"{new.failed} of {new.total} exchanges failed"
    slow = smoothed_rate(old.slow, old.total, MIN_SLOW_RATE)
    if fault_evidence(new.slow, new.total, slow, SLOW_FACTOR, SLOW_INCREASE) >= threshold:
        return f"{new.slow} of {new.total} exchanges were slow"
    return None
