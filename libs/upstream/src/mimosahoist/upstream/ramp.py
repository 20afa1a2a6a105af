"""Slow start of cold upstreams."""

from __future__ import annotations

from typing import NamedTuple

MIN_STAGE_SECONDS = 0.25
MIN_STAGE_SUCCESSES = 3
SLOW_LATENCY_FACTOR = 2.5
SLOW_REPLIES_BEFORE_RESET = 4
RESET_HOLDOFF_SECONDS = 1.0
MAX_DOUBLINGS = 16


class RampState(NamedTuple):
    """Stage of an upstream's slow start.

    States of one upstream are totally ordered and merged by taking the maximum, so that the copies
    of all instances converge. A later incarnation or reset precedes any stage of an earlier one.
    """

    incarnation: int
    resets: int
    stage: int


class Ramp:
    """Concurrency limit of an upstream while it warms up.

    Parameters
    ----------
    cold : int
        Concurrent requests allowed when cold.
    full : int
        Concurrent requests allowed when warm.
    """

    def __init__(self, cold: int, full: int) -> None:
        self.state = RampState(0, 0, 0)
        self.successes = 0
        self.slow_replies = 0
        self.stage_entered_at = 0.0
        self.total = 0
        self.warm = False
        self.set_bounds(cold, full)

    def set_bounds(self, cold: int, full: int) -> None:
        """Set the concurrency limits of the cold and of the warm upstream."""
        self.cold = cold
        self.full = full
        self.update_total()

    def update_total(self) -> None:
        """Compute the concurrency limit of all instances together for the current stage."""
        self.total = min(self.full, self.cold << min(self.state.stage, MAX_DOUBLINGS))
        self.warm = self.total >= self.full

    def adopt(self, state: RampState, now: float) -> bool:
        """Replace the state by a later one; return whether `state` was later."""
        if state <= self.state:
            return False
        self.state = state
        self.update_total()
        self.successes = 0
        self.slow_replies = 0
        self.stage_entered_at = now
        return True

    def restart(self, incarnation: int, now: float) -> bool:
        """Return to the first stage if `incarnation` is later; return whether it was."""
        if incarnation <= self.state.incarnation:
            return False
        return self.adopt(RampState(incarnation, 0, 0), now)

    def reset(self, now: float) -> bool:
        """Return to the first stage because the upstream behaves as if it were cold again.

        Returns False, without a change, in the first stage and within the hold-off time.
        """
        if self.state.stage == 0 or now - self.stage_entered_at < RESET_HOLDOFF_SECONDS:
            return False
        state = RampState(self.state.incarnation, self.state.resets + 1, 0)
        return self.adopt(state, now)

    def observe(self, elapsed: float, median: float | None, reported_warm: bool) -> None:
        """Record a reply as evidence for or against the upstream being warm.

        Parameters
        ----------
        elapsed : float
            Latency in seconds.
        median : float or None
            Median latency of the service's warm upstreams in seconds, if known.
        reported_warm : bool
            Whether the upstream reports itself as warm.
        """
        slow = median is not None and elapsed > SLOW_LATENCY_FACTOR * median
        if slow:
            self.slow_replies += 1
        else:
            self.slow_replies = 0
        if not slow and reported_warm:
            self.successes += 1

    def appears_cold(self, reported_warm: bool) -> bool:
        """Return whether recent replies indicate that a warm upstream has turned cold."""
        if not reported_warm:
            return True
        return self.slow_replies >= SLOW_REPLIES_BEFORE_RESET

    def can_promote(self, now: float) -> bool:
        """Return whether the evidence allows the next stage."""
        if self.warm or now - self.stage_entered_at < MIN_STAGE_SECONDS:
            return False
        return self.successes >= MIN_STAGE_SUCCESSES

    def promote(self, now: float) -> None:
        """Enter the next stage."""
        state = self.state
        self.adopt(RampState(state.incarnation, state.resets, state.stage + 1), now)
