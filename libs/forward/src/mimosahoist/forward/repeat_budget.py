"""Budget of extra sends to a service, divided among the instances.

The bound holds for the sum over all instances and any window. Each instance earns by the first
sends of its own callers' requests, so that part needs no agreement; the fixed slack is divided
among the instances. An instance that believes in too few others is covered by the margin.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mimosahoist.forward.declarations import SharedBounds

RATIO_MARGIN = 0.85
SLACK_MARGIN = 0.6


class RepeatBudget:
    """Sliding-window account of first and extra sends to one service."""

    def __init__(self, bounds: SharedBounds) -> None:
        self.bounds = bounds
        self.divisor = 1.0
        self.firsts: deque[float] = deque()
        self.extras: deque[float] = deque()

    def note_first(self, at: float) -> None:
        """Count a request's first send."""
        self.firsts.append(at)
        self.expire(at)

    def expire(self, at: float) -> None:
        """Forget what lies before the window."""
        start = at - self.bounds.repeat_window
        for sends in (self.firsts, self.extras):
            while sends and sends[0] <= start:
                sends.popleft()

    def left(self, at: float) -> float:
        """Extra sends that this instance may still make now."""
        self.expire(at)
        slack = self.bounds.repeat_slack * SLACK_MARGIN / self.divisor
        earned = self.bounds.repeat_ratio * RATIO_MARGIN * len(self.firsts)
        return earned + slack - len(self.extras)

    def spend(self, at: float) -> bool:
        """Take one extra send; false if the window has none left."""
        if self.left(at) < 1.0:
            return False
        self.extras.append(at)
        return True
