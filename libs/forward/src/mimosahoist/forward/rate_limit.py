"""Division among the instances of a request rate that an upstream announces; does no I/O.

Answers the load of a whole fleet on one upstream that accepts a few requests per second. Divided
among all, such a rate gives each instance less than one request in the time for which the limit is
judged, and buckets that hold one request each would let all of them call at once. So only as many
instances call the upstream as get a usable rate each; the others use its replicas. Instances
agree on who calls by rendezvous hashing, without messages.
"""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

from mimosahoist.core.hashing import hash_text

if TYPE_CHECKING:
    from collections.abc import Sequence

MIN_CALLER_RATE_PER_SECOND = 1.0
# Only responses tell that a limit has ended, so an upstream that accepts nothing is asked at times.
MIN_TOTAL_RATE_PER_SECOND = 0.1
# Requests that an instance may send at once after it has sent none for a while.
BURST_SECONDS = 1.0


def caller_rate(
    limit: float, upstream: str, instance: str, candidates: Sequence[str], expected: int = 1
) -> float:
    """Requests per second that an instance may send to an upstream; 0 if others call it.

    Parameters
    ----------
    limit : float
        Requests per second that the upstream accepts from all instances together.
    candidates : sequence of str
        Names of the instances that may call the upstream.
    expected : int
        Number of candidates to assume while fewer are known.
    """
    total = max(limit, MIN_TOTAL_RATE_PER_SECOND)
    affordable = max(1, int(total / MIN_CALLER_RATE_PER_SECOND))
    callers = min(affordable, max(1, expected, len(candidates)))
    selected = heapq.nsmallest(
        callers, candidates, key=lambda name: hash_text(f"{upstream} {name}")
    )
    return total / callers if instance in selected else 0.0


class RateLimiter:
    """Token bucket of one instance's requests to one upstream.

    It starts empty, so that a change of who calls the upstream does not add a burst. Requests sent
    together may overdraw it; the debt delays the next ones.
    """

    def __init__(self, rate: float, at: float) -> None:
        self.rate = rate
        self.tokens = 0.0
        self.refilled_at = at

    def set_rate(self, rate: float, at: float) -> None:
        """Change the rate in requests per second; tokens beyond the new burst are lost."""
        self.refill(at)
        self.rate = rate
        self.refill(at)

    def refill(self, at: float) -> None:
        """Add the tokens of the time since the last refill."""
        burst = max(1.0, self.rate * BURST_SECONDS)
        self.tokens = min(burst, self.tokens + self.rate * (at - self.refilled_at))
        self.refilled_at = at

    def take(self, at: float) -> None:
        """Use one token."""
        self.refill(at)
        self.tokens -= 1.0

    def next_at(self, at: float) -> float:
        """Loop time in seconds from which a request may be sent; infinite if others call."""
        self.refill(at)
        if self.rate <= 0.0:
            return math.inf
        return at + max(0.0, (1.0 - self.tokens) / self.rate)
