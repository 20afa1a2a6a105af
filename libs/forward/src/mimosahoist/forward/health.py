"""Passive health tracking of one upstream from the calls that this instance made to it."""

from __future__ import annotations

from mimosahoist.forward.outcomes import (
    Answered,
    CallOutcome,
    LossKind,
    Lost,
    Refused,
    Unreached,
)

LATENCY_SMOOTHING = 0.25
FAILURE_SMOOTHING = 0.2
MAX_LATENCY_RATIO = 20.0
CONNECT_FAILURE_EJECTION_SECONDS = 0.25
TIMEOUT_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 2.0
FAILURES_BEFORE_EJECTION = 2


class UpstreamHealth:
    """Latency, failure rate and ejection state, independent of what the upstream reports itself.

    Attributes
    ----------
    latency_ratio : float
        Moving average of response time, as a multiple of the route's typical one.
    failure_rate : float
        Exponentially weighted share of recent calls that failed.
    ejected_until : float
        Loop time in seconds before which no calls are sent.
    """

    def __init__(self) -> None:
        self.latency_ratio = 1.0
        self.failure_rate = 0.0
        self.consecutive_failures = 0
        self.ejected_until = 0.0

    def record_latency_ratio(self, ratio: float) -> None:
        """Add one response time, as a multiple of the route's typical one."""
        self.latency_ratio += LATENCY_SMOOTHING * (
            min(ratio, MAX_LATENCY_RATIO) - self.latency_ratio
        )

    def record_outcome(self, outcome: CallOutcome, at: float) -> None:
        """Update failure rate and ejection from the outcome of a call."""
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
        self.failure_rate += FAILURE_SMOOTHING * (failed - self.failure_rate)

    def eject(self, outcome: CallOutcome, at: float) -> None:
        """Stop calls for a time that doubles with each consecutive failure."""
        if isinstance(outcome, Unreached):
            base = CONNECT_FAILURE_EJECTION_SECONDS
        elif isinstance(outcome, Lost) and outcome.kind is LossKind.TIMEOUT:
            base = TIMEOUT_EJECTION_SECONDS
        elif self.consecutive_failures >= FAILURES_BEFORE_EJECTION:
            base = CONNECT_FAILURE_EJECTION_SECONDS
        else:
            return
        seconds = base * 2 ** min(self.consecutive_failures - 1, 6)
        self.ejected_until = at + min(seconds, MAX_EJECTION_SECONDS)

    @property
    def on_probation(self) -> bool:
        """Whether recent calls failed, so that only one call at a time is allowed."""
        return self.consecutive_failures >= FAILURES_BEFORE_EJECTION
