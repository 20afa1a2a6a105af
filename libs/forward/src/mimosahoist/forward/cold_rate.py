"""Rate of calls to a cold upstream; does no I/O.

Answers the load of a whole fleet on upstreams that come back cold, often all copies of a service at
once: what a cold upstream bears is a few requests per second from all instances together, and with
more it crashes again. Few enough instances call it that each gets a whole request per second
(`rate_limit.caller_rate`); within any second none sends more than its part, so the sum holds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mimosahoist.forward.declarations import ServiceLimits, SharedBounds

# The rest covers instances that do not know of each other yet, and requests that arrive late.
COLD_RATE_FRACTION = 0.6
WINDOW_SECONDS = 1.0


def total_cold_rate(limits: ServiceLimits, bounds: SharedBounds) -> float:
    """Requests per second that all instances together may send to a cold upstream."""
    bound = limits.cold_rate * bounds.cold_headroom + bounds.cold_slack
    return bound * COLD_RATE_FRACTION


class ColdRateLimiter:
    """This instance's calls to one upstream while it is cold."""

    def __init__(self) -> None:
        self.sent_at: list[float] = []

    def record_call(self, at: float) -> None:
        """Count a call."""
        self.sent_at.append(at)

    def allows(self, rate: float, at: float) -> bool:
        """Whether another call may be sent.

        Parameters
        ----------
        rate : float
            This instance's part in requests per second; 0 if others call the upstream.
        at : float
            Loop time in seconds.
        """
        if rate <= 0.0:
            return False
        window = max(WINDOW_SECONDS, 1.0 / rate)
        self.sent_at = [sent for sent in self.sent_at if sent > at - window]
        return len(self.sent_at) < max(1, int(rate * WINDOW_SECONDS))
