"""Slow start of cold upstreams."""

from __future__ import annotations

from typing import NamedTuple

STEP_SECONDS = 0.25
STEP_SUCCESSES = 3
SLOW_FACTOR = 2.5
SLOW_REPLIES_BEFORE_RESET = 4
RESET_HOLD_SECONDS = 1.0
MAX_DOUBLINGS = 16


class RampState(NamedTuple):
    """Stage of an upstream's slow start.

    States of one upstream are totally ordered and joined by taking the greater, so that copies
    at all instances converge: a later incarnation or reset goes before any stage of an earlier.
    """

    incarnation: int
    resets: int
    stage: int


class Ramp:
    """Concurrency that an upstream bears while it warms up.

    Parameters
    ----------
    cold : int
        Concurrent requests borne when cold.
    full : int
        Concurrent requests borne when warm.
    """

    def __init__(self, cold: int, full: int) -> None:
        self.state = RampState(0, 0, 0)
        self.successes = 0
        self.slow_replies = 0
        self.entered_at = 0.0
        self.total = 0
        self.warm = False
        self.set_bounds(cold, full)

    def set_bounds(self, cold: int, full: int) -> None:
        """Take the concurrency that the upstream bears when cold and when warm."""
        self.cold = cold
        self.full = full
        self.update_total()

    def update_total(self) -> None:
        """Compute the concurrency that all instances together may use in this stage."""
        self.total = min(self.full, self.cold << min(self.state.stage, MAX_DOUBLINGS))
        self.warm = self.total >= self.full

    def adopt(self, state: RampState, now: float) -> bool:
        """Join a state learned from elsewhere; true if it was later."""
        if state <= self.state:
            return False
        self.state = state
        self.update_total()
        self.successes = 0
        self.slow_replies = 0
        self.entered_at = now
        return True

    def restart(self, incarnation: int, now: float) -> bool:
        """Begin anew for a later incarnation."""
        if incarnation <= self.state.incarnation:
            return False
        return self.adopt(RampState(incarnation, 0, 0), now)

    def reset(self, now: float) -> bool:
        """Begin anew since the upstream behaves as if it were cold again."""
        if self.state.stage == 0 or now - self.entered_at < RESET_HOLD_SECONDS:
            return False
        state = RampState(self.state.incarnation, self.state.resets + 1, 0)
        return self.adopt(state, now)

    def observe(self, elapsed: float, typical: float | None, reported_warm: bool) -> None:
        """Count an answered request as evidence for or against warmth.

        Parameters
        ----------
        elapsed : float
            Seconds until the answer.
        typical : float or None
            Median seconds of the service's warm upstreams, if there are any.
        reported_warm : bool
            What the upstream says of itself.
        """
        slow = typical is not None and elapsed > SLOW_FACTOR * typical
        if slow:
            self.slow_replies += 1
        else:
            self.slow_replies = 0
        if not slow and reported_warm:
            self.successes += 1

    def looks_cold(self, reported_warm: bool) -> bool:
        """Whether recent answers say that a warm upstream turned cold."""
        if not reported_warm:
            return True
        return self.slow_replies >= SLOW_REPLIES_BEFORE_RESET

    def may_promote(self, now: float) -> bool:
        """Whether the evidence allows the next stage."""
        if self.warm or now - self.entered_at < STEP_SECONDS:
            return False
        return self.successes >= STEP_SUCCESSES

    def promote(self, now: float) -> None:
        """Enter the next stage."""
        state = self.state
        self.adopt(RampState(state.incarnation, state.resets, state.stage + 1), now)
