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
        self.first_sends: deque[float] = deque()
        self.repeat_sends: deque[float] = deque()

    def record_first_send(self, at: float) -> None:
        """Count a request's first send."""
        self.first_sends.append(at)
        self.expire(at)

    def expire(self, at: float) -> None:
        """Forget what lies before the window."""
        start = at - self.bounds.repeat_window
        for sends in (self.first_sends, self.repeat_sends):
            while sends and sends[0] <= start:
                sends.popleft()

    def remaining(self, at: float) -> float:
        """Extra sends that this instance may still make now."""
        self.expire(at)
        slack = self.bounds.repeat_slack * SLACK_MARGIN / self.divisor
        earned = self.bounds.repeat_ratio * RATIO_MARGIN * len(self.first_sends)
        return earned + slack - len(self.repeat_sends)

    def spend(self, at: float) -> bool:
        """Take one extra send; false if the window has none left."""
        if self.remaining(at) < 1.0:
            return False
        self.repeat_sends.append(at)
        return True
