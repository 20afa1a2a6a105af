"""Judgement of one upstream from the calls that this instance made to it."""

from __future__ import annotations

from mimosahoist.forward.outcomes import (
    Answered,
    CallOutcome,
    LossKind,
    Lost,
    Refused,
    Unreached,
)

SPEED_WEIGHT = 0.25
FAILURE_WEIGHT = 0.2
MAX_SPEED = 20.0
UNREACHED_EJECTION_SECONDS = 0.25
SILENT_EJECTION_SECONDS = 0.5
LONGEST_EJECTION_SECONDS = 2.0
BREAKS_BEFORE_EJECTION = 2


class UpstreamHealth:
    """Speed, failure rate and ejection; no report of the upstream itself counts here.

    Attributes
    ----------
    latency_ratio : float
        Recent answer time as a multiple of what is typical for the route.
    failure_rate : float
        Weighted share of recent calls that failed.
    ejected_until : float
        Loop time before which no call should go there, in seconds.
    """

    def __init__(self) -> None:
        self.latency_ratio = 1.0
        self.failure_rate = 0.0
        self.consecutive_failures = 0
        self.ejected_until = 0.0

    def record_latency_ratio(self, ratio: float) -> None:
        """Take one answer time relative to the route's typical one."""
        self.latency_ratio += SPEED_WEIGHT * (min(ratio, MAX_SPEED) - self.latency_ratio)

    def record_outcome(self, outcome: CallOutcome, at: float) -> None:
        """Take one outcome."""
        if isinstance(outcome, Answered):
            failed = outcome.status >= 500
            self.consecutive_failures = 0
            self.ejected_until = 0.0
        elif isinstance(outcome, Refused):
            failed = False
        elif isinstance(outcome, Lost) and outcome.kind is LossKind.ABANDONED:
            return
        else:
            failed = True
            self.consecutive_failures += 1
            self.eject(outcome, at)
        self.failure_rate += FAILURE_WEIGHT * (failed - self.failure_rate)

    def eject(self, outcome: CallOutcome, at: float) -> None:
        """Keep calls away for a time that doubles with each failure in a row."""
        if isinstance(outcome, Unreached):
            base = UNREACHED_EJECTION_SECONDS
        elif isinstance(outcome, Lost) and outcome.kind is LossKind.TIMEOUT:
            base = SILENT_EJECTION_SECONDS
        elif self.consecutive_failures >= BREAKS_BEFORE_EJECTION:
            base = UNREACHED_EJECTION_SECONDS
        else:
            return
        seconds = base * 2 ** min(self.consecutive_failures - 1, 6)
        self.ejected_until = at + min(seconds, LONGEST_EJECTION_SECONDS)

    @property
    def on_probation(self) -> bool:
        """Whether the last calls failed, so that one call at a time is enough."""
        return self.consecutive_failures >= BREAKS_BEFORE_EJECTION
