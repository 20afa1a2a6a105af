"""Budget of repeat sends (hedges and retries) to a service, divided among the instances.

The bound holds for the sum over all instances and for any window. Each instance earns repeats from
the first sends of its own callers' requests, which needs no coordination; the fixed slack is
divided among the instances, so that no start, stop or change of roles exceeds it (`WindowedShare`).
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from mimosahoist.forward.declarations import SharedBounds
    from mimosahoist.forward.shares import WindowedShare

RATIO_MARGIN = 0.85
# Covers calls that are delayed on their way and so arrive in a later window.
SLACK_MARGIN = 0.8


class BudgetUsage(NamedTuple):
    """First and repeat sends of one window, and the repeats that the window allowed."""

    first: int
    repeats: int
    allowed: float


class RepeatBudget:
    """Sliding-window record of first and repeat sends to one service.

    Attributes
    ----------
    share : WindowedShare
        This instance's share of the slack.
    """

    def __init__(self, bounds: SharedBounds, share: WindowedShare) -> None:
        self.bounds = bounds
        self.share = share
        self.first_sends: deque[float] = deque()
        self.repeat_sends: deque[float] = deque()

    def record_first_send(self, at: float) -> None:
        """Record the first send of a request."""
        self.first_sends.append(at)
        self.expire(at)

    def expire(self, at: float) -> None:
        """Discard sends from before the window."""
        start = at - self.bounds.repeat_window
        for sends in (self.first_sends, self.repeat_sends):
            while sends and sends[0] <= start:
                sends.popleft()

    def usage(self, at: float) -> BudgetUsage:
        """What was sent in the window that ends now, and the repeats allowed in it."""
        self.expire(at)
        slack = self.bounds.repeat_slack * SLACK_MARGIN * self.share.value(at)
        earned = self.bounds.repeat_ratio * RATIO_MARGIN * len(self.first_sends)
        return BudgetUsage(len(self.first_sends), len(self.repeat_sends), earned + slack)

    def remaining(self, at: float) -> float:
        """Repeat sends that this instance may still make now."""
        usage = self.usage(at)
        return usage.allowed - usage.repeats

    def spend(self, at: float) -> bool:
        """Spend one repeat send; return False if none is left in the window."""
        if self.remaining(at) < 1.0:
            return False
        self.repeat_sends.append(at)
        return True
