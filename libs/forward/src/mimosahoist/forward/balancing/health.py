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
LATENCY_RATIO_HALF_LIFE_SECONDS = 5.0
CONNECT_FAILURE_EJECTION_SECONDS = 0.25
TIMEOUT_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 2.0
FAILURES_BEFORE_EJECTION = 2
REFUSAL_BACKOFF_SECONDS = 0.025
MAX_REFUSAL_BACKOFF_SECONDS = 0.4
REFUSAL_RATE_HALF_LIFE_SECONDS = 2.0


class RefusalRate:
    """Moving share of calls that were refused; decays with time, so that calls return.

    Parameters
    ----------
    smoothing : float
        Weight of each call.
    """

    def __init__(self, smoothing: float = FAILURE_SMOOTHING) -> None:
        self.smoothing = smoothing
        self.rate = 0.0
        self.updated_at = 0.0

    def record(self, was_refused: bool, at: float) -> None:
        """Add one call."""
        rate = self.value(at)
        self.rate = rate + self.smoothing * (was_refused - rate)
        self.updated_at = at

    def value(self, at: float) -> float:
        """Share of recent calls that were refused."""
        return self.rate * 0.5 ** ((at - self.updated_at) / REFUSAL_RATE_HALF_LIFE_SECONDS)


class UpstreamHealth:
    """Latency, failure rate and ejection state, independent of what the upstream reports itself.

    Attributes
    ----------
    failure_rate : float
        Exponentially weighted share of recent calls that failed.
    ejected_until : float
        Loop time in seconds before which no calls are sent.
    refuses_until : float
        Loop time in seconds before which a call is likely to be refused again, as the last was.
    """

    def __init__(self) -> None:
        self.average_ratio = 1.0
        self.ratio_updated_at = 0.0
        self.failure_rate = 0.0
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.consecutive_refusals = 0
        self.refuses_until = 0.0
        self.refusals = RefusalRate()

    def record_latency_ratio(self, ratio: float, at: float) -> None:
        """Add one response time, as a multiple of the route's typical one."""
        average = self.latency_ratio(at)
        self.average_ratio = average + LATENCY_SMOOTHING * (min(ratio, MAX_LATENCY_RATIO) - average)
        self.ratio_updated_at = at

    def latency_ratio(self, at: float) -> float:
        """Moving average of response time, as a multiple of the route's typical one.

        It returns to 1 with time, so that an upstream that was slow is called again.
        """
        age = at - self.ratio_updated_at
        return 1.0 + (self.average_ratio - 1.0) * 0.5 ** (age / LATENCY_RATIO_HALF_LIFE_SECONDS)

    def record_outcome(self, outcome: CallOutcome, at: float) -> None:
        """Update failure rate and ejection from the outcome of a call."""
        if isinstance(outcome, Answered):
            failed = outcome.status >= 500
            self.consecutive_failures = 0
            self.ejected_until = 0.0
            self.consecutive_refusals = 0
            self.refuses_until = 0.0
            self.refusals.record(False, at)
        elif isinstance(outcome, Refused):
            failed = False
            self.record_refusal(at)
        elif outcome == Lost(LossKind.ABANDONED) or getattr(outcome, "is_local", False):
            return
        else:
            failed = True
            self.consecutive_failures += 1
            self.eject(outcome, at)
        self.failure_rate += FAILURE_SMOOTHING * (failed - self.failure_rate)

    def record_refusal(self, at: float) -> None:
        """Pause calls for a time that doubles with each refusal in a row."""
        backoff = REFUSAL_BACKOFF_SECONDS * 2 ** min(self.consecutive_refusals, 8)
        self.consecutive_refusals += 1
        self.refuses_until = at + min(backoff, MAX_REFUSAL_BACKOFF_SECONDS)
        self.refusals.record(True, at)

    def refusal_rate(self, at: float) -> float:
        """Share of recent calls that were refused."""
        return self.refusals.value(at)

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
